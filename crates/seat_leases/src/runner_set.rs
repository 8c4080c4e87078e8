//! The runners of one function, and which of their seats a request gets.

use crate::lease_holder::LeaseHolder;
use crate::lease_rules::LeaseRules;
use crate::seat_runner::SeatRunner;
use policy::LeasingPolicy;
use protocol::{FunctionHandover, RunnerLeases, RunnerStage, RunnerUpdate};
use std::collections::BTreeMap;

/// Runners of one function that reject requests within a second where another owner must be leasing their seats too.
const CONTENDED_RUNNERS: usize = 2;
/// Milliseconds of a response that are assumed until one was seen.
const DEFAULT_RESPONSE_MS: f64 = 60.0;
/// Quota of a runner that a gateway reported before the scaler did.
const UNKNOWN_QUOTA: u32 = 1;

/// What a request asks of a runner.
pub(crate) struct RunnerCriteria<'a> {
    /// Runners that failed it.
    pub excluded: &'a [String],
    /// Regions that it must not leave; empty where all are allowed.
    pub allowed_regions: &'a [String],
}

impl RunnerCriteria<'_> {
    fn excludes(&self, runner: &SeatRunner) -> bool {
        self.excluded.iter().any(|id| id == runner.id())
    }
}

/// The runners of one function.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunnerSet {
    runners: Vec<SeatRunner>,
}

impl RunnerSet {
    pub fn iter(&self) -> impl Iterator<Item = &SeatRunner> {
        self.runners.iter()
    }

    /// The runner with this id.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut SeatRunner> {
        self.runners.iter_mut().find(|runner| runner.id() == id)
    }

    /// Takes the runners as the scaler wants them. One that is not wanted any more keeps its leases until they end.
    pub fn apply_updates(&mut self, now: u64, updates: Vec<RunnerUpdate>, policy: &LeasingPolicy) {
        let mut known: BTreeMap<String, SeatRunner> = std::mem::take(&mut self.runners)
            .into_iter()
            .map(|runner| (runner.id().to_string(), runner))
            .collect();
        for update in updates {
            let runner = match known.remove(&update.id) {
                None => SeatRunner::new(update, now, policy),
                Some(mut runner) => {
                    runner.apply_update(update);
                    runner
                }
            };
            self.runners.push(runner);
        }
        for (_, mut runner) in known {
            runner.drain();
            if runner.has_leases() {
                self.runners.push(runner);
            }
        }
    }

    /// Takes the runners that the function's former owner hands over. Where the scaler has said something newer here, it holds. What the
    /// newer list does not name drains.
    pub fn adopt(
        &mut self,
        now: u64,
        handover: &FunctionHandover,
        is_newer: bool,
        policy: &LeasingPolicy,
    ) {
        if is_newer {
            for runner in &mut self.runners {
                runner.drain();
            }
        }
        for runner in &handover.runners {
            if let Some(known) = self.get_mut(&runner.update.id) {
                if is_newer {
                    known.apply_update(runner.update.clone());
                }
                if handover.is_confirmed() {
                    known.merge_handover(runner);
                }
                continue;
            }
            let mut adopted = SeatRunner::from_handover(runner, now, policy);
            if !is_newer {
                adopted.drain();
            }
            if is_newer || handover.has_leases_of(&runner.update.id) {
                self.runners.push(adopted);
            }
        }
    }

    /// The runner at which a gateway has leases; where it is not known yet it is added in this stage.
    pub fn get_or_add(
        &mut self,
        now: u64,
        leases: &RunnerLeases,
        stage: RunnerStage,
        policy: &LeasingPolicy,
    ) -> &mut SeatRunner {
        let known = self
            .runners
            .iter()
            .position(|runner| runner.id() == leases.runner);
        let index = known.unwrap_or_else(|| {
            let update = RunnerUpdate {
                id: leases.runner.clone(),
                address: leases.address.clone(),
                zone: leases.zone.clone(),
                quota: UNKNOWN_QUOTA,
                stage,
                starts_in_ms: 0,
            };
            self.runners.push(SeatRunner::new(update, now, policy));
            self.runners.len() - 1
        });
        &mut self.runners[index]
    }

    /// Ends a lease; the runner whose seat is free now.
    pub fn remove_lease(&mut self, holder: &LeaseHolder) -> Option<&mut SeatRunner> {
        let mut runners = self.runners.iter_mut();
        runners.find_map(|runner| runner.remove_lease(holder).then_some(runner))
    }

    /// Ends the leases of a gateway.
    pub fn remove_gateway(&mut self, gateway: &str) {
        for runner in &mut self.runners {
            runner.remove_gateway(gateway);
        }
    }

    /// Leases of a gateway.
    pub fn holders_of(&self, gateway: &str) -> Vec<LeaseHolder> {
        let holders = self.runners.iter().flat_map(SeatRunner::holders);
        let of_gateway = holders.filter(|holder| holder.gateway == gateway);
        of_gateway.cloned().collect()
    }

    /// Whether a seat is leased.
    pub fn has_leases(&self) -> bool {
        self.runners.iter().any(SeatRunner::has_leases)
    }

    /// Where several runners reject requests at a time, somebody else leases the function's seats too: none of its
    /// runners gets more than it has for a while.
    pub fn limit_if_contended(&mut self, now: u64) {
        let runners = self.runners.iter();
        let rejecting = runners.filter(|runner| runner.has_rejected_lately(now));
        if rejecting.count() < CONTENDED_RUNNERS {
            return;
        }
        for runner in &mut self.runners {
            runner.limit_to_current(now);
        }
    }

    /// Runners with a free seat, by place, that are in no evacuated zone.
    pub fn free_runners(&self, now: u64, rules: &LeaseRules) -> Vec<usize> {
        let is_free = |index: &usize| {
            let runner = &self.runners[*index];
            runner.has_free_seat(now) && !rules.evacuated_zones.contains(runner.zone())
        };
        (0..self.runners.len()).filter(is_free).collect()
    }

    /// Of these places those that a request may use: in a region that it may enter, and not at a runner that failed it while
    /// there is another one to wait for.
    pub fn usable<'a>(
        &'a self,
        candidates: &'a [usize],
        criteria: &'a RunnerCriteria<'a>,
        rules: &'a LeaseRules,
    ) -> impl Iterator<Item = usize> + 'a {
        let avoids_excluded =
            !criteria.excluded.is_empty() && self.has_alternative(criteria, rules);
        candidates.iter().copied().filter(move |index| {
            let runner = &self.runners[*index];
            let is_avoided = avoids_excluded && criteria.excludes(runner);
            !is_avoided && rules.allows(criteria.allowed_regions, runner.zone())
        })
    }

    /// Whether a runner that did not fail a request serves, or may come up, where the request may run.
    fn has_alternative(&self, criteria: &RunnerCriteria<'_>, rules: &LeaseRules) -> bool {
        let mut runners = self.in_regions(criteria.allowed_regions, rules);
        runners.any(|runner| {
            let is_evacuated = rules.evacuated_zones.contains(runner.zone());
            let has_seats = runner.is_serving() && runner.quota() > 0;
            (has_seats || runner.is_starting()) && !is_evacuated && !criteria.excludes(runner)
        })
    }

    /// Of these places the one that costs a request of this zone least.
    pub fn cheapest(
        &self,
        candidates: &[usize],
        zone: &str,
        criteria: &RunnerCriteria<'_>,
        rules: &LeaseRules,
    ) -> Option<usize> {
        let mean_ms = self.mean_response_ms();
        let cost = |index: usize| self.cost(index, zone, rules, mean_ms);
        let usable = self.usable(candidates, criteria, rules);
        usable.min_by(|one, other| cost(*one).total_cmp(&cost(*other)))
    }

    /// Expected time of a response, and what the way to another zone or region adds.
    fn cost(&self, index: usize, zone: &str, rules: &LeaseRules, mean_ms: f64) -> f64 {
        let runner = &self.runners[index];
        let response_ms = runner.mean_response_ms().unwrap_or(mean_ms);
        let distance_ms = mean_ms * rules.distance_cost(zone, runner.zone());
        response_ms * (1.0 + runner.utilization() * rules.policy.full_cost) + distance_ms
    }

    /// The runner at a place.
    pub fn at_mut(&mut self, index: usize) -> &mut SeatRunner {
        &mut self.runners[index]
    }

    /// Mean milliseconds of a response, over the runners.
    pub fn mean_response_ms(&self) -> f64 {
        let means = self.runners.iter().filter_map(SeatRunner::mean_response_ms);
        let (count, sum) = means.fold((0, 0.0), |(count, sum), mean| (count + 1, sum + mean));
        if count == 0 {
            return DEFAULT_RESPONSE_MS;
        }
        sum / f64::from(count)
    }

    /// Runners in the regions that a request may enter.
    fn in_regions<'a>(
        &'a self,
        allowed_regions: &'a [String],
        rules: &'a LeaseRules,
    ) -> impl Iterator<Item = &'a SeatRunner> {
        let runners = self.runners.iter();
        runners.filter(|runner| rules.allows(allowed_regions, runner.zone()))
    }

    /// Milliseconds until a request with so many ahead gets a seat in these regions; none where nothing serves nor starts there.
    pub fn expected_wait_ms(
        &self,
        now: u64,
        ahead: usize,
        allowed_regions: &[String],
        rules: &LeaseRules,
    ) -> Option<f64> {
        let usable = || self.in_regions(allowed_regions, rules);
        let serving = usable().filter(|runner| runner.is_serving());
        let seats: u32 = serving.map(SeatRunner::quota).sum();
        let response_ms = self.mean_response_ms();
        if seats > 0 {
            return Some((ahead as f64 + 1.0) / f64::from(seats) * response_ms);
        }
        let starting = usable().filter(|runner| runner.is_starting());
        let first = starting.map(|runner| runner.probe_at().saturating_sub(now));
        first.min().map(|wait| wait as f64)
    }

    /// Whether a runner in these regions serves, pauses or may come up.
    pub fn may_serve(&self, allowed_regions: &[String], rules: &LeaseRules) -> bool {
        let mut runners = self.in_regions(allowed_regions, rules);
        runners.any(|runner| runner.is_serving() || runner.is_starting())
    }
}
