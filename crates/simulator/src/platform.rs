use crate::net::{Event, Net, ScheduledEvent};
use crate::oracle::Oracle;
use configuration::RunnerEntry;
use rand::Rng;
use request_queue::{AttemptOutcome, QueuedRequest, SeatGrant};
use scaler::{CommandResult, ListedRunner, ListedState, PlatformCommand, Worker};
use std::collections::{BTreeMap, VecDeque};

/// Delay of the platform's lists behind its actual state.
pub(crate) const LIST_LAG_MS: u64 = 1_500;

/// The bytes of an attempt on their way to an address.
#[derive(Clone, Debug)]
pub(crate) struct RunnerRequest {
    pub front: String,
    pub incarnation: u64,
    pub queued_request: QueuedRequest,
    pub seat: SeatGrant,
    pub call: u64,
    pub idempotency_key: Option<u64>,
    pub budget_ms: u64,
}

/// A runner's response: the call that it executed and the seal over it.
#[derive(Clone, Debug)]
pub(crate) struct RunnerResponse {
    pub call: u64,
    pub seal: String,
    pub took_ms: u64,
}

/// A fault in the delivery of a run's response.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RunnerFault {
    None,
    Lost,
    /// The front sees the connection break early while the runner continues.
    Broken,
    /// The runner closes the connection within the response, or sends bytes that are not a response.
    Cut,
    Unsealed,
    /// The response belongs to another request.
    WrongRequest,
}

struct Run {
    request: RunnerRequest,
    runner: String,
    runner_fault: RunnerFault,
    began: u64,
}

struct SimulatedRunner {
    entry: RunnerEntry,
    up_at: u64,
    in_flight: u32,
    completed: u32,
    /// Placed at its address by an injected fault, not started by hallkeel.
    is_unmanaged: bool,
}

/// Identifier of an attempt, part of what its response's seal covers.
pub(crate) fn attempt_id(request_call: u64, seat: &SeatGrant) -> String {
    format!("{request_call}-{}-{}", seat.owner.name, seat.seat_no)
}

/// The simulated platform with its workers and runners.
pub(crate) struct SimulatedPlatform {
    pub workers: Vec<Worker>,
    pub dead_workers: Vec<String>,
    pub concurrency: BTreeMap<String, u32>,
    pub start_ms: u64,
    pub response_time_ms: u64,
    pub loss: f64,
    /// Share of responses that are truncated, unsealed or another request's.
    pub runner_fault_share: f64,
    /// Slowdown factor of a worker's runners, by worker name.
    pub slowness: BTreeMap<String, u64>,
    runners: BTreeMap<String, SimulatedRunner>,
    runs: BTreeMap<u64, Run>,
    next_run: u64,
    snapshots: VecDeque<(u64, Vec<Worker>, Vec<ListedRunner>)>,
    term: u64,
}

impl SimulatedPlatform {
    pub fn new(
        workers: Vec<Worker>,
        concurrency: BTreeMap<String, u32>,
        response_time_ms: u64,
        loss: f64,
    ) -> Self {
        Self {
            workers,
            dead_workers: Vec::new(),
            concurrency,
            start_ms: 700,
            response_time_ms,
            loss,
            runner_fault_share: 0.0,
            slowness: BTreeMap::new(),
            runners: BTreeMap::new(),
            runs: BTreeMap::new(),
            next_run: 0,
            snapshots: VecDeque::new(),
            term: 0,
        }
    }

    fn at_address(&mut self, now: u64, address: &str) -> Option<&mut SimulatedRunner> {
        let mut there = self.runners.values_mut();
        there.find(|runner| runner.entry.address == address && runner.up_at <= now)
    }

    /// Whether a runner accepts connections at this address.
    pub fn is_reachable(&mut self, now: u64, address: &str) -> bool {
        self.at_address(now, address).is_some()
    }

    /// A request reaches an address.
    pub fn request(&mut self, net: &mut Net, oracle: &mut Oracle, request: RunnerRequest) {
        let now = net.now;
        oracle.on_attempt(request.call);
        let concurrency = self.concurrency.get(&request.seat.function).copied();
        let (runner_id, address) = (request.seat.runner.clone(), request.seat.address.clone());
        let slowness = self.slowness.clone();
        let found = self.at_address(now, &address);
        if let Some(other) = found.as_ref().filter(|there| there.entry.id != runner_id) {
            let (function, is_unmanaged) = (&other.entry.function, other.is_unmanaged);
            oracle.check_misdirected(&request.seat.function, function, is_unmanaged);
        }
        let Some(runner) = found.filter(|runner| runner.entry.id == runner_id) else {
            let arrives_at = net.random_time_within(5);
            let end = Event::AttemptOutcome(
                request.queued_request,
                request.seat,
                AttemptOutcome::Absent,
                None,
            );
            net.schedule_at_node(arrives_at, &request.front, request.incarnation, end);
            return;
        };
        runner.in_flight += 1;
        oracle.check_concurrency(&runner_id, runner.in_flight, concurrency.unwrap_or(0));
        oracle.check_ramp_up(&runner_id, runner.in_flight, runner.completed);
        let (zone, worker) = (runner.entry.zone.clone(), runner.entry.worker.clone());
        oracle.on_run(request.call, request.idempotency_key, &zone, &worker);
        let duration_factor = net.random.random_range(0.5..2.0);
        let slowdown = slowness.get(&worker).copied().unwrap_or(1);
        let mut duration_ms = (self.response_time_ms as f64 * duration_factor) as u64 * slowdown;
        if net.random.random_bool(0.01) {
            duration_ms = request.budget_ms;
        }
        let runner_fault = self.draw_fault(net);
        let number = self.next_run;
        self.next_run += 1;
        let mut done_at = now + duration_ms.clamp(1, request.budget_ms);
        if runner_fault == RunnerFault::Broken {
            done_at = now + request.budget_ms;
            let broken_at = net.random_time_within(duration_ms.max(1));
            let (queued_request, seat) = (request.queued_request.clone(), request.seat.clone());
            let event = Event::AttemptOutcome(queued_request, seat, AttemptOutcome::Lost, None);
            net.schedule_at_node(broken_at, &request.front, request.incarnation, event);
        }
        let run = Run {
            request,
            runner: runner_id,
            runner_fault,
            began: now,
        };
        self.runs.insert(number, run);
        net.schedule(done_at, ScheduledEvent::RunDone(number));
    }

    fn draw_fault(&self, net: &mut Net) -> RunnerFault {
        if net.random.random_bool(self.loss) {
            let is_early = net.random.random_bool(0.5);
            return if is_early {
                RunnerFault::Broken
            } else {
                RunnerFault::Lost
            };
        }
        if net.random.random_bool(self.runner_fault_share) {
            let kinds = [
                RunnerFault::Cut,
                RunnerFault::Unsealed,
                RunnerFault::WrongRequest,
            ];
            return kinds[net.random.random_range(0..kinds.len())];
        }
        RunnerFault::None
    }

    /// A run ends and its response is sent.
    pub fn on_run_done(&mut self, net: &mut Net, number: u64) {
        let Some(run) = self.runs.remove(&number) else {
            return;
        };
        let runner = self.runners.get_mut(&run.runner);
        let key = runner.map(|runner| {
            runner.in_flight = runner.in_flight.saturating_sub(1);
            runner.completed += 1;
            runner.entry.key.clone()
        });
        if run.runner_fault == RunnerFault::Broken {
            return;
        }
        let (request, took_ms) = (run.request, net.now - run.began);
        let sealed = |call: u64| {
            let name = attempt_id(request.call, &request.seat);
            let body = call.to_le_bytes();
            let key = key.clone().unwrap_or_default();
            idempotency_keys::seal(&key, &name, &run.runner, 200, "", &body)
        };
        let answer = |call: u64, seal: String| {
            Some(RunnerResponse {
                call,
                seal,
                took_ms,
            })
        };
        let (end, answer) = match (run.runner_fault, &key) {
            (_, None) | (RunnerFault::Lost | RunnerFault::Broken, _) => {
                (AttemptOutcome::Lost, None)
            }
            (RunnerFault::Cut, _) => (AttemptOutcome::Broken, None),
            (RunnerFault::Unsealed, _) => {
                let answer = answer(request.call, String::new());
                (AttemptOutcome::Answered(took_ms), answer)
            }
            (RunnerFault::WrongRequest, _) => {
                let answer = answer(request.call + 1_000_000, sealed(request.call));
                (AttemptOutcome::Answered(took_ms), answer)
            }
            (RunnerFault::None, _) => {
                let answer = answer(request.call, sealed(request.call));
                (AttemptOutcome::Answered(took_ms), answer)
            }
        };
        let arrives_at = net.random_time_within(5);
        let event = Event::AttemptOutcome(request.queued_request, request.seat, end, answer);
        net.schedule_at_node(arrives_at, &request.front, request.incarnation, event);
    }

    /// Executes a command that reached the platform.
    pub fn command(&mut self, now: u64, command: &PlatformCommand, term: u64) -> CommandResult {
        if term < self.term {
            return CommandResult::StaleTerm;
        }
        self.term = term;
        match command {
            PlatformCommand::Stop(id) => {
                self.runners.remove(id);
                CommandResult::Gone
            }
            PlatformCommand::Start(entry) => self.start(now, entry),
        }
    }

    fn start(&mut self, now: u64, entry: &RunnerEntry) -> CommandResult {
        if self.runners.contains_key(&entry.id) {
            return CommandResult::Accepted;
        }
        let worker = self
            .workers
            .iter()
            .find(|worker| worker.name == entry.worker);
        let Some(worker) = worker.filter(|one| !self.dead_workers.contains(&one.name)) else {
            return CommandResult::Refused;
        };
        let running = self.runners.values();
        let used: u64 = running
            .filter(|runner| runner.entry.worker == worker.name)
            .map(|runner| runner.entry.memory_mb)
            .sum();
        if used + entry.memory_mb > worker.memory_mb {
            return CommandResult::Refused;
        }
        let runner = SimulatedRunner {
            entry: entry.clone(),
            up_at: now + self.start_ms,
            in_flight: 0,
            completed: 0,
            is_unmanaged: false,
        };
        self.runners.insert(entry.id.clone(), runner);
        CommandResult::Accepted
    }

    /// Crashes a worker with its runners, or brings it back empty.
    pub fn set_crashed(&mut self, worker: &str, is_dead: bool) {
        self.dead_workers.retain(|name| name != worker);
        if is_dead {
            self.dead_workers.push(worker.to_string());
            self.runners
                .retain(|_, runner| runner.entry.worker != worker);
        }
    }

    /// Replaces a runner, at its address, by one of another function that hallkeel did not start.
    pub fn replace(&mut self, now: u64, number: usize) {
        let ids: Vec<String> = self.runners.keys().cloned().collect();
        let Some(id) = ids.get(number % ids.len().max(1)) else {
            return;
        };
        if let Some(mut runner) = self.runners.remove(id) {
            runner.entry.id = format!("stranger.{number}");
            runner.entry.function = "stranger".into();
            runner.entry.key = vec![0];
            runner.is_unmanaged = true;
            runner.up_at = now;
            runner.in_flight = 0;
            self.runners.insert(runner.entry.id.clone(), runner);
        }
    }

    /// Starts or cancels the drain of a worker.
    pub fn set_leaving(&mut self, name: &str, is_leaving: bool) {
        for worker in &mut self.workers {
            if worker.name == name {
                worker.is_leaving = is_leaving;
            }
        }
    }

    /// Records a snapshot of the current lists.
    pub fn tick(&mut self, now: u64) {
        let alive = self.workers.iter();
        let alive = alive.filter(|worker| !self.dead_workers.contains(&worker.name));
        let listed = self.runners.iter().map(|(id, runner)| ListedRunner {
            id: id.clone(),
            state: ListedState::Up,
            address: Some(runner.entry.address.clone()),
        });
        let lists = (now, alive.cloned().collect(), listed.collect());
        self.snapshots.push_back(lists);
        while self.snapshots.len() > 1 && self.snapshots[1].0 + LIST_LAG_MS <= now {
            self.snapshots.pop_front();
        }
    }

    /// The lists that the platform reports now, delayed by `LIST_LAG_MS`.
    pub fn delayed_lists(&self) -> (Vec<Worker>, Vec<ListedRunner>) {
        match self.snapshots.front() {
            Some((_, workers, listed)) => (workers.clone(), listed.clone()),
            None => (Vec::new(), Vec::new()),
        }
    }
}
