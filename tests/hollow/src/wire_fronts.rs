//! Hollow fronts: many in this process, each with a link to every core.

use crate::town;
use crate::wire_daemons::CHANGE_MS;
use courier::{Courier, Event, LineId};
use dispatch::{frame, Frames, FunctionReport, Member, Message, RunnerReport};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const INBOX: usize = 16 << 20;
const ASK_MS: u64 = 250;
const REPORT_MS: u64 = 200;
/// Instances of a function.
const EACH: usize = 10;

#[derive(Default)]
struct Front {
    member: Member,
    lines: Vec<Option<LineId>>,
    told_at: u64,
    reported_at: u64,
    asked_until: u64,
    description: u64,
    /// Descriptions that were taken.
    orders: u64,
    roster: (u64, u64),
    scaler: Option<(u64, usize)>,
    kept: HashMap<String, (u64, Vec<String>)>,
}

/// All hollow fronts.
pub struct Fronts {
    courier: Courier,
    cores: Vec<SocketAddr>,
    fronts: Vec<Front>,
    lines: HashMap<LineId, (usize, usize)>,
    began: Instant,
    /// Bytes that came, and that were sent.
    pub taken: u64,
    pub sent: u64,
    /// Newest mark of the description that was told.
    pub newest: u64,
    kinds: BTreeMap<&'static str, (u64, u64)>,
    instances: usize,
    /// Functions that have instances, by the front that keeps them under the roster of this mark.
    keepers: ((u64, u64), HashMap<String, Vec<usize>>),
}

impl Fronts {
    pub fn new(count: usize, instances: usize, cores: Vec<SocketAddr>) -> Self {
        let members = town::members(count).into_iter();
        let front = |member| Front {
            member,
            lines: vec![None; cores.len()],
            ..Front::default()
        };
        Self {
            courier: Courier::new(19_000, 4_400).expect("lines can be had"),
            fronts: members.map(front).collect(),
            cores,
            lines: HashMap::new(),
            began: Instant::now(),
            taken: 0,
            sent: 0,
            newest: 0,
            kinds: BTreeMap::new(),
            instances,
            keepers: Default::default(),
        }
    }

    /// A front keeps what falls to it under a roster, with the instances that there are.
    fn keep(&mut self, place: usize, mark: (u64, u64), members: &[Member]) {
        if mark > self.keepers.0 {
            let mut keepers: HashMap<String, Vec<usize>> = HashMap::new();
            for function in 0..self.instances / EACH {
                let name = town::function_name(function);
                if let Some(keeper) = seating::elect(&name, members, |_| true) {
                    keepers
                        .entry(keeper.name.clone())
                        .or_default()
                        .push(function);
                }
            }
            self.keepers = (mark, keepers);
        }
        if mark != self.keepers.0 {
            return;
        }
        let front = &mut self.fronts[place];
        let functions = self.keepers.1.get(&front.member.name);
        let mut before = std::mem::take(&mut front.kept);
        for function in functions.into_iter().flatten() {
            let name = town::function_name(*function);
            let places = function * EACH..(function + 1) * EACH;
            let fresh = || (0, places.map(town::instance_id).collect());
            let kept = before.remove(&name).unwrap_or_else(fresh);
            front.kept.insert(name, kept);
        }
    }

    fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Whether each front has a link to every core and the whole roster.
    pub fn are_linked(&self) -> bool {
        let is_linked =
            |front: &Front| front.lines.iter().all(Option::is_some) && front.roster.0 > 0;
        self.fronts.iter().all(is_linked)
    }

    /// Descriptions that every front has taken.
    pub fn orders_held(&self) -> u64 {
        self.fronts
            .iter()
            .map(|front| front.orders)
            .min()
            .unwrap_or(0)
    }

    /// What came, by kind.
    pub fn tell(&self) -> String {
        let kinds = self.kinds.iter();
        let kinds = kinds.map(|(name, (count, bytes))| format!("{name} {count} ({bytes} B)"));
        kinds.collect::<Vec<_>>().join(", ")
    }

    /// A front goes and comes back with another life.
    pub fn restart(&mut self, place: usize) {
        let front = &mut self.fronts[place];
        front.member.incarnation += 1;
        front.roster = (0, 0);
        front.kept.clear();
        for line in std::mem::take(&mut front.lines).into_iter().flatten() {
            self.lines.remove(&line);
            self.courier.close(line);
        }
        self.fronts[place].lines = vec![None; self.cores.len()];
    }

    /// Does what is due and waits a little.
    pub fn turn(&mut self) {
        let now = self.now();
        for place in 0..self.fronts.len() {
            self.tend(now, place);
        }
        let mut events = Vec::new();
        self.courier.wait(Duration::from_millis(10), &mut events);
        for event in events {
            match event {
                Event::Connected(line) => self.connected(line),
                Event::Arrived(line) => self.arrived(line),
                Event::Ended(line, _) => {
                    if let Some((place, core)) = self.lines.remove(&line) {
                        self.fronts[place].lines[core] = None;
                    }
                    self.courier.close(line);
                }
                Event::Opened(..) => {}
            }
        }
    }

    fn tend(&mut self, now: u64, place: usize) {
        if now < self.fronts[place].told_at + CHANGE_MS / 10 {
            return self.report(now, place);
        }
        // The first beats are spread over the pause.
        let is_first = self.fronts[place].told_at == 0;
        let early = if is_first {
            place as u64 * 7 % (CHANGE_MS / 10)
        } else {
            0
        };
        self.fronts[place].told_at = now.max(1).saturating_sub(early).max(1);
        for core in 0..self.cores.len() {
            let front = &self.fronts[place];
            let beat = Message::FrontBeat {
                description: front.description,
                closures: 0,
                roster: front.roster,
            };
            match front.lines[core] {
                Some(line) => self.send(line, &beat),
                None => {
                    if let Ok(line) = self.courier.connect(self.cores[core], INBOX) {
                        self.fronts[place].lines[core] = Some(line);
                        self.lines.insert(line, (place, core));
                    }
                }
            }
        }
    }

    fn send(&mut self, line: LineId, message: &Message) {
        let bytes = frame(message);
        self.sent += bytes.len() as u64;
        self.courier.send(line, &bytes);
    }

    /// Tells the scaler of all instances that it gave this front, as held.
    fn report(&mut self, now: u64, place: usize) {
        let front = &mut self.fronts[place];
        let Some((_, core)) = front.scaler else {
            return;
        };
        if now < front.reported_at + REPORT_MS || front.kept.is_empty() {
            return;
        }
        front.reported_at = now;
        let runner = |id: &String| RunnerReport {
            id: id.clone(),
            in_use: 1,
            answered: now / 100,
            took_ms: now * 6 / 10,
            is_up: true,
            ..RunnerReport::default()
        };
        let reports = front
            .kept
            .iter()
            .map(|(function, (news, runners))| FunctionReport {
                function: function.clone(),
                news: *news,
                arrived: vec![(
                    front.member.district.clone(),
                    now / 100 * runners.len() as u64,
                )],
                runners: runners.iter().map(runner).collect(),
                ..FunctionReport::default()
            });
        let message = Message::Report(reports.collect());
        if let Some(line) = self.fronts[place].lines[core] {
            self.send(line, &message);
        }
    }

    fn connected(&mut self, line: LineId) {
        if let Some((place, _)) = self.lines.get(&line).copied() {
            let hello = Message::Front(self.fronts[place].member.clone());
            self.send(line, &hello);
        }
    }

    fn arrived(&mut self, line: LineId) {
        let Some((place, core)) = self.lines.get(&line).copied() else {
            return;
        };
        let Some(inbox) = self.courier.inbox(line) else {
            return;
        };
        let bytes = std::mem::take(inbox);
        let mut frames = Frames::new(&bytes);
        let mut before = 0;
        while let Ok(Some(message)) = frames.read::<Message>() {
            let size = (frames.taken() - before) as u64;
            before = frames.taken();
            self.taken += size;
            self.hear(place, core, message, size);
        }
        if let Some(inbox) = self.courier.inbox(line) {
            *inbox = bytes[before..].to_vec();
        }
    }

    fn hear(&mut self, place: usize, core: usize, message: Message, size: u64) {
        let now = self.now();
        let front = &mut self.fronts[place];
        let mut ask = None;
        let kind = match message {
            Message::CoreBeat {
                description, term, ..
            } => {
                self.newest = self.newest.max(description);
                if term > front.scaler.map_or(0, |(known, _)| known) {
                    front.scaler = Some((term, core));
                }
                if description > front.description && now >= front.asked_until {
                    front.asked_until = now + ASK_MS;
                    ask = front.lines[core];
                }
                "CoreBeat"
            }
            Message::Description { mark, .. } => {
                if mark > front.description {
                    front.description = mark;
                    front.orders += 1;
                }
                front.asked_until = 0;
                "Description"
            }
            Message::Changes { from, changes } => {
                if from == front.description {
                    front.description += changes.len() as u64;
                    front.orders += changes.len() as u64;
                }
                front.asked_until = 0;
                "Changes"
            }
            Message::Roster { mark, members } => {
                front.roster = mark.max(front.roster);
                self.keep(place, mark, &members);
                "Roster"
            }
            Message::Runners(news) => {
                for one in news {
                    let ids = one.runners.into_iter().map(|runner| runner.id);
                    front.kept.insert(one.function, (one.mark.1, ids.collect()));
                }
                "Runners"
            }
            _ => "other",
        };
        let seen = self.kinds.entry(kind).or_default();
        *seen = (seen.0 + 1, seen.1 + size);
        if let Some(line) = ask {
            let message = Message::Ask {
                description: self.fronts[place].description,
                closures: 0,
            };
            self.send(line, &message);
        }
    }
}
