//! Random events between an autoscaler, one keeper and a platform, with an oracle over its orders.

mod cluster;

use autoscaler::{Autoscaler, RunnerCommand, StartError, WorkerListing};
use cluster::*;
use protocol::{FunctionReport, RunnerReport, RunnerStage};
use std::collections::{BTreeMap, BTreeSet};

const FUNCTIONS: [(&str, u32); 4] = [("f", 9_000), ("g", 500), ("h", 9_000), ("i", 800)];
const TIMEOUT_MS: u64 = 10_000;

#[derive(Clone)]
struct Real {
    function: String,
    worker: String,
    begun_at: u64,
    is_gone: bool,
    in_use: u32,
    reported: Option<(u64, u32)>,
}

struct World {
    now: u64,
    listed_at: u64,
    autoscaler: Autoscaler,
    workers: Vec<WorkerListing>,
    closed: BTreeSet<String>,
    runners: BTreeMap<String, Real>,
    /// Nonce, function, worker and id where it was done.
    asked: Vec<(String, String, String)>,
    done: BTreeMap<String, String>,
    stops: Vec<String>,
    held: BTreeMap<String, u64>,
    /// Runners to which the keeper gives new requests, as the news it holds say.
    open: BTreeMap<String, BTreeSet<String>>,
    arrived: u64,
    ids: u64,
}

impl World {
    fn new() -> Self {
        let workers = vec![
            worker("w-1", "a", 350),
            worker("w-2", "a", 200),
            worker("w-3", "b", 500),
            worker("w-4", "c", 300),
        ];
        Self {
            now: 0,
            listed_at: 0,
            autoscaler: cluster(options(), &FUNCTIONS, &workers, &[]),
            workers,
            closed: BTreeSet::new(),
            runners: BTreeMap::new(),
            asked: Vec::new(),
            done: BTreeMap::new(),
            stops: Vec::new(),
            held: BTreeMap::new(),
            open: BTreeMap::new(),
            arrived: 0,
            ids: 0,
        }
    }

    fn free_mb(&self, name: &str) -> u64 {
        let runners = self.runners.values().filter(|runner| runner.worker == name);
        let total = self.workers.iter().find(|worker| worker.name == name);
        total
            .unwrap()
            .memory_mb
            .saturating_sub(100 * runners.count() as u64)
    }

    fn list(&mut self) {
        self.listed_at = self.now;
        let mut listings = self.workers.clone();
        for listing in &mut listings {
            listing.free_mb = self.free_mb(&listing.name);
        }
        self.autoscaler.update_workers(self.now, listings);
        let up = self
            .runners
            .iter()
            .filter(|(_, runner)| runner.begun_at + 1_000 <= self.now);
        let mut shown = Vec::new();
        for (id, runner) in up {
            let place = self
                .workers
                .iter()
                .find(|worker| worker.name == runner.worker)
                .unwrap();
            let mut listing = listed(id, &runner.function, &runner.worker, &place.zone);
            listing.is_terminating = place.is_draining;
            shown.push(listing);
        }
        self.autoscaler.update_runners(self.now, shown);
    }

    fn pass(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 100.min(until - self.now);
            if self.now >= self.listed_at + 1_000 {
                self.list();
            }
            self.autoscaler.tick(self.now);
        }
    }

    fn report(&mut self, place: usize, waiting: u32, uses: u8, marks_gone: bool) {
        let name = FUNCTIONS[place % 4].0;
        self.arrived += u64::from(waiting);
        let mut report = told(name, self.arrived, waiting);
        report.update_number = self.held.get(name).copied().unwrap_or(0);
        let open = self.open.get(name).cloned().unwrap_or_default();
        let own = self.runners.iter_mut();
        let own = own.filter(|(_, runner)| runner.function == name);
        for (at, (id, runner)) in own.enumerate() {
            let in_use = u32::from(uses >> (at % 8) & 1);
            // A runner that the keeper does not know as open gets no new requests.
            let most = if open.contains(id) { 1 } else { runner.in_use };
            runner.in_use = in_use.min(most);
        }
        self.tell(name, report, marks_gone);
    }

    fn tell(&mut self, name: &str, mut report: FunctionReport, marks_gone: bool) {
        let now = self.now;
        for (id, runner) in self
            .runners
            .iter_mut()
            .filter(|(_, one)| one.function == name)
        {
            let is_up = runner.begun_at + 1_000 <= now;
            runner.is_gone |= marks_gone && is_up;
            let in_use = if is_up { runner.in_use } else { 0 };
            runner.reported = Some((now, in_use));
            report.runners.push(RunnerReport {
                is_up,
                is_gone: runner.is_gone,
                ..held(id, in_use)
            });
        }
        self.autoscaler.handle_report(now, KEEPER, &report);
    }

    fn answer_start(&mut self, kind: u8) {
        if self.asked.is_empty() {
            return;
        }
        let (nonce, function, place) = self.asked.remove(0);
        let has_room = self.free_mb(&place) >= 100;
        if kind == 1 {
            self.autoscaler
                .handle_start_result(self.now, &nonce, Err(StartError::Unanswered));
            return;
        }
        if kind == 2 && !self.done.contains_key(&nonce) || !has_room {
            self.autoscaler
                .handle_start_result(self.now, &nonce, Err(StartError::NoRoom));
            return;
        }
        if kind == 3 {
            self.autoscaler
                .handle_start_result(self.now, &nonce, Err(StartError::Busy));
            return;
        }
        self.begin(&nonce, &function, &place);
        if kind == 4 {
            self.autoscaler
                .handle_start_result(self.now, &nonce, Err(StartError::Unanswered));
            return;
        }
        let id = self.done[&nonce].clone();
        self.autoscaler
            .handle_start_result(self.now, &nonce, Ok(started(&id, 1)));
    }

    fn begin(&mut self, nonce: &str, function: &str, place: &str) {
        if self.done.contains_key(nonce) {
            return;
        }
        self.ids += 1;
        let id = format!("i-{}", self.ids);
        self.done.insert(nonce.to_owned(), id.clone());
        let runner = Real {
            function: function.to_owned(),
            worker: place.to_owned(),
            begun_at: self.now,
            is_gone: false,
            in_use: 0,
            reported: None,
        };
        self.runners.insert(id, runner);
    }

    fn answer_stop(&mut self, done: bool) {
        let Some(id) = self.stops.pop() else {
            return;
        };
        if done {
            self.runners.remove(&id);
        }
        self.autoscaler.handle_stop_result(self.now, &id, done);
    }

    fn deliver(&mut self) {
        for news in self.autoscaler.take_updates() {
            for runner in &news.runners {
                assert!(runner.quota <= 4, "a quota above the concurrency");
            }
            self.held.insert(news.function.clone(), news.version.number);
            let open = news.runners.into_iter();
            let open = open.filter(|runner| runner.stage != RunnerStage::Draining);
            let open = open.map(|runner| runner.id).collect();
            self.open.insert(news.function, open);
        }
    }

    fn end_worker(&mut self, place: usize) {
        let worker = &mut self.workers[place % 4];
        worker.is_draining = !worker.is_draining;
        let (name, is_back) = (worker.name.clone(), !worker.is_draining);
        if is_back {
            self.runners.retain(|_, runner| runner.worker != name);
        }
        self.list();
    }

    fn judge(&mut self) {
        for order in self.autoscaler.take_commands() {
            match order {
                RunnerCommand::Start {
                    function,
                    worker,
                    nonce,
                } => self.judge_start(function, worker, nonce),
                RunnerCommand::Stop { id } => self.judge_stop(id),
            }
        }
    }

    fn judge_start(&mut self, function: String, place: String, nonce: String) {
        let listing = self
            .workers
            .iter()
            .find(|worker| worker.name == place)
            .unwrap();
        assert!(!listing.is_draining, "a start on a worker that leaves");
        assert!(
            !self.closed.contains(&listing.zone),
            "a start in a closed zone"
        );
        let is_new = |(other, _, _): &&(String, String, String)| !self.done.contains_key(other);
        let asked = self
            .asked
            .iter()
            .filter(|(_, _, other)| *other == place)
            .filter(is_new);
        let taken_mb = 100 * asked.count() as u64;
        if !self.done.contains_key(&nonce) {
            assert!(
                self.free_mb(&place) >= taken_mb + 100,
                "no room on {place} at {}",
                self.now
            );
        }
        self.asked.push((nonce, function, place));
    }

    fn judge_stop(&mut self, id: String) {
        if let Some(runner) = self.runners.get(&id) {
            let told = runner.reported.unwrap_or_default();
            let is_held = told.1 > 0 && told.0 + TIMEOUT_MS > self.now;
            assert!(
                runner.is_gone || !is_held,
                "{id} is stopped at work at {}",
                self.now
            );
        }
        self.stops.push(id);
    }

    fn step(&mut self, kind: u8, one: u8, other: u8) {
        let place = usize::from(one);
        match kind % 16 {
            0..=2 => self.report(place, u32::from(other % 12), one, false),
            3 | 4 => self.report(place, 0, other, false),
            5 => self.report(place, 0, 0, false),
            6 => self.report(place, 0, other, other.is_multiple_of(4)),
            7..=9 => self.answer_start(other % 8),
            10 => self.answer_stop(!other.is_multiple_of(4)),
            11 => self.deliver(),
            12 => self.end_worker(place),
            13 => {
                let zone = ["a", "b", "c"][place % 3].to_owned();
                if !self.closed.remove(&zone) {
                    self.closed.insert(zone);
                }
                self.autoscaler.set_evacuated_zones(self.now, &self.closed);
            }
            14 => self.pass(u64::from(one) * 40),
            _ => self.pass(u64::from(one)),
        }
        self.judge();
    }
}

fuzzing::seeded! {
    fn orders_hold_under_random_events(events: Vec<(u8, u8, u8)>) -> bool {
        let mut world = World::new();
        for (kind, one, other) in events {
            world.step(kind, one, other);
        }
        true
    }
}
