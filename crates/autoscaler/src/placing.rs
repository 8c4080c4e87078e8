use crate::autoscaler::Autoscaler;
use crate::listing_types::WorkerListing;
use crate::runner::{Life, Runner};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Milliseconds after which a start for which there was no room is tried again.
pub(crate) const HELD_MS: u64 = 1_000;

/// A worker, and what became of it since it was listed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Worker {
    pub listing: WorkerListing,
    pub seen_at: u64,
    pub aside_until: u64,
    /// Times and sizes of memory that was freed.
    pub freed: Vec<(u64, u64)>,
}

/// What the runners on one worker take.
#[derive(Clone, Debug, Default)]
pub(crate) struct Account {
    used_mb: u64,
    /// Memory by share of what each runner may hold.
    busy_mb: f64,
    /// Memory of starts that are not ordered yet.
    unasked_mb: u64,
    /// Orders that the newest list may lack, with their memory.
    asked: Vec<(u64, u64)>,
}

/// How good a worker is for a start; the lowest goes first.
struct Fitness {
    is_elsewhere: bool,
    is_fresh: bool,
    /// Occupancy in tenths: only workers that are about equal are told apart by the zones.
    tenths: u64,
    neighbours: usize,
    occupancy: f64,
}

impl Fitness {
    fn compare(&self, other: &Self) -> Ordering {
        let key = |fitness: &Self| {
            (
                fitness.is_elsewhere,
                fitness.is_fresh,
                fitness.tenths,
                fitness.neighbours,
            )
        };
        let by_occupancy = || self.occupancy.total_cmp(&other.occupancy);
        key(self).cmp(&key(other)).then_with(by_occupancy)
    }
}

impl Autoscaler {
    pub(crate) fn is_open(&self, worker: &Worker) -> bool {
        !self.is_shut(worker) && self.now >= worker.aside_until
    }

    /// It leaves, or its zone is closed.
    pub(crate) fn is_shut(&self, worker: &Worker) -> bool {
        worker.listing.is_draining || self.closed.contains(&worker.listing.zone)
    }

    /// Runners that take memory on a worker, as far as is known.
    pub(crate) fn placed_on(&self, worker: &str) -> impl Iterator<Item = (u64, &Runner)> {
        let serials = self.placed.get(worker).into_iter().flatten();
        serials.filter_map(|serial| Some((*serial, self.runners.get(serial)?)))
    }

    /// The time before which the list of workers knows all orders.
    fn listed_until(&self, worker: &Worker) -> u64 {
        worker.seen_at.saturating_sub(self.options.list_lag_ms)
    }

    /// What the runners on a worker take, summed anew.
    pub(crate) fn sum_account(&self, worker: &Worker) -> Account {
        let listed_until = self.listed_until(worker);
        let mut account = Account::default();
        for (_, runner) in self.placed_on(&worker.listing.name) {
            account.used_mb += runner.memory_mb;
            let share = f64::from(runner.quota) / f64::from(runner.most.max(1));
            account.busy_mb += runner.memory_mb as f64 * share;
            match runner.asked_at {
                // What one list knows all later ones know.
                Some(at) if at >= listed_until => account.asked.push((at, runner.memory_mb)),
                None if runner.id.is_none() => account.unasked_mb += runner.memory_mb,
                _ => {}
            }
        }
        account
    }

    fn renew_accounts(&mut self) {
        let workers = self.workers.values();
        let stale = workers.filter(|worker| !self.accounts.contains_key(&worker.listing.name));
        let renewed: Vec<(String, Account)> = stale
            .map(|worker| (worker.listing.name.clone(), self.sum_account(worker)))
            .collect();
        self.accounts.extend(renewed);
    }

    /// Memory that is free on a worker, by the own account and by the list.
    pub(crate) fn free_mb(&self, worker: &Worker, account: &Account) -> u64 {
        let listed_until = self.listed_until(worker);
        let sum = |sizes: &[(u64, u64)]| -> u64 {
            let late = sizes.iter().filter(|(at, _)| *at >= listed_until);
            late.map(|(_, size)| size).sum()
        };
        let unlisted_mb = account.unasked_mb + sum(&account.asked);
        let own_mb = worker.listing.memory_mb.saturating_sub(account.used_mb);
        let listed_mb = (worker.listing.free_mb + sum(&worker.freed)).saturating_sub(unlisted_mb);
        own_mb.min(listed_mb)
    }

    /// Runners of a function that count, by zone.
    fn spread(&self, name: &str) -> BTreeMap<&str, usize> {
        let mut zones = BTreeMap::new();
        let Some(function) = self.functions.get(name) else {
            return zones;
        };
        for (_, runner) in self.runners_of(function) {
            if runner.counts() {
                *zones.entry(runner.zone.as_str()).or_default() += 1;
            }
        }
        zones
    }

    /// Zone from which most calls come that have no runner there; the emptiest where none calls yet.
    fn callers_zone(&self, name: &str, spread: &BTreeMap<&str, usize>) -> Option<String> {
        if !self.options.prefers_callers_zone {
            return None;
        }
        let calls = self.functions.get(name)?.arrivals.by_zone().iter();
        let unserved = calls.filter(|(zone, _)| !spread.contains_key(zone.as_str()));
        let most = unserved.max_by(|(one, count), (other, others)| {
            count.total_cmp(others).then_with(|| other.cmp(one))
        });
        let most = most.map(|(zone, _)| zone.clone());
        most.or_else(|| spread.is_empty().then(|| self.emptiest_zone()).flatten())
    }

    /// Zone whose runners take the least memory: minimal runners that nobody called yet are spread, so that the
    /// loss of one worker or zone does not take them all.
    fn emptiest_zone(&self) -> Option<String> {
        let mut taken: BTreeMap<&str, u64> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| self.is_open(worker)) {
            let placed = self.placed_on(&worker.listing.name);
            let memory: u64 = placed.map(|(_, runner)| runner.memory_mb).sum();
            *taken.entry(worker.listing.zone.as_str()).or_default() += memory;
        }
        let least = taken.into_iter().min_by_key(|(_, memory)| *memory);
        least.map(|(zone, _)| zone.to_owned())
    }

    /// The least-occupied used worker, else a fresh one; in the callers' zone where there is
    /// room and the function has no runner.
    pub(crate) fn place(&mut self, name: &str) -> Option<String> {
        self.renew_accounts();
        let memory_mb = self.functions.get(name)?.plan.memory_mb;
        let spread = self.spread(name);
        let callers = self.callers_zone(name, &spread);
        let mut best: Option<(Fitness, &str)> = None;
        for worker in self.workers.values() {
            let Some(account) = self.accounts.get(&worker.listing.name) else {
                continue;
            };
            if !self.is_open(worker) || self.free_mb(worker, account) < memory_mb {
                continue;
            }
            let zone = worker.listing.zone.as_str();
            let occupancy = account.busy_mb / worker.listing.memory_mb.max(1) as f64;
            let fitness = Fitness {
                is_elsewhere: callers.as_deref().is_some_and(|name| name != zone),
                is_fresh: self.placed_on(&worker.listing.name).next().is_none(),
                tenths: (occupancy * 10.0) as u64,
                neighbours: spread.get(zone).copied().unwrap_or(0),
                occupancy,
            };
            let is_better = |(other, _): &(Fitness, &str)| fitness.compare(other).is_lt();
            if best.as_ref().is_none_or(is_better) {
                best = Some((fitness, &worker.listing.name));
            }
        }
        best.map(|(_, chosen_worker)| chosen_worker.to_owned())
    }

    /// Wants one more runner of a function. Tells whether there was room.
    pub(crate) fn launch(&mut self, name: &str, is_urgent: bool) -> bool {
        let Some(chosen_worker) = self.place(name) else {
            self.hold_back(name);
            self.make_room(name);
            self.judge_room(name);
            return false;
        };
        self.lift_no_room(name);
        let Some(function) = self.functions.get(name) else {
            return false;
        };
        let Some(worker) = self.workers.get(&chosen_worker) else {
            return false;
        };
        let plan = &function.plan;
        let nonce = format!("{}-{}", self.options.nonce_prefix, self.serials + 1);
        let rank = plan.rank;
        let runner = Runner {
            function: name.to_owned(),
            nonce,
            id: None,
            address: String::new(),
            zone: worker.listing.zone.clone(),
            worker: chosen_worker,
            memory_mb: plan.memory_mb,
            quota: plan.concurrency,
            most: plan.concurrency,
            capacity: u32::MAX,
            life: Life::Wanted { not_before: 0 },
            asked_at: None,
            started_at: self.now,
            tries: 0,
            known_at: self.now,
            is_up: false,
            is_lost: false,
            was_listed: false,
            missing_since: None,
            drain_news: 0,
            used_at: self.now,
            pace_ms: function.pace_ms,
            answers: 0,
        };
        log::debug!("scaler: {name} wants a runner on {}", runner.worker);
        let serial = self.add_runner(runner);
        self.wanted
            .insert((if is_urgent { 0 } else { 2 }, rank, serial));
        self.explain(name, "one more runner");
        true
    }

    fn hold_back(&mut self, name: &str) {
        let until = self.now + HELD_MS;
        if let Some(function) = self.functions.get_mut(name) {
            function.held_until = until;
        }
        self.explain(name, "no room");
    }
}
