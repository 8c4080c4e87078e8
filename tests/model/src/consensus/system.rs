use super::fault::Fault;
use super::history::History;
use super::node::{address, place_of, Node};
use super::STEP_MS;
use crate::fingerprint::Fingerprinter;
use consensus::{ConsensusAction, ConsensusMessage, CONFIGURATION_KEY};
use std::collections::VecDeque;
use std::sync::Arc;

/// Most messages of one round; with more the controllers would send messages without an end.
const MAX_MESSAGES: usize = 5_000;
/// Rounds between two requests of one caller.
const REQUEST_ROUNDS: u64 = 2;

/// A message on its way.
#[derive(Clone, Debug)]
struct Envelope {
    from: usize,
    to: usize,
    message: ConsensusMessage,
}

/// A fault that lasts until a round begins.
#[derive(Clone, Debug)]
struct ActiveFault {
    fault: Fault,
    until: u64,
}

/// The controllers with their disks, the network between them and the responses that callers got.
#[derive(Clone)]
pub struct System {
    /// Machines; clones share those that have not changed.
    pub nodes: Vec<Arc<Node>>,
    /// Responses that callers got.
    pub history: History,
    /// Faults that may still come.
    pub faults_left: usize,
    /// Rounds since the beginning.
    pub round: u64,
    active_faults: Vec<ActiveFault>,
    delayed: Vec<Envelope>,
    queue: VecDeque<Envelope>,
    handled: Vec<usize>,
    changed: Vec<bool>,
}

impl System {
    /// Members that start for the first time, and newcomers that no seed names.
    pub fn new(members: usize, newcomers: usize, faults_left: usize) -> Self {
        let count = members + newcomers;
        let seeds: Vec<String> = (0..members).map(address).collect();
        let mut system = Self {
            nodes: (0..count)
                .map(|place| Arc::new(Node::new(place, place < members)))
                .collect(),
            history: History::default(),
            faults_left,
            round: 0,
            active_faults: Vec::new(),
            delayed: Vec::new(),
            queue: VecDeque::new(),
            handled: vec![0; count],
            changed: vec![true; count],
        };
        for place in 0..count {
            let now = system.now();
            system.node(place).boot(now, &seeds, members);
        }
        system.update_digests();
        system
    }

    /// Model time in milliseconds. All machines' clocks run at one rate.
    pub fn now(&self) -> u64 {
        (self.round + 1) * STEP_MS
    }

    /// Whether a fault may begin now: its machines are there, and nothing of its kind lasts at them.
    pub fn can_occur(&self, fault: Fault) -> bool {
        let runs = |place: usize| self.nodes[place].consensus.is_some();
        let mut lasting = self.active_faults.iter();
        match fault {
            Fault::Crash { place, .. } | Fault::Wipe { place } | Fault::Lose { place } => {
                runs(place)
            }
            Fault::Isolate { place, .. } => {
                let is_lasting = lasting.any(
                    |one| matches!(one.fault, Fault::Isolate { place: cut, .. } if cut == place),
                );
                runs(place) && !is_lasting
            }
            Fault::Freeze { place, .. } => runs(place) && !self.is_frozen(place),
            Fault::CutLink { from, to, .. } | Fault::Delay { from, to, .. } => {
                runs(from) && runs(to) && !self.is_cut(from, to) && !self.is_delayed(from, to)
            }
        }
    }

    /// Lets one round pass: a fault begins or none, every controller's clock moves on, callers ask, and all messages are
    /// handled that are not cut off or delayed.
    pub fn pass_round(&mut self, fault: Option<Fault>, members: usize) -> Result<(), String> {
        self.round += 1;
        self.handled = vec![0; self.nodes.len()];
        self.changed = vec![false; self.nodes.len()];
        if let Some(fault) = fault {
            self.faults_left -= 1;
            self.begin_fault(fault)?;
        }
        self.end_active_faults(members)?;
        self.ask()?;
        for place in 0..self.nodes.len() {
            self.tick(place)?;
        }
        self.deliver_all()?;
        self.update_digests();
        Ok(())
    }

    fn node(&mut self, place: usize) -> &mut Node {
        self.changed[place] = true;
        Arc::make_mut(&mut self.nodes[place])
    }

    fn begin_fault(&mut self, fault: Fault) -> Result<(), String> {
        let until = match fault {
            Fault::Crash {
                place,
                after,
                rounds,
            } => {
                if after == 0 {
                    self.node(place).crash();
                }
                self.round + rounds
            }
            Fault::Wipe { place } => {
                self.node(place).wipe();
                self.round + 1
            }
            Fault::Lose { place } => {
                self.node(place).wipe();
                u64::MAX
            }
            Fault::Isolate { rounds, .. }
            | Fault::CutLink { rounds, .. }
            | Fault::Delay { rounds, .. }
            | Fault::Freeze { rounds, .. } => self.round + rounds,
        };
        self.active_faults.push(ActiveFault { fault, until });
        Ok(())
    }

    fn end_active_faults(&mut self, members: usize) -> Result<(), String> {
        let round = self.round;
        let all = std::mem::take(&mut self.active_faults);
        let (ended, lasting): (Vec<ActiveFault>, _) =
            all.into_iter().partition(|one| one.until <= round);
        self.active_faults = lasting;
        let seeds: Vec<String> = (0..members).map(address).collect();
        for active in ended {
            match active.fault {
                Fault::Crash { place, .. } | Fault::Wipe { place } => {
                    let now = self.now();
                    if self.nodes[place].consensus.is_none() && !self.is_lost(place) {
                        self.node(place).boot(now, &seeds, members);
                    }
                }
                Fault::Delay { .. } | Fault::Freeze { .. } => {
                    let delayed = std::mem::take(&mut self.delayed);
                    self.queue.extend(delayed);
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn is_lost(&self, place: usize) -> bool {
        let mut lasting = self.active_faults.iter();
        lasting.any(|one| one.fault == Fault::Lose { place })
    }

    /// Whether a machine stands still.
    pub fn is_frozen(&self, place: usize) -> bool {
        let mut lasting = self.active_faults.iter();
        lasting
            .any(|one| matches!(one.fault, Fault::Freeze { place: frozen, .. } if frozen == place))
    }

    /// Two members write at once, the other machines read.
    fn ask(&mut self) -> Result<(), String> {
        if !self.round.is_multiple_of(REQUEST_ROUNDS) {
            return Ok(());
        }
        let (now, round) = (self.now(), self.round);
        for place in 0..self.nodes.len() {
            let Some(consensus) = self.nodes[place].consensus.as_ref() else {
                continue;
            };
            if self.is_frozen(place) || consensus.voter_set().epoch == 0 {
                continue;
            }
            if place >= 2 {
                let token = self.history.begin(CONFIGURATION_KEY, None);
                if let Some(consensus) = self.node(place).consensus.as_mut() {
                    consensus.read(now, token, CONFIGURATION_KEY);
                }
                continue;
            }
            let committed = consensus.committed(CONFIGURATION_KEY);
            let expected = committed.map_or(0, |(version, _)| version);
            let bytes = vec![round as u8, place as u8];
            let write = Some((expected, bytes.clone()));
            let token = self.history.begin(CONFIGURATION_KEY, write);
            if let Some(consensus) = self.node(place).consensus.as_mut() {
                consensus.write(now, token, CONFIGURATION_KEY, expected, bytes);
            }
        }
        for place in 0..self.nodes.len() {
            self.drain(place)?;
        }
        Ok(())
    }

    fn tick(&mut self, place: usize) -> Result<(), String> {
        let now = self.now();
        if self.is_frozen(place) || self.nodes[place].consensus.is_none() {
            return Ok(());
        }
        if let Some(consensus) = self.node(place).consensus.as_mut() {
            consensus.tick(now);
        }
        self.drain(place)
    }

    fn deliver_all(&mut self) -> Result<(), String> {
        let mut count = 0;
        while let Some(envelope) = self.queue.pop_front() {
            count += 1;
            if count > MAX_MESSAGES {
                return Err("controllers send messages without an end".into());
            }
            self.deliver(envelope)?;
        }
        Ok(())
    }

    fn deliver(&mut self, envelope: Envelope) -> Result<(), String> {
        let (from, to) = (envelope.from, envelope.to);
        if self.is_cut(from, to) || self.nodes[to].consensus.is_none() {
            return Ok(());
        }
        if self.is_delayed(from, to) || self.is_frozen(to) {
            self.delayed.push(envelope);
            return Ok(());
        }
        let now = self.now();
        if let Some(consensus) = self.node(to).consensus.as_mut() {
            consensus.on_message(now, &address(from), envelope.message);
        }
        self.handled[to] += 1;
        self.drain(to)?;
        if self.is_crash_due(to) {
            self.node(to).crash();
        }
        Ok(())
    }

    fn is_crash_due(&self, place: usize) -> bool {
        let handled = self.handled[place];
        let mut lasting = self.active_faults.iter();
        lasting.any(|one| {
            matches!(one.fault, Fault::Crash { place: crashed, after, .. }
                if crashed == place && after == handled)
        })
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        let mut lasting = self.active_faults.iter();
        lasting.any(|active| match active.fault {
            Fault::Isolate { place, .. } => place == one || place == other,
            Fault::CutLink { from, to, .. } => (from, to) == (one, other),
            _ => false,
        })
    }

    fn is_delayed(&self, one: usize, other: usize) -> bool {
        let mut lasting = self.active_faults.iter();
        lasting.any(|active| {
            matches!(active.fault, Fault::Delay { from, to, .. } if (from, to) == (one, other))
        })
    }

    /// Does what a controller wants done, until it wants nothing more.
    fn drain(&mut self, place: usize) -> Result<(), String> {
        loop {
            if self.nodes[place].consensus.is_none() {
                return Ok(());
            }
            let actions = self.node(place).take_actions();
            if actions.is_empty() {
                return self.check_holders();
            }
            let mut work = Vec::new();
            for action in actions {
                match action {
                    ConsensusAction::Send { to, message } => self.send(place, &to, message),
                    ConsensusAction::Disk(one) => work.push(one),
                    ConsensusAction::RequestCompleted { token, outcome } => {
                        self.history.end(token, &outcome)?
                    }
                    ConsensusAction::ValueCommitted { key, version } => {
                        self.learn(place, &key, version)?
                    }
                    ConsensusAction::RoleAcquired { term } => self.record_term(place, term)?,
                    ConsensusAction::RoleLost => {}
                }
            }
            if !work.is_empty() {
                let now = self.now();
                self.node(place).perform(now, work);
            }
        }
    }

    fn send(&mut self, from: usize, to: &str, message: ConsensusMessage) {
        if let Some(to) = place_of(to).filter(|to| *to < self.nodes.len()) {
            self.queue.push_back(Envelope { from, to, message });
        }
    }

    fn learn(&mut self, place: usize, key: &str, version: u64) -> Result<(), String> {
        let consensus = self.nodes[place].consensus.as_ref();
        let committed = consensus.and_then(|consensus| consensus.committed(key));
        let Some((newest, bytes)) = committed else {
            return Ok(());
        };
        if newest < version {
            return Err(format!(
                "{key} went back from version {version} to {newest}"
            ));
        }
        let bytes = bytes.to_vec();
        self.history.record_committed(key, newest, &bytes)
    }

    fn record_term(&mut self, place: usize, term: u64) -> Result<(), String> {
        self.history
            .record_term(term, place, self.nodes[place].incarnation())
    }

    /// No two controllers hold the scaler role at one time.
    fn check_holders(&self) -> Result<(), String> {
        let now = self.now();
        let holders = self.nodes.iter().filter(|node| node.term(now).is_some());
        let holders: Vec<usize> = holders.map(|node| node.place).collect();
        if holders.len() <= 1 {
            return Ok(());
        }
        Err(format!(
            "controllers {holders:?} hold the scaler role at {now} ms"
        ))
    }

    fn update_digests(&mut self) {
        for place in 0..self.nodes.len() {
            if self.changed[place] {
                Arc::make_mut(&mut self.nodes[place]).update_digest();
            }
        }
    }

    /// Replaces the journals by snapshots.
    pub fn compact(&mut self) {
        for node in &mut self.nodes {
            Arc::make_mut(node).compact();
        }
    }

    /// Hash of all that decides the future.
    pub fn fingerprint(&self) -> u128 {
        let mut fingerprinter = Fingerprinter::default();
        for node in &self.nodes {
            fingerprinter.number(node.digest());
        }
        fingerprinter.number(u128::from(self.round) << 64 | self.faults_left as u128);
        fingerprinter.debug(&self.active_faults);
        fingerprinter.debug(&self.delayed);
        fingerprinter.debug(&self.history);
        fingerprinter.finish()
    }
}
