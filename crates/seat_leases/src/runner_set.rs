//! The runners of one function, and the choice of a runner for a request.

use crate::lease_holder::LeaseHolder;
use crate::lease_rules::LeaseRules;
use crate::seat_runner::SeatRunner;
use policy::LeasingPolicy;
use protocol::{FunctionHandover, RunnerLeases, RunnerStage, RunnerUpdate};
use std::collections::BTreeMap;

/// Number of runners of a function rejecting requests within a second from which on another owner must be leasing the same
/// seats.
const CONTENDED_RUNNERS: usize = 2;
/// Response time in milliseconds assumed until one has been measured.
const DEFAULT_RESPONSE_MS: f64 = 60.0;
/// Quota of a runner that a gateway reported before the scaler did.
const UNKNOWN_QUOTA: u32 = 1;

/// What a request requires of its runner.
pub(crate) struct RunnerCriteria<'a> {
    /// Runners that have failed the request.
    pub excluded: &'a [String],
    /// Regions that the request may run in; empty if all are allowed.
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

    /// Looks up a runner by id.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut SeatRunner> {
        self.runners.iter_mut().find(|runner| runner.id() == id)
    }

    /// Applies the scaler's runner list. A runner that is missing from it is kept until its leases end.
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

    /// Adopts the runners handed over by the function's former owner. Newer information from the scaler takes precedence.
    /// Runners missing from a newer list are drained.
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
            if is_newer || handover.has_leases_at(&runner.update.id) {
                self.runners.push(adopted);
            }
        }
    }

    /// Returns the runner at which a gateway holds leases. An unknown runner is added in the given stage.
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

    /// Ends a lease and returns the runner whose seat was freed.
    pub fn remove_lease(&mut self, holder: &LeaseHolder) -> Option<&mut SeatRunner> {
        let mut runners = self.runners.iter_mut();
        runners.find_map(|runner| runner.remove_lease(holder).then_some(runner))
    }

    /// Ends all leases of a gateway.
    pub fn remove_gateway(&mut self, gateway: &str) {
        for runner in &mut self.runners {
            runner.remove_gateway(gateway);
        }
    }

    /// Holders of the leases of a gateway.
    pub fn holders_of(&self, gateway: &str) -> Vec<LeaseHolder> {
        let holders = self.runners.iter().flat_map(SeatRunner::holders);
        let of_gateway = holders.filter(|holder| holder.gateway == gateway);
        of_gateway.cloned().collect()
    }

    /// Whether a seat is leased.
    pub fn has_leases(&self) -> bool {
        self.runners.iter().any(SeatRunner::has_leases)
    }

    /// If several runners reject requests at the same time, another owner is leasing seats of the function too. All runners
    /// are then limited to their current number of requests for a while.
    pub fn limit_if_contended(&mut self, now: u64) {
        let runners = self.runners.iter();
        let rejecting = runners.filter(|runner| runner.has_rejected_recently(now));
        if rejecting.count() < CONTENDED_RUNNERS {
            return;
        }
        for runner in &mut self.runners {
            runner.limit_to_current(now);
        }
    }

    /// Indices of the runners with a free seat outside evacuated zones.
    pub fn free_runners(&self, now: u64, rules: &LeaseRules) -> Vec<usize> {
        let is_free = |index: &usize| {
            let runner = &self.runners[*index];
            runner.has_free_seat(now) && !rules.evacuated_zones.contains(runner.zone())
        };
        (0..self.runners.len()).filter(is_free).collect()
    }

    /// Filters the candidates that a request may use: those in an allowed region, excluding runners that have failed the
    /// request as long as there is an alternative to wait for.
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

    /// Whether a runner that has not failed the request is serving or starting in an allowed region.
    fn has_alternative(&self, criteria: &RunnerCriteria<'_>, rules: &LeaseRules) -> bool {
        let mut runners = self.in_regions(criteria.allowed_regions, rules);
        runners.any(|runner| {
            let is_evacuated = rules.evacuated_zones.contains(runner.zone());
            let has_seats = runner.is_serving() && runner.quota() > 0;
            (has_seats || runner.is_starting()) && !is_evacuated && !criteria.excludes(runner)
        })
    }

    /// The candidate with the lowest cost for a request from this zone.
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

    /// Expected response time plus the cost of the distance to another zone or region.
    fn cost(&self, index: usize, zone: &str, rules: &LeaseRules, mean_ms: f64) -> f64 {
        let runner = &self.runners[index];
        let response_ms = runner.mean_response_ms().unwrap_or(mean_ms);
        let distance_ms = mean_ms * rules.distance_cost(zone, runner.zone());
        response_ms * (1.0 + runner.utilization() * rules.policy.full_cost) + distance_ms
    }

    /// The runner at an index.
    pub fn at_mut(&mut self, index: usize) -> &mut SeatRunner {
        &mut self.runners[index]
    }

    /// Mean response time in milliseconds over all runners.
    pub fn mean_response_ms(&self) -> f64 {
        let means = self.runners.iter().filter_map(SeatRunner::mean_response_ms);
        let (count, sum) = means.fold((0, 0.0), |(count, sum), mean| (count + 1, sum + mean));
        if count == 0 {
            return DEFAULT_RESPONSE_MS;
        }
        sum / f64::from(count)
    }

    /// Runners in the allowed regions of a request.
    fn in_regions<'a>(
        &'a self,
        allowed_regions: &'a [String],
        rules: &'a LeaseRules,
    ) -> impl Iterator<Item = &'a SeatRunner> {
        let runners = self.runners.iter();
        runners.filter(|runner| rules.allows(allowed_regions, runner.zone()))
    }

    /// Expected milliseconds until a request with `ahead` requests before it gets a seat in the allowed regions; `None` if
    /// no runner is serving or starting there.
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

    /// Whether a runner in the allowed regions is serving, even if it is backed off, or starting.
    pub fn may_serve(&self, allowed_regions: &[String], rules: &LeaseRules) -> bool {
        let mut runners = self.in_regions(allowed_regions, rules);
        runners.any(|runner| runner.is_serving() || runner.is_starting())
    }
}
