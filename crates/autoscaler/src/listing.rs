use crate::autoscaler::Autoscaler;
use crate::function::{Function, Plan};
use crate::listing_types::{RunnerListing, WorkerListing};
use crate::placing::Worker;
use crate::runner::{Life, Runner};
use std::collections::{BTreeMap, HashSet};

/// Whether a worker can take more than when it was listed before.
fn has_more_room(before: &WorkerListing, now: &WorkerListing) -> bool {
    let is_back = before.is_draining && !now.is_draining;
    is_back || !now.is_draining && now.free_mb > before.free_mb
}

impl Autoscaler {
    /// Takes the platform's whole list of workers.
    pub fn update_workers(&mut self, now: u64, listings: Vec<WorkerListing>) {
        self.pass(now);
        let is_first = !self.knows_workers;
        self.knows_workers = true;
        let mut before = std::mem::take(&mut self.workers);
        let oldest = self.now.saturating_sub(2 * self.options.list_lag_ms);
        let mut has_gained = false;
        for listing in listings {
            let mut worker = before.remove(&listing.name).unwrap_or_default();
            has_gained |= has_more_room(&worker.listing, &listing);
            worker.freed.retain(|(at, _)| *at >= oldest);
            worker.seen_at = self.now;
            worker.listing = listing;
            self.workers.insert(worker.listing.name.clone(), worker);
        }
        for worker in before.into_values() {
            self.lose_worker(worker);
        }
        let leaving = self
            .workers
            .values()
            .filter(|worker| worker.listing.is_draining);
        let serials: Vec<u64> = leaving
            .flat_map(|worker| self.placed_on(&worker.listing.name))
            .map(|(serial, _)| serial)
            .collect();
        for serial in serials {
            self.heed_worker(serial);
        }
        if has_gained {
            self.try_blocked_again();
        }
        self.settle_lists(is_first);
    }

    /// A worker that is not listed is down. Starts there are lost; what serves there is for the
    /// keepers and the list of runners to tell.
    fn lose_worker(&mut self, worker: Worker) {
        let since = self.now;
        self.accounts.remove(&worker.listing.name);
        let placed = self.placed_on(&worker.listing.name);
        let placed: Vec<(u64, Life)> = placed.map(|(serial, one)| (serial, one.life)).collect();
        for (serial, life) in placed {
            match life {
                Life::Wanted { .. } => self.withdraw(serial),
                Life::Starting => self.turn(serial, Life::Gone { since }),
                _ => {}
            }
        }
    }

    /// Takes the platform's whole list of runners.
    pub fn update_runners(&mut self, now: u64, listings: Vec<RunnerListing>) {
        self.pass(now);
        let is_first = !self.knows_runners;
        self.knows_runners = true;
        self.runners_seen_at = self.now;
        let listed: HashSet<&str> = listings.iter().map(|listing| listing.id.as_str()).collect();
        for listing in &listings {
            match self.ids.get(&listing.id) {
                Some(&serial) => self.see_known(serial, listing),
                None => self.see_unknown(listing.clone()),
            }
        }
        self.miss_unlisted(&listed);
        let unlisted_ms = self.options.unlisted_ms();
        let now = self.now;
        let is_fresh = |at: u64| at + unlisted_ms > now;
        self.stopped
            .retain(|id, at| listed.contains(id.as_str()) || is_fresh(*at));
        self.settle_lists(is_first);
    }

    fn settle_lists(&mut self, is_first: bool) {
        if !self.knows_enough() {
            return;
        }
        if is_first {
            // Now it is known which runners there are, also for functions that have none.
            self.changed.extend(self.active.iter().cloned());
            for name in self.active.clone() {
                self.make_due(&name);
            }
        }
        self.settle_due();
    }

    fn see_known(&mut self, serial: u64, listing: &RunnerListing) {
        let unlisted_ms = self.options.unlisted_ms();
        let now = self.now;
        let Some(runner) = self.runners.get_mut(&serial) else {
            return;
        };
        runner.was_listed = true;
        runner.missing_since = None;
        let since = now;
        match runner.life {
            Life::Starting | Life::Serving | Life::Draining { .. } if listing.is_terminating => {
                self.turn(serial, Life::Leaving { since });
            }
            Life::Starting => {
                runner.is_up = true;
                self.turn(serial, Life::Serving);
            }
            Life::Gone { since } if !listing.is_terminating && now >= since + unlisted_ms => {
                self.turn(serial, Life::Stopping { not_before: 0 });
            }
            _ => {}
        }
    }

    fn see_unknown(&mut self, listing: RunnerListing) {
        if let Some(&at) = self.stopped.get(&listing.id) {
            let end_ms = self.options.unlisted_ms() + self.options.drain_ms + self.longest_ms;
            if listing.is_terminating || self.now < at + end_ms {
                return;
            }
            // It was to be stopped and is still there.
            self.stopped.remove(&listing.id);
            let serial = self.adopt(listing);
            self.turn(serial, Life::Stopping { not_before: 0 });
            return;
        }
        let is_terminating = listing.is_terminating;
        self.replace_unsure(&listing);
        let serial = self.adopt(listing);
        let since = self.now;
        if is_terminating {
            self.turn(serial, Life::Leaving { since });
            return;
        }
        self.heed_closures(serial);
        self.heed_worker(serial);
    }

    fn replace_unsure(&mut self, listing: &RunnerListing) {
        let mut placed = self.placed_on(&listing.worker);
        let unsure = placed.find(|(_, runner)| {
            runner.function == listing.function && matches!(runner.life, Life::Unsure { .. })
        });
        let Some((serial, _)) = unsure else {
            return;
        };
        drop(placed);
        self.forget(serial);
    }

    fn adopt(&mut self, listing: RunnerListing) -> u64 {
        let now = self.now;
        let unknown = Plan {
            memory_mb: 0,
            start_ms: 0,
            concurrency: listing.capacity.max(1),
            aim_ms: u32::MAX,
            rank: u8::MAX,
            timeout_ms: 0,
            is_described: false,
        };
        let function = self.functions.entry(listing.function.clone());
        let function = function.or_insert_with(|| Function::new(unknown));
        function.busy_at = Some(function.busy_at.unwrap_or(0).max(now));
        let most = listing.capacity.min(function.plan.concurrency).max(1);
        let runner = Runner {
            function: listing.function.clone(),
            nonce: String::new(),
            id: Some(listing.id),
            address: listing.address,
            zone: listing.zone,
            worker: listing.worker,
            memory_mb: function.plan.memory_mb,
            quota: most,
            most,
            capacity: listing.capacity.max(1),
            life: Life::Serving,
            asked_at: None,
            started_at: now,
            tries: 0,
            known_at: now,
            is_up: true,
            is_lost: false,
            was_listed: true,
            missing_since: None,
            drain_news: 0,
            used_at: now,
            pace_ms: function.pace_ms,
            answers: 0,
        };
        log::info!("scaler: {} has {:?}", runner.function, runner.id);
        self.changed.insert(listing.function.clone());
        self.due.insert((function.plan.rank, listing.function));
        self.add_runner(runner)
    }

    /// Runners that were listed once and are no more, for longer than the list lags.
    fn miss_unlisted(&mut self, listed: &HashSet<&str>) {
        let unlisted_ms = self.options.unlisted_ms();
        let mut gone = BTreeMap::new();
        for (&serial, runner) in &mut self.runners {
            let Some(id) = &runner.id else {
                continue;
            };
            if listed.contains(id.as_str()) {
                continue;
            }
            let missing_since = *runner.missing_since.get_or_insert(self.now);
            let is_missing = self.now >= missing_since + unlisted_ms;
            let is_gone = match runner.life {
                Life::Leaving { .. } => runner.was_listed,
                Life::Gone { since } => runner.was_listed && self.now >= since + unlisted_ms,
                Life::Serving | Life::Draining { .. } => runner.was_listed && is_missing,
                _ => false,
            };
            if is_gone {
                gone.insert(serial, id.clone());
            }
        }
        for (serial, id) in gone {
            log::info!("scaler: {id} is gone");
            // Lists that lag may show it again.
            self.stopped.insert(id, self.now);
            self.forget(serial);
        }
    }
}
