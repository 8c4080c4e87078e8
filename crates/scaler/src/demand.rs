use crate::forecast::Forecast;
use crate::observation::Observation;
use configuration::{Bounds, PeerRef};
use std::collections::{BTreeMap, HashSet, VecDeque};

/// Response time assumed for a function without any responses yet, in milliseconds.
const INITIAL_RESPONSE_TIME_MS: f64 = 100.0;
/// Number of responses over which a runner's response time is averaged; recent ones weigh most.
const RESPONSE_TIME_SPAN: f64 = 20.0;
/// Responses a runner must have given before its own response time is used instead of its function's.
const MIN_RESPONSES: u64 = 3;

/// Measured demand and response time of one function.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    pub forecast: Forecast,
    pub measured: f64,
    pub waiting: u32,
    pub response_time_ms: Option<f64>,
    pub last_arrival: u64,
    pub below_beta_since: Option<u64>,
    arrivals: VecDeque<(u64, u64)>,
    total: u64,
}

impl Demand {
    /// Demand to provide capacity for, in requests per second: the forecast rate plus the rate at which
    /// the waiting requests are served within a third of `change_ms`.
    pub fn required_rate(&self, bounds: &Bounds) -> f64 {
        self.forecast.rate() + f64::from(self.waiting) * 3_000.0 / bounds.change_ms as f64
    }

    /// Requests per second that one seat can serve.
    pub fn seat_rate(&self) -> f64 {
        1_000.0
            / self
                .response_time_ms
                .unwrap_or(INITIAL_RESPONSE_TIME_MS)
                .max(1.0)
    }
}

/// Demand of every function, computed from the running totals that the fronts report.
#[derive(Debug, Default)]
pub(crate) struct DemandTable {
    pub functions: BTreeMap<String, Demand>,
    arrived: BTreeMap<(PeerRef, String), u64>,
    answered: BTreeMap<(String, u64), (u64, u64)>,
    response_times: BTreeMap<String, ResponseTime>,
    sampled_at: u64,
}

/// Moving average of one runner's response time.
#[derive(Debug, Default)]
struct ResponseTime {
    answers: u64,
    mean_ms: f64,
}

impl ResponseTime {
    fn add_samples(&mut self, answers: u64, mean_ms: f64) {
        let known = (self.answers as f64).min(RESPONSE_TIME_SPAN);
        let weight = answers as f64 / (known + answers as f64);
        self.mean_ms += weight * (mean_ms - self.mean_ms);
        self.answers += answers;
    }
}

impl DemandTable {
    pub fn observe(&mut self, observation: &Observation) {
        let window = observation.configuration.bounds.change_ms / 3;
        for function_spec in &observation.configuration.function_specs {
            self.functions
                .entry(function_spec.name.clone())
                .or_default();
        }
        let configured = observation.configuration.function_specs.iter();
        let configured: HashSet<&str> = configured
            .map(|function_spec| function_spec.name.as_str())
            .collect();
        self.functions
            .retain(|name, _| configured.contains(name.as_str()));
        for demand in self.functions.values_mut() {
            demand.waiting = 0;
        }
        for front in observation.fronts.values() {
            let is_reachable =
                observation.now < front.heard_at + observation.configuration.bounds.lease_ms();
            for report in &front.report.functions {
                let Some(demand) = self.functions.get_mut(&report.function) else {
                    continue;
                };
                let key = (front.peer.clone(), report.function.clone());
                let known = self.arrived.entry(key).or_insert(0);
                if report.arrived > *known {
                    demand.total += report.arrived - *known;
                    demand.last_arrival = observation.now;
                    *known = report.arrived;
                }
                if is_reachable {
                    demand.waiting += report.waiting;
                }
            }
        }
        self.update_response_times(observation);
        self.sample(observation.now, window);
        self.arrived.retain(|(peer, _), _| {
            observation
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

    /// Response time of this runner in milliseconds; none before it has given `MIN_RESPONSES` responses.
    pub fn response_time_of(&self, runner: &str) -> Option<f64> {
        let response_time = self.response_times.get(runner)?;
        (response_time.answers >= MIN_RESPONSES).then_some(response_time.mean_ms.max(1.0))
    }

    /// Requests per second that one seat of this runner can serve. The function's rate is used until the
    /// runner's own response time is known.
    pub fn seat_rate(&self, function: &str, runner: &str) -> f64 {
        let runner_rate = self
            .response_time_of(runner)
            .map(|response_time| 1_000.0 / response_time);
        let function_rate = self.functions.get(function).map_or(0.0, Demand::seat_rate);
        runner_rate.unwrap_or(function_rate)
    }

    fn update_response_times(&mut self, observation: &Observation) {
        for front in observation.fronts.values() {
            for report in &front.report.runners {
                let Some(entry) = observation.plan.runner(&report.runner) else {
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
                let response_time = self.response_times.entry(entry.id.clone());
                response_time
                    .or_insert_with(|| ResponseTime {
                        answers: 0,
                        mean_ms: f64::from(entry.response_time_ms),
                    })
                    .add_samples(answers, mean);
            }
        }
        self.answered
            .retain(|(runner, _), _| observation.plan.runner(runner).is_some());
        self.response_times
            .retain(|runner, _| observation.plan.runner(runner).is_some());
        let mut response_times: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for entry in &observation.plan.runners {
            if let Some(response_time) = self.response_times.get(&entry.id) {
                response_times
                    .entry(&entry.function)
                    .or_default()
                    .push(response_time.mean_ms);
            }
        }
        // The median is used for runners that have no response time of their own yet.
        for (function, mut response_times) in response_times {
            response_times.sort_by(f64::total_cmp);
            if let Some(demand) = self.functions.get_mut(function) {
                demand.response_time_ms = Some(response_times[(response_times.len() - 1) / 2]);
            }
        }
    }
}
