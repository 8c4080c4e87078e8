//! Random events between an autoscaler, one owner and a platform. A model of the platform checks every command.

mod cluster;

use autoscaler::{Autoscaler, RunnerCommand, StartError, WorkerListing};
use cluster::*;
use protocol::{FunctionReport, RunnerReport, RunnerStage};
use std::collections::{BTreeMap, BTreeSet};

const FUNCTIONS: [(&str, u32); 4] = [("f", 9_000), ("g", 500), ("h", 9_000), ("i", 800)];
/// Memory of each runner, in megabytes.
const RUNNER_MB: u64 = 100;
/// Duration of a start, in milliseconds.
const START_MS: u64 = 1_000;
/// Maximum duration of a request, in milliseconds.
const TIMEOUT_MS: u64 = 10_000;

#[derive(Clone)]
struct SimulatedRunner {
    function: String,
    worker: String,
    started_at: u64,
    is_unreachable: bool,
    in_use: u32,
    /// Time of the last report on it, and the number of requests in flight in that report.
    reported: Option<(u64, u32)>,
}

struct Simulation {
    now: u64,
    listed_at: u64,
    autoscaler: Autoscaler,
    workers: Vec<WorkerListing>,
    evacuated_zones: BTreeSet<String>,
    runners: BTreeMap<String, SimulatedRunner>,
    /// Starts that were commanded and not answered yet.
    pending_starts: Vec<Start>,
    /// Ids of the started runners, by nonce.
    started_by_nonce: BTreeMap<String, String>,
    /// Ids of runners whose stop was commanded and not answered yet.
    stops: Vec<String>,
    /// Number of the last update that the owner received, by function.
    update_numbers: BTreeMap<String, u64>,
    /// Ids of the runners to which the owner sends new requests according to that update, by function.
    open_runners: BTreeMap<String, BTreeSet<String>>,
    arrived: u64,
    started: u64,
}

impl Simulation {
    fn new() -> Self {
        let workers = vec![
            worker_listing("w-1", "a", 350),
            worker_listing("w-2", "a", 200),
            worker_listing("w-3", "b", 500),
            worker_listing("w-4", "c", 300),
        ];
        Self {
            now: 0,
            listed_at: 0,
            autoscaler: autoscaler_with(options(), &FUNCTIONS, &workers, &[]),
            workers,
            evacuated_zones: BTreeSet::new(),
            runners: BTreeMap::new(),
            pending_starts: Vec::new(),
            started_by_nonce: BTreeMap::new(),
            stops: Vec::new(),
            update_numbers: BTreeMap::new(),
            open_runners: BTreeMap::new(),
            arrived: 0,
            started: 0,
        }
    }

    fn free_mb(&self, name: &str) -> u64 {
        let runners = self.runners.values().filter(|runner| runner.worker == name);
        let total = self.workers.iter().find(|worker| worker.name == name);
        total
            .unwrap()
            .memory_mb
            .saturating_sub(RUNNER_MB * runners.count() as u64)
    }

    fn send_lists(&mut self) {
        self.listed_at = self.now;
        let mut listings = self.workers.clone();
        for listing in &mut listings {
            listing.free_mb = self.free_mb(&listing.name);
        }
        self.autoscaler.update_workers(self.now, listings);
        let up = self
            .runners
            .iter()
            .filter(|(_, runner)| runner.started_at + START_MS <= self.now);
        let mut shown = Vec::new();
        for (id, runner) in up {
            let worker = self
                .workers
                .iter()
                .find(|worker| worker.name == runner.worker)
                .unwrap();
            let mut listing = runner_listing(id, &runner.function, &runner.worker, &worker.zone);
            listing.is_terminating = worker.is_draining;
            shown.push(listing);
        }
        self.autoscaler.update_runners(self.now, shown);
    }

    fn advance(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 100.min(until - self.now);
            if self.now >= self.listed_at + 1_000 {
                self.send_lists();
            }
            self.autoscaler.tick(self.now);
        }
    }

    fn report(&mut self, index: usize, waiting: u32, in_use_bits: u8, marks_gone: bool) {
        let name = FUNCTIONS[index % 4].0;
        self.arrived += u64::from(waiting);
        let mut report = function_report(name, self.arrived, waiting);
        report.update_number = self.update_numbers.get(name).copied().unwrap_or(0);
        let open = self.open_runners.get(name).cloned().unwrap_or_default();
        let own = self.runners.iter_mut();
        let own = own.filter(|(_, runner)| runner.function == name);
        for (at, (id, runner)) in own.enumerate() {
            let in_use = u32::from(in_use_bits >> (at % 8) & 1);
            // The owner sends no new requests to a runner that is not open in its last update.
            let max_in_use = if open.contains(id) { 1 } else { runner.in_use };
            runner.in_use = in_use.min(max_in_use);
        }
        self.send_report(name, report, marks_gone);
    }

    fn send_report(&mut self, name: &str, mut report: FunctionReport, marks_gone: bool) {
        let now = self.now;
        for (id, runner) in self
            .runners
            .iter_mut()
            .filter(|(_, one)| one.function == name)
        {
            let is_up = runner.started_at + START_MS <= now;
            runner.is_unreachable |= marks_gone && is_up;
            let in_use = if is_up { runner.in_use } else { 0 };
            runner.reported = Some((now, in_use));
            report.runners.push(RunnerReport {
                is_up,
                is_unreachable: runner.is_unreachable,
                ..runner_report(id, in_use)
            });
        }
        self.autoscaler.handle_report(now, OWNER, &report);
    }

    fn answer_start(&mut self, kind: u8) {
        if self.pending_starts.is_empty() {
            return;
        }
        let start = self.pending_starts.remove(0);
        let has_room = self.free_mb(&start.worker) >= RUNNER_MB;
        let nonce = start.nonce.clone();
        if kind == 1 {
            self.autoscaler
                .handle_start_result(self.now, &nonce, Err(StartError::Unanswered));
            return;
        }
        if kind == 2 && !self.started_by_nonce.contains_key(&nonce) || !has_room {
            self.autoscaler
                .handle_start_result(self.now, &nonce, Err(StartError::NoRoom));
            return;
        }
        if kind == 3 {
            self.autoscaler
                .handle_start_result(self.now, &nonce, Err(StartError::RateLimited));
            return;
        }
        self.start(start);
        if kind == 4 {
            self.autoscaler
                .handle_start_result(self.now, &nonce, Err(StartError::Unanswered));
            return;
        }
        let id = self.started_by_nonce[&nonce].clone();
        self.autoscaler
            .handle_start_result(self.now, &nonce, Ok(started(&id, 1)));
    }

    fn start(&mut self, start: Start) {
        if self.started_by_nonce.contains_key(&start.nonce) {
            return;
        }
        self.started += 1;
        let id = format!("i-{}", self.started);
        self.started_by_nonce.insert(start.nonce, id.clone());
        let runner = SimulatedRunner {
            function: start.function,
            worker: start.worker,
            started_at: self.now,
            is_unreachable: false,
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

    fn deliver_updates(&mut self) {
        for update in self.autoscaler.take_updates() {
            for runner in &update.runners {
                assert!(runner.quota <= 4, "the quota exceeds the concurrency");
            }
            self.update_numbers
                .insert(update.function.clone(), update.version.number);
            let open = update.runners.into_iter();
            let open = open.filter(|runner| runner.stage != RunnerStage::Draining);
            let open = open.map(|runner| runner.id).collect();
            self.open_runners.insert(update.function, open);
        }
    }

    fn toggle_worker_drain(&mut self, index: usize) {
        let worker = &mut self.workers[index % 4];
        worker.is_draining = !worker.is_draining;
        let (name, is_restored) = (worker.name.clone(), !worker.is_draining);
        if is_restored {
            self.runners.retain(|_, runner| runner.worker != name);
        }
        self.send_lists();
    }

    fn check_commands(&mut self) {
        for command in self.autoscaler.take_commands() {
            match command {
                RunnerCommand::Start {
                    function,
                    worker,
                    nonce,
                } => self.check_start(Start {
                    nonce,
                    function,
                    worker,
                }),
                RunnerCommand::Stop { id } => self.check_stop(id),
            }
        }
    }

    fn check_start(&mut self, start: Start) {
        let mut workers = self.workers.iter();
        let worker = workers.find(|worker| worker.name == start.worker).unwrap();
        assert!(!worker.is_draining, "a start on a draining worker");
        assert!(
            !self.evacuated_zones.contains(&worker.zone),
            "a start in an evacuated zone"
        );
        if !self.started_by_nonce.contains_key(&start.nonce) {
            let pending = self.pending_starts.iter().filter(|pending| {
                let is_new = !self.started_by_nonce.contains_key(&pending.nonce);
                is_new && pending.worker == start.worker
            });
            let taken_mb = RUNNER_MB * pending.count() as u64;
            assert!(
                self.free_mb(&start.worker) >= taken_mb + RUNNER_MB,
                "no room on {} at {}",
                start.worker,
                self.now
            );
        }
        self.pending_starts.push(start);
    }

    fn check_stop(&mut self, id: String) {
        if let Some(runner) = self.runners.get(&id) {
            let reported = runner.reported.unwrap_or_default();
            let has_requests_in_flight = reported.1 > 0 && reported.0 + TIMEOUT_MS > self.now;
            assert!(
                runner.is_unreachable || !has_requests_in_flight,
                "{id} is stopped with requests in flight at {}",
                self.now
            );
        }
        self.stops.push(id);
    }

    fn step(&mut self, kind: u8, one: u8, other: u8) {
        let index = usize::from(one);
        match kind % 16 {
            0..=2 => self.report(index, u32::from(other % 12), one, false),
            3 | 4 => self.report(index, 0, other, false),
            5 => self.report(index, 0, 0, false),
            6 => self.report(index, 0, other, other.is_multiple_of(4)),
            7..=9 => self.answer_start(other % 8),
            10 => self.answer_stop(!other.is_multiple_of(4)),
            11 => self.deliver_updates(),
            12 => self.toggle_worker_drain(index),
            13 => {
                let zone = ["a", "b", "c"][index % 3].to_owned();
                if !self.evacuated_zones.remove(&zone) {
                    self.evacuated_zones.insert(zone);
                }
                self.autoscaler
                    .set_evacuated_zones(self.now, &self.evacuated_zones);
            }
            14 => self.advance(u64::from(one) * 40),
            _ => self.advance(u64::from(one)),
        }
        self.check_commands();
    }
}

fuzzing::seeded! {
    fn commands_are_valid_under_random_events(events: Vec<(u8, u8, u8)>) -> bool {
        let mut simulation = Simulation::new();
        for (kind, one, other) in events {
            simulation.step(kind, one, other);
        }
        true
    }
}
