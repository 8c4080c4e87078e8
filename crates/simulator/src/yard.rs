use crate::net::{Event, Happening, Net};
use crate::oracle::Oracle;
use blueprint::RunnerEntry;
use holding::{SeatGrant, Ticket, TryEnd};
use rand::Rng;
use scaler::{ListedRunner, ListedState, Order, OrderResult, Worker};
use std::collections::{BTreeMap, VecDeque};

/// Lag of the platform's lists.
const LAG: u64 = 1_500;

/// Bytes of a try on their way to an address.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub front: String,
    pub life: u64,
    pub ticket: Ticket,
    pub seat: SeatGrant,
    pub call: u64,
    pub once_key: Option<u64>,
    pub budget_ms: u64,
}

struct Run {
    request: Request,
    runner: String,
    is_lost: bool,
    /// The front has already seen the connection break.
    is_broken: bool,
}

struct StandIn {
    entry: RunnerEntry,
    up_at: u64,
    in_flight: u32,
}

/// Workers, runners and the platform, as the daemons meet them.
pub(crate) struct Yard {
    pub workers: Vec<Worker>,
    pub dead_workers: Vec<String>,
    pub concurrency: BTreeMap<String, u32>,
    pub start_ms: u64,
    pub pace_ms: u64,
    pub loss: f64,
    runners: BTreeMap<String, StandIn>,
    runs: BTreeMap<u64, Run>,
    next_run: u64,
    past: VecDeque<(u64, Vec<Worker>, Vec<ListedRunner>)>,
    term: u64,
}

impl Yard {
    pub fn new(
        workers: Vec<Worker>,
        concurrency: BTreeMap<String, u32>,
        pace_ms: u64,
        loss: f64,
    ) -> Self {
        Self {
            workers,
            dead_workers: Vec::new(),
            concurrency,
            start_ms: 700,
            pace_ms,
            loss,
            runners: BTreeMap::new(),
            runs: BTreeMap::new(),
            next_run: 0,
            past: VecDeque::new(),
            term: 0,
        }
    }

    fn at_address(&mut self, now: u64, address: &str) -> Option<&mut StandIn> {
        let mut there = self.runners.values_mut();
        there.find(|runner| runner.entry.address == address && runner.up_at <= now)
    }

    /// Whether something takes connections there.
    pub fn is_there(&mut self, now: u64, address: &str) -> bool {
        self.at_address(now, address).is_some()
    }

    /// A request reaches an address.
    pub fn request(&mut self, net: &mut Net, oracle: &mut Oracle, request: Request) {
        let now = net.now;
        let concurrency = self.concurrency.get(&request.seat.function).copied();
        let (wanted, address) = (request.seat.runner.clone(), request.seat.address.clone());
        let found = self.at_address(now, &address);
        let Some(runner) = found.filter(|runner| runner.entry.id == wanted) else {
            let back = net.soon(5);
            let end = Event::TryEnd(request.ticket, request.seat, TryEnd::Absent);
            net.event(back, &request.front, request.life, end);
            return;
        };
        runner.in_flight += 1;
        oracle.in_flight(now, &wanted, runner.in_flight, concurrency.unwrap_or(0));
        let district = runner.entry.district.clone();
        oracle.run(now, request.call, request.once_key, &district);
        let spread = net.random.random_range(0.5..2.0);
        let mut takes = (self.pace_ms as f64 * spread) as u64;
        if net.random.random_bool(0.01) {
            takes = request.budget_ms;
        }
        let is_lost = net.random.random_bool(self.loss);
        let number = self.next_run;
        self.next_run += 1;
        let mut ends = now + takes.clamp(1, request.budget_ms);
        let is_broken = is_lost && net.random.random_bool(0.5);
        if is_broken {
            // The connection breaks early, and the runner works on for as long as it may.
            ends = now + request.budget_ms;
            let broken = net.soon(takes.max(1));
            let event = Event::TryEnd(request.ticket.clone(), request.seat.clone(), TryEnd::Lost);
            net.event(broken, &request.front, request.life, event);
        }
        let run = Run {
            request,
            runner: wanted,
            is_lost,
            is_broken,
        };
        self.runs.insert(number, run);
        net.at(ends, Happening::RunEnd(number));
    }

    /// A run ends and its answer leaves.
    pub fn run_end(&mut self, net: &mut Net, number: u64) {
        let Some(run) = self.runs.remove(&number) else {
            return;
        };
        let is_up = match self.runners.get_mut(&run.runner) {
            Some(runner) => {
                runner.in_flight = runner.in_flight.saturating_sub(1);
                true
            }
            None => false,
        };
        if run.is_broken {
            return;
        }
        let back = net.soon(5);
        let end = if is_up && !run.is_lost {
            TryEnd::Answered(self.pace_ms)
        } else {
            TryEnd::Lost
        };
        let event = Event::TryEnd(run.request.ticket, run.request.seat, end);
        net.event(back, &run.request.front, run.request.life, event);
    }

    /// A call reaches the platform.
    pub fn order(&mut self, now: u64, order: &Order, term: u64) -> OrderResult {
        if term < self.term {
            return OrderResult::OldTerm;
        }
        self.term = term;
        match order {
            Order::Stop(id) => {
                self.runners.remove(id);
                OrderResult::Gone
            }
            Order::Start(entry) => self.start(now, entry),
        }
    }

    fn start(&mut self, now: u64, entry: &RunnerEntry) -> OrderResult {
        if self.runners.contains_key(&entry.id) {
            return OrderResult::Taken;
        }
        let worker = self.workers.iter().find(|one| one.name == entry.worker);
        let Some(worker) = worker.filter(|one| !self.dead_workers.contains(&one.name)) else {
            return OrderResult::Refused;
        };
        let there = self.runners.values();
        let used: u64 = there
            .filter(|runner| runner.entry.worker == worker.name)
            .map(|runner| runner.entry.memory_mb)
            .sum();
        if used + entry.memory_mb > worker.memory_mb {
            return OrderResult::Refused;
        }
        let runner = StandIn {
            entry: entry.clone(),
            up_at: now + self.start_ms,
            in_flight: 0,
        };
        self.runners.insert(entry.id.clone(), runner);
        OrderResult::Taken
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

    /// Notes the lists as they are now.
    pub fn tick(&mut self, now: u64) {
        let alive = self.workers.iter();
        let alive = alive.filter(|worker| !self.dead_workers.contains(&worker.name));
        let listed = self.runners.keys().map(|id| ListedRunner {
            id: id.clone(),
            state: ListedState::Up,
        });
        let lists = (now, alive.cloned().collect(), listed.collect());
        self.past.push_back(lists);
        while self.past.len() > 1 && self.past[1].0 + LAG <= now {
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
