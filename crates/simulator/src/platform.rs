use crate::net::{Event, Net, ScheduledEvent};
use crate::oracle::Oracle;
use configuration::RunnerEntry;
use rand::Rng;
use request_queue::{AttemptOutcome, QueuedRequest, SeatGrant};
use scaler::{CommandResult, ListedRunner, ListedState, PlatformCommand, Worker};
use std::collections::{BTreeMap, VecDeque};

/// Lag of the platform's lists.
pub(crate) const LIST_LAG_MS: u64 = 1_500;

/// Bytes of a try on their way to an address.
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

/// What a runner sends back: the call that it ran, and its seal over it.
#[derive(Clone, Debug)]
pub(crate) struct RunnerResponse {
    pub call: u64,
    pub seal: String,
    pub took_ms: u64,
}

/// What becomes of a run's answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RunnerFault {
    None,
    Lost,
    /// The connection breaks early, as the front has seen, and the runner works on.
    Broken,
    /// The runner closes the connection within its answer, or sends bytes that are none.
    Cut,
    Unsealed,
    /// The answer to another request.
    Foreign,
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
    ended: u32,
    /// Put at its address by a failure, not by hallkeel.
    is_stranger: bool,
}

/// Name of a try, over which its answer is sealed.
pub(crate) fn attempt_id(request_call: u64, seat: &SeatGrant) -> String {
    format!("{request_call}-{}-{}", seat.owner.name, seat.seat_no)
}

/// Workers, runners and the platform, as the daemons meet them.
pub(crate) struct SimulatedPlatform {
    pub workers: Vec<Worker>,
    pub dead_workers: Vec<String>,
    pub concurrency: BTreeMap<String, u32>,
    pub start_ms: u64,
    pub response_time_ms: u64,
    pub loss: f64,
    /// Share of answers that are cut, unsealed, or another's.
    pub runner_fault_share: f64,
    /// How many times slower than others a worker's runners are.
    pub slowness: BTreeMap<String, u64>,
    runners: BTreeMap<String, SimulatedRunner>,
    runs: BTreeMap<u64, Run>,
    next_run: u64,
    past: VecDeque<(u64, Vec<Worker>, Vec<ListedRunner>)>,
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
            past: VecDeque::new(),
            term: 0,
        }
    }

    fn at_address(&mut self, now: u64, address: &str) -> Option<&mut SimulatedRunner> {
        let mut there = self.runners.values_mut();
        there.find(|runner| runner.entry.address == address && runner.up_at <= now)
    }

    /// Whether something takes connections there.
    pub fn is_there(&mut self, now: u64, address: &str) -> bool {
        self.at_address(now, address).is_some()
    }

    /// A request reaches an address.
    pub fn request(&mut self, net: &mut Net, oracle: &mut Oracle, request: RunnerRequest) {
        let now = net.now;
        oracle.on_attempt(request.call);
        let concurrency = self.concurrency.get(&request.seat.function).copied();
        let (wanted, address) = (request.seat.runner.clone(), request.seat.address.clone());
        let slowness = self.slowness.clone();
        let found = self.at_address(now, &address);
        if let Some(other) = found.as_ref().filter(|there| there.entry.id != wanted) {
            let (function, is_stranger) = (&other.entry.function, other.is_stranger);
            oracle.check_misdirected(&request.seat.function, function, is_stranger);
        }
        let Some(runner) = found.filter(|runner| runner.entry.id == wanted) else {
            let back = net.soon(5);
            let end = Event::AttemptOutcome(
                request.queued_request,
                request.seat,
                AttemptOutcome::Absent,
                None,
            );
            net.event(back, &request.front, request.incarnation, end);
            return;
        };
        runner.in_flight += 1;
        oracle.check_concurrency(&wanted, runner.in_flight, concurrency.unwrap_or(0));
        oracle.check_ramp_up(&wanted, runner.in_flight, runner.ended);
        let (zone, worker) = (runner.entry.zone.clone(), runner.entry.worker.clone());
        oracle.on_run(request.call, request.idempotency_key, &zone, &worker);
        let spread = net.random.random_range(0.5..2.0);
        let times = slowness.get(&worker).copied().unwrap_or(1);
        let mut takes = (self.response_time_ms as f64 * spread) as u64 * times;
        if net.random.random_bool(0.01) {
            takes = request.budget_ms;
        }
        let runner_fault = self.draw(net);
        let number = self.next_run;
        self.next_run += 1;
        let mut ends = now + takes.clamp(1, request.budget_ms);
        if runner_fault == RunnerFault::Broken {
            ends = now + request.budget_ms;
            let broken = net.soon(takes.max(1));
            let (queued_request, seat) = (request.queued_request.clone(), request.seat.clone());
            let event = Event::AttemptOutcome(queued_request, seat, AttemptOutcome::Lost, None);
            net.event(broken, &request.front, request.incarnation, event);
        }
        let run = Run {
            request,
            runner: wanted,
            runner_fault,
            began: now,
        };
        self.runs.insert(number, run);
        net.at(ends, ScheduledEvent::RunEnd(number));
    }

    fn draw(&self, net: &mut Net) -> RunnerFault {
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
                RunnerFault::Foreign,
            ];
            return kinds[net.random.random_range(0..kinds.len())];
        }
        RunnerFault::None
    }

    /// A run ends and its answer leaves.
    pub fn run_end(&mut self, net: &mut Net, number: u64) {
        let Some(run) = self.runs.remove(&number) else {
            return;
        };
        let runner = self.runners.get_mut(&run.runner);
        let key = runner.map(|runner| {
            runner.in_flight = runner.in_flight.saturating_sub(1);
            runner.ended += 1;
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
            (RunnerFault::Foreign, _) => {
                let answer = answer(request.call + 1_000_000, sealed(request.call));
                (AttemptOutcome::Answered(took_ms), answer)
            }
            (RunnerFault::None, _) => {
                let answer = answer(request.call, sealed(request.call));
                (AttemptOutcome::Answered(took_ms), answer)
            }
        };
        let back = net.soon(5);
        let event = Event::AttemptOutcome(request.queued_request, request.seat, end, answer);
        net.event(back, &request.front, request.incarnation, event);
    }

    /// A call reaches the platform.
    pub fn command(&mut self, now: u64, command: &PlatformCommand, term: u64) -> CommandResult {
        if term < self.term {
            return CommandResult::OldTerm;
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
            return CommandResult::Taken;
        }
        let worker = self.workers.iter().find(|one| one.name == entry.worker);
        let Some(worker) = worker.filter(|one| !self.dead_workers.contains(&one.name)) else {
            return CommandResult::Refused;
        };
        let there = self.runners.values();
        let used: u64 = there
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
            ended: 0,
            is_stranger: false,
        };
        self.runners.insert(entry.id.clone(), runner);
        CommandResult::Taken
    }

    /// A worker crashes with its runners, or comes back empty.
    pub fn crash(&mut self, worker: &str, is_dead: bool) {
        self.dead_workers.retain(|name| name != worker);
        if is_dead {
            self.dead_workers.push(worker.to_string());
            self.runners
                .retain(|_, runner| runner.entry.worker != worker);
        }
    }

    /// A runner is replaced, at its address, by one of another function that hallkeel did not start.
    pub fn replace(&mut self, now: u64, number: usize) {
        let ids: Vec<String> = self.runners.keys().cloned().collect();
        let Some(id) = ids.get(number % ids.len().max(1)) else {
            return;
        };
        if let Some(mut runner) = self.runners.remove(id) {
            runner.entry.id = format!("stranger.{number}");
            runner.entry.function = "stranger".into();
            runner.entry.key = vec![0];
            runner.is_stranger = true;
            runner.up_at = now;
            runner.in_flight = 0;
            self.runners.insert(runner.entry.id.clone(), runner);
        }
    }

    /// The platform empties a worker, or takes that back.
    pub fn leave(&mut self, name: &str, is_leaving: bool) {
        for worker in &mut self.workers {
            if worker.name == name {
                worker.is_leaving = is_leaving;
            }
        }
    }

    /// Notes the lists as they are now.
    pub fn tick(&mut self, now: u64) {
        let alive = self.workers.iter();
        let alive = alive.filter(|worker| !self.dead_workers.contains(&worker.name));
        let listed = self.runners.iter().map(|(id, runner)| ListedRunner {
            id: id.clone(),
            state: ListedState::Up,
            address: Some(runner.entry.address.clone()),
        });
        let lists = (now, alive.cloned().collect(), listed.collect());
        self.past.push_back(lists);
        while self.past.len() > 1 && self.past[1].0 + LIST_LAG_MS <= now {
            self.past.pop_front();
        }
    }

    /// The lists as the platform tells them now.
    pub fn lists(&self) -> (Vec<Worker>, Vec<ListedRunner>) {
        match self.past.front() {
            Some((_, workers, listed)) => (workers.clone(), listed.clone()),
            None => (Vec::new(), Vec::new()),
        }
    }
}
