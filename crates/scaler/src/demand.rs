use crate::forecast::Forecast;
use crate::sight::Sight;
use configuration::{Bounds, PeerRef};
use std::collections::{BTreeMap, HashSet, VecDeque};

/// Milliseconds of one answer that are assumed until answers were seen.
const PACE_PRIOR_MS: f64 = 100.0;
/// Answers over which a runner's pace is taken; the newest weigh most.
const PACE_SPAN: f64 = 20.0;
/// Answers until which a runner goes by its function's pace.
const PACE_ANSWERS: u64 = 3;

/// What is known of one function's demand and pace.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    pub forecast: Forecast,
    pub measured: f64,
    pub waiting: u32,
    pub pace_ms: Option<f64>,
    pub last_arrival: u64,
    pub calm_since: Option<u64>,
    arrivals: VecDeque<(u64, u64)>,
    total: u64,
}

impl Demand {
    /// Requests a second that are scaled for: the forecast, and what waits, which is to be served
    /// within a third of the bound on changes.
    pub fn wanted(&self, bounds: &Bounds) -> f64 {
        self.forecast.rate() + f64::from(self.waiting) * 3_000.0 / bounds.change_ms as f64
    }

    /// Requests a second that one seat carries.
    pub fn seat_rate(&self) -> f64 {
        1_000.0 / self.pace_ms.unwrap_or(PACE_PRIOR_MS).max(1.0)
    }
}

/// Demand of every function, from the totals that the fronts tell.
#[derive(Debug, Default)]
pub(crate) struct DemandTable {
    pub functions: BTreeMap<String, Demand>,
    arrived: BTreeMap<(PeerRef, String), u64>,
    answered: BTreeMap<(String, u64), (u64, u64)>,
    paces: BTreeMap<String, Pace>,
    sampled_at: u64,
}

/// What one runner's answers took.
#[derive(Debug, Default)]
struct Pace {
    answers: u64,
    mean_ms: f64,
}

impl Pace {
    fn learn(&mut self, answers: u64, mean_ms: f64) {
        let known = (self.answers as f64).min(PACE_SPAN);
        let weight = answers as f64 / (known + answers as f64);
        self.mean_ms += weight * (mean_ms - self.mean_ms);
        self.answers += answers;
    }
}

impl DemandTable {
    pub fn observe(&mut self, sight: &Sight) {
        let window = sight.blueprint.bounds.change_ms / 3;
        for listing in &sight.blueprint.listings {
            self.functions.entry(listing.name.clone()).or_default();
        }
        let listed = sight.blueprint.listings.iter();
        let listed: HashSet<&str> = listed.map(|listing| listing.name.as_str()).collect();
        self.functions
            .retain(|name, _| listed.contains(name.as_str()));
        for demand in self.functions.values_mut() {
            demand.waiting = 0;
        }
        for front in sight.fronts.values() {
            let is_heard = sight.now < front.heard_at + sight.blueprint.bounds.lease_ms();
            for report in &front.report.functions {
                let Some(demand) = self.functions.get_mut(&report.function) else {
                    continue;
                };
                let key = (front.peer.clone(), report.function.clone());
                let known = self.arrived.entry(key).or_insert(0);
                if report.arrived > *known {
                    demand.total += report.arrived - *known;
                    demand.last_arrival = sight.now;
                    *known = report.arrived;
                }
                if is_heard {
                    demand.waiting += report.waiting;
                }
            }
        }
        self.learn_pace(sight);
        self.sample(sight.now, window);
        self.arrived.retain(|(peer, _), _| {
            sight
                .fronts
                .get(&peer.name)
                .is_some_and(|front| front.peer == *peer)
        });
    }

    fn sample(&mut self, now: u64, window: u64) {
        let is_due = now >= self.sampled_at + window / 4;
        for demand in self.functions.values_mut() {
            demand.arrivals.push_back((now, demand.total));
            while demand.arrivals.len() > 2 && demand.arrivals[1].0 + window <= now {
                demand.arrivals.pop_front();
            }
            let (since, before) = demand.arrivals[0];
            let span = now.saturating_sub(since).max(window) as f64 / 1_000.0;
            demand.measured = (demand.total - before) as f64 / span;
            if is_due {
                demand.forecast.observe(demand.measured);
            }
        }
        if is_due {
            self.sampled_at = now;
        }
    }

    /// Milliseconds that an answer of this runner takes, once enough were seen.
    pub fn pace_of(&self, runner: &str) -> Option<f64> {
        let pace = self.paces.get(runner)?;
        (pace.answers >= PACE_ANSWERS).then_some(pace.mean_ms.max(1.0))
    }

    /// Requests a second that one seat of this runner carries; its function's until it was seen.
    pub fn seat_rate(&self, function: &str, runner: &str) -> f64 {
        let own = self.pace_of(runner).map(|pace| 1_000.0 / pace);
        let prior = self.functions.get(function).map_or(0.0, Demand::seat_rate);
        own.unwrap_or(prior)
    }

    fn learn_pace(&mut self, sight: &Sight) {
        for front in sight.fronts.values() {
            for report in &front.report.runners {
                let Some(entry) = sight.plan.runner(&report.runner) else {
                    continue;
                };
                let key = (report.runner.clone(), report.epoch);
                let known = self.answered.entry(key).or_insert((0, 0));
                let answers = report.answered.saturating_sub(known.0);
                if answers == 0 {
                    continue;
                }
                let mean = report.took_ms.saturating_sub(known.1) as f64 / answers as f64;
                *known = (report.answered, report.took_ms);
                let pace = self.paces.entry(entry.id.clone());
                pace.or_insert_with(|| Pace {
                    answers: 0,
                    mean_ms: f64::from(entry.pace_ms),
                })
                .learn(answers, mean);
            }
        }
        self.answered
            .retain(|(runner, _), _| sight.plan.runner(runner).is_some());
        self.paces
            .retain(|runner, _| sight.plan.runner(runner).is_some());
        let mut paces: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for entry in &sight.plan.runners {
            if let Some(pace) = self.paces.get(&entry.id) {
                paces.entry(&entry.function).or_default().push(pace.mean_ms);
            }
        }
        // The runner in the middle stands for those that were not seen yet.
        for (function, mut paces) in paces {
            paces.sort_by(f64::total_cmp);
            if let Some(demand) = self.functions.get_mut(function) {
                demand.pace_ms = Some(paces[(paces.len() - 1) / 2]);
            }
        }
    }
}
