use crate::seats::Seats;
use protocol::{
    FunctionReport, FunctionUpdate, LeaseOutcome, LeaseRelease, LeaseRequest, RequestId,
    RunnerLeases, RunnerStage, SeatLease,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Most requests that wait for one function.
const WAITING_MAX: usize = 512;
/// Most functions that one keeper knows.
const FUNCTIONS_MAX: usize = 65_536;
/// Milliseconds between reports of a function, where nothing is urgent.
const REPORT_MS: u64 = 200;
/// Milliseconds after which it is told again that requests wait.
const REMIND_MS: u64 = 500;
/// Milliseconds between urgent reports of a function.
const URGENT_MS: u64 = 15;
/// Milliseconds for which the connection of a probe may hold a seat.
const LOOK_MS: u64 = 120;
/// Milliseconds after which a function that nobody uses is forgotten.
const FORGET_MS: u64 = 4_000;
/// Milliseconds after which a refused request may find a seat, where nothing better is known.
const RETRY_AFTER_MS: u32 = 250;

/// What the owner asks its gateway to do.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseAction {
    /// Send a lease to the gateway whose request it is for.
    Lease {
        /// Name of the gateway.
        gateway: String,
        /// The leased seat.
        lease: SeatLease,
    },
    /// Tell a gateway that its request gets no seat in time.
    Reject {
        /// Name of the gateway.
        gateway: String,
        /// The request's number at that gateway.
        request_id: RequestId,
        /// Milliseconds after which a retry is worthwhile.
        retry_after_ms: u32,
    },
    /// Check whether a starting runner accepts connections.
    Probe {
        /// The runner's function.
        function: String,
        /// Id of the runner.
        runner: String,
        /// Its address.
        address: String,
    },
}

/// How much of one runner's quota is leased.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerUsage {
    /// Id of the runner.
    pub id: String,
    /// Most requests that it may hold at once.
    pub quota: u32,
    /// Seats that are leased now.
    pub in_use: u32,
    /// Whether it gets new requests.
    pub is_serving: bool,
}

/// The keeper of all functions that fell to one gateway. A pure machine: `now` is a steady clock in milliseconds.
#[derive(Default)]
pub struct LeaseOwner {
    functions: HashMap<String, Seats>,
    tickets: HashMap<(String, RequestId), String>,
    dirty: BTreeSet<String>,
    awaited: BTreeMap<(String, String), u64>,
    closed: BTreeSet<String>,
    actions: Vec<LeaseAction>,
}

impl LeaseOwner {
    /// Districts that take no requests.
    pub fn set_evacuated_zones(&mut self, closed: BTreeSet<String>) {
        self.closed = closed;
    }

    /// What is to be done now.
    pub fn take_actions(&mut self) -> Vec<LeaseAction> {
        std::mem::take(&mut self.actions)
    }

    /// A gateway's request wants a seat.
    pub fn request_lease(&mut self, now: u64, gateway: &str, district: &str, bid: LeaseRequest) {
        let is_new = !self.functions.contains_key(&bid.function);
        if is_new && self.functions.len() >= FUNCTIONS_MAX {
            self.reject(gateway, bid.request_id, RETRY_AFTER_MS);
            return;
        }
        let function = bid.function.clone();
        let seats = self.functions.entry(function.clone()).or_default();
        seats.used_at = now;
        if bid.excluded_runners.is_empty() {
            *seats.arrived.entry(district.into()).or_insert(0) += 1;
        }
        let ahead = seats.ahead_of(bid.priority);
        let wait = seats.expected_wait(now, ahead);
        // Where a seat is free there is nothing to wait for, and only who is sent there shows its pace.
        let is_hopeless = wait.is_some_and(|wait| wait > f64::from(bid.timeout_ms) * 0.9)
            && !seats.has_free(now, &self.closed, &bid.excluded_runners);
        let blocked = seats.hopeless_until(now, now + u64::from(bid.timeout_ms));
        if is_hopeless || blocked.is_some() || seats.waiting.len() >= WAITING_MAX {
            seats.given_up += 1;
            seats.is_dirty = true;
            let back = wait.unwrap_or(0.0).max(f64::from(RETRY_AFTER_MS)) as u32;
            let back = blocked.unwrap_or(back);
            self.reject(gateway, bid.request_id, back);
            self.dirty.insert(function);
            return;
        }
        let holder = (gateway.to_string(), bid.request_id);
        self.tickets.insert(holder.clone(), function.clone());
        seats.add(now, holder, district, bid);
        seats.is_dirty = true;
        self.serve(now, &function);
        let Some(seats) = self.functions.get_mut(&function) else {
            return;
        };
        seats.is_urgent |= !seats.waiting.is_empty();
        self.dirty.insert(function);
    }

    /// A gateway's request wants no seat any more.
    pub fn cancel(&mut self, now: u64, gateway: &str, ticket: RequestId) {
        let holder = (gateway.to_string(), ticket);
        let Some(function) = self.tickets.remove(&holder) else {
            return;
        };
        if let Some(seats) = self.functions.get_mut(&function) {
            seats.withdraw(&holder);
            seats.is_dirty = true;
        }
        self.dirty.insert(function.clone());
        self.serve(now, &function);
    }

    /// A gateway gives a seat back.
    pub fn release(&mut self, now: u64, gateway: &str, release: &LeaseRelease) {
        let holder = (gateway.to_string(), release.request_id);
        let Some(function) = self.tickets.remove(&holder) else {
            return;
        };
        let Some(seats) = self.functions.get_mut(&function) else {
            return;
        };
        seats.used_at = now;
        seats.is_dirty = true;
        if let Some(runner) = seats.free(&holder) {
            match release.outcome {
                LeaseOutcome::Succeeded => {
                    runner.is_up = true;
                    runner.learn(release.duration_ms);
                }
                LeaseOutcome::Rejected => {
                    runner.turned_away(now);
                    seats.heed_refusals(now);
                }
                LeaseOutcome::Gone => {
                    runner.is_gone = true;
                    seats.is_urgent = true;
                }
                // A runner that loses one answer after the other is as good as gone.
                LeaseOutcome::Unreachable | LeaseOutcome::Lost => {
                    seats.is_urgent |= runner.missed()
                }
                LeaseOutcome::Unused => {}
            }
        }
        self.dirty.insert(function.clone());
        self.serve(now, &function);
    }

    /// A gateway tells which runners of a function it has requests at, to the function's new keeper.
    pub fn adopt_leases(
        &mut self,
        now: u64,
        gateway: &str,
        function: &str,
        runners: &[RunnerLeases],
    ) {
        let seats = self.functions.entry(function.to_string()).or_default();
        seats.used_at = now;
        for leases in runners {
            let runner = seats.know(now, &leases.runner, &leases.address, &leases.zone);
            for ticket in &leases.requests {
                let holder = (gateway.to_string(), *ticket);
                runner.holders.insert(holder.clone(), now);
                self.tickets.insert(holder, function.to_string());
            }
        }
        seats.is_dirty = true;
        self.dirty.insert(function.to_string());
    }

    /// The scaler tells a function's runners.
    pub fn update_runners(&mut self, now: u64, news: FunctionUpdate) {
        let function = news.function.clone();
        let seats = self.functions.entry(function.clone()).or_default();
        seats.used_at = seats.used_at.max(now.saturating_sub(FORGET_MS / 2));
        seats.take_news(now, news);
        for runner in &seats.runners {
            if runner.is_awaited() {
                let key = (function.clone(), runner.news.id.clone());
                self.awaited.entry(key).or_insert(runner.probe_at);
            }
        }
        self.dirty.insert(function.clone());
        self.serve(now, &function);
        self.refuse_hopeless(now, &function);
    }

    /// A gateway is gone; what it held or wanted is free.
    pub fn remove_gateway(&mut self, now: u64, gateway: &str) {
        let held = self.tickets.iter().filter(|((name, _), _)| name == gateway);
        let functions: BTreeSet<String> = held.map(|(_, function)| function.clone()).collect();
        self.tickets.retain(|(name, _), _| name != gateway);
        for function in functions {
            if let Some(seats) = self.functions.get_mut(&function) {
                seats.forget_gateway(gateway);
                seats.is_dirty = true;
            }
            self.dirty.insert(function.clone());
            self.serve(now, &function);
        }
    }

    /// What came of a probe: whether the runner took the connection.
    pub fn record_probe(&mut self, now: u64, function: &str, runner: &str, is_up: bool) {
        let Some(seats) = self.functions.get_mut(function) else {
            return;
        };
        let mut runners = seats.runners.iter_mut();
        let Some(runner) = runners.find(|one| one.news.id == runner) else {
            return;
        };
        runner.is_probed = false;
        if is_up {
            runner.is_up = true;
            runner.looked_until = now + LOOK_MS;
            seats.is_dirty = true;
            self.awaited
                .remove(&(function.to_string(), runner.news.id.clone()));
            self.dirty.insert(function.to_string());
            self.serve(now, function);
            return;
        }
        // The pause grows with how long the start takes already.
        let pause = (u64::from(runner.news.starts_in_ms) / 20).clamp(15, 150);
        runner.probe_at = now + pause;
        let key = (function.to_string(), runner.news.id.clone());
        self.awaited.insert(key, now + pause);
    }

    /// Lends what is free, and sees to what is due; called often.
    pub fn tick(&mut self, now: u64) {
        let due: Vec<(String, String)> = self
            .awaited
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for (function, id) in due {
            self.probe(&function, &id);
        }
        let resting = self
            .functions
            .iter()
            .filter(|(_, seats)| !seats.waiting.is_empty());
        let waiting: Vec<String> = resting.map(|(function, _)| function.clone()).collect();
        for function in waiting {
            self.refuse_hopeless(now, &function);
            self.serve(now, &function);
            self.remind(now, function);
        }
    }

    // Who waits is told again and again, since the scaler forgets what it has not heard for long.
    fn remind(&mut self, now: u64, function: String) {
        let Some(seats) = self.functions.get_mut(&function) else {
            return;
        };
        if !seats.waiting.is_empty() && now >= seats.told_at + REMIND_MS {
            seats.is_dirty = true;
            self.dirty.insert(function);
        }
    }

    /// When there is something to do next, at the latest.
    pub fn next_probe_at(&self) -> Option<u64> {
        self.awaited.values().min().copied()
    }

    fn reject(&mut self, gateway: &str, request_id: RequestId, retry_after_ms: u32) {
        self.actions.push(LeaseAction::Reject {
            gateway: gateway.into(),
            request_id,
            retry_after_ms,
        });
    }

    fn probe(&mut self, function: &str, id: &str) {
        let key = (function.to_string(), id.to_string());
        self.awaited.remove(&key);
        let Some(seats) = self.functions.get_mut(function) else {
            return;
        };
        let mut runners = seats.runners.iter_mut();
        let Some(runner) = runners.find(|one| one.news.id == id && one.is_awaited()) else {
            return;
        };
        if runner.is_probed {
            return;
        }
        runner.is_probed = true;
        let address = runner.news.address.clone();
        self.actions.push(LeaseAction::Probe {
            function: function.into(),
            runner: id.into(),
            address,
        });
    }

    /// Refuses requests whose time is over, and those that nothing can serve in time.
    fn refuse_hopeless(&mut self, now: u64, function: &str) {
        let Some(seats) = self.functions.get_mut(function) else {
            return;
        };
        let late = seats.waiting.iter().filter(|(_, one)| one.ends_at <= now);
        let late = late.map(|(key, _)| (*key, RETRY_AFTER_MS));
        let hopeless: Vec<((u8, u64), u32)> = late.chain(seats.hopeless(now)).collect();
        for (key, retry_after_ms) in hopeless {
            let Some(waiting) = seats.waiting.remove(&key) else {
                continue;
            };
            self.tickets.remove(&waiting.holder);
            seats.given_up += 1;
            seats.is_dirty = true;
            let (gateway, ticket) = waiting.holder;
            self.actions.push(LeaseAction::Reject {
                gateway,
                request_id: ticket,
                retry_after_ms,
            });
        }
    }

    fn serve(&mut self, now: u64, function: &str) {
        let Some(seats) = self.functions.get_mut(function) else {
            return;
        };
        while let Some((key, place)) = seats.match_next(now, &self.closed) {
            let Some(waiting) = seats.waiting.remove(&key) else {
                return;
            };
            let runner = &mut seats.runners[place];
            runner.holders.insert(waiting.holder.clone(), now);
            let (gateway, ticket) = waiting.holder;
            let grant = SeatLease {
                request_id: ticket,
                runner: runner.news.id.clone(),
                address: runner.news.address.clone(),
                zone: runner.news.zone.clone(),
            };
            self.actions.push(LeaseAction::Lease {
                gateway,
                lease: grant,
            });
        }
    }

    /// Reports that are due. `is_all` tells all that is known, as after a new scaler was met.
    pub fn reports(&mut self, now: u64, is_all: bool) -> Vec<FunctionReport> {
        let names: Vec<String> = if is_all {
            self.functions.keys().cloned().collect()
        } else {
            self.dirty.iter().cloned().collect()
        };
        let mut reports = Vec::new();
        for name in names {
            let Some(seats) = self.functions.get_mut(&name) else {
                self.dirty.remove(&name);
                continue;
            };
            let pause = if seats.is_urgent {
                URGENT_MS
            } else {
                REPORT_MS
            };
            if !is_all && (!seats.is_dirty || now < seats.told_at + pause) {
                if !seats.is_dirty {
                    self.dirty.remove(&name);
                }
                continue;
            }
            seats.told_at = now;
            seats.is_dirty = false;
            seats.is_urgent = false;
            self.dirty.remove(&name);
            reports.push(seats.report(&name));
        }
        reports
    }

    /// Forgets functions that fell to another gateway and are not used here any more.
    pub fn evict_unowned(&mut self, now: u64, is_mine: impl Fn(&str) -> bool) {
        self.functions.retain(|name, seats| {
            is_mine(name) || !seats.is_idle() || now < seats.used_at + FORGET_MS
        });
        let functions = &self.functions;
        self.dirty.retain(|name| functions.contains_key(name));
        self.awaited
            .retain(|(name, _), _| functions.contains_key(name));
    }

    /// Usage of a function's runners; empty where the function is not known here.
    pub fn runner_usage(&self, function: &str) -> Vec<RunnerUsage> {
        let Some(seats) = self.functions.get(function) else {
            return Vec::new();
        };
        let runners = seats.runners.iter();
        runners
            .map(|one| {
                let is_serving = one.serves() && one.news.stage != RunnerStage::Draining;
                RunnerUsage {
                    id: one.news.id.clone(),
                    quota: one.news.quota,
                    in_use: one.in_use(),
                    is_serving,
                }
            })
            .collect()
    }

    /// Functions known here.
    pub fn len(&self) -> usize {
        self.functions.len()
    }

    /// Whether no function is known here.
    pub fn is_empty(&self) -> bool {
        self.functions.is_empty()
    }
}
