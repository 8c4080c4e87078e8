use crate::autoscaler::Autoscaler;
use crate::function::Function;
use crate::runner::{Cause, Life, Runner};
use scaler::{grow, shrink, Pod};

/// Share of a function's aim within which requests that wait are to be served, and its least and most seconds.
const PATIENCE_AIMS: f64 = 1.0;
const PATIENCE_MIN_S: f64 = 0.3;
const PATIENCE_MAX_S: f64 = 0.5;
/// Runners are bounded by what serves so many times the demand.
const SPARE: f64 = 4.0;
const ROUNDING: f64 = 1e-6;

/// What a function is to carry, and what it can.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    pub measured: f64,
    pub forecast: f64,
    pub rushing: f64,
    pub waiting: u32,
    pub in_use: u32,
    pub demand: f64,
    pub capacity: f64,
    pub seats: u32,
    pub alive: usize,
}

impl Load {
    fn rate(&self) -> f64 {
        self.measured.max(self.forecast).max(self.rushing)
    }
}

impl Autoscaler {
    pub(crate) fn runners_of<'a>(
        &'a self,
        function: &'a Function,
    ) -> impl Iterator<Item = (u64, &'a Runner)> {
        let serials = function.runners.iter();
        serials.filter_map(|serial| Some((*serial, self.runners.get(serial)?)))
    }

    pub(crate) fn load_of(&self, function: &Function) -> Load {
        let mut load = Load::default();
        if function.is_awake(self.now, &self.options) {
            load.measured = function.arrivals.measured(self.now);
            load.forecast = function.arrivals.forecast();
            load.rushing = function.arrivals.rushing(self.now);
        }
        load.waiting = function.waiting(self.now);
        let mut serving = 0.0;
        let aim_s = f64::from(function.plan.aim_ms) / 1_000.0;
        let patience_s = (aim_s * PATIENCE_AIMS).clamp(PATIENCE_MIN_S, PATIENCE_MAX_S);
        for (_, runner) in self.runners_of(function) {
            if let Some(id) = &runner.id {
                load.in_use += function.in_use(id);
            }
            if runner.counts() {
                let capacity = f64::from(runner.quota) * self.seat_rate(runner);
                load.capacity += capacity;
                serving += if runner.is_up { capacity } else { 0.0 };
                load.seats += runner.quota;
                load.alive += 1;
            }
        }
        // What runs now serves some of those that wait before any new runner is up.
        let start_s = function.plan.start_ms as f64 / 1_000.0;
        let served = (serving - load.rate()).max(0.0) * start_s;
        let left = (f64::from(load.waiting) - served).max(0.0);
        load.demand = load.rate() + left / patience_s;
        load
    }

    /// Decides about one function: more where the demand is above the capacity's alpha, less where
    /// it has long been below its beta.
    pub(crate) fn decide(&mut self, name: &str) {
        if !self.knows_enough() || !self.is_described {
            return;
        }
        let Some(function) = self.functions.get(name) else {
            return;
        };
        if !function.plan.is_described {
            self.drain_all(name, Cause::Undescribed);
            return;
        }
        let load = self.load_of(function);
        let is_prewarmed = function.plan.is_prewarmed();
        if load.waiting > 0 {
            self.hurry(name);
        }
        let Some(function) = self.functions.get(name) else {
            return;
        };
        if !is_prewarmed && !function.is_awake(self.now, &self.options) {
            self.drain_all(name, Cause::Surplus);
            return;
        }
        if load.demand > self.options.alpha * load.capacity {
            self.calm(name, None);
            self.carry_more(name, load);
        } else if load.demand < self.options.beta * load.capacity {
            self.carry_less(name, load);
        } else {
            self.calm(name, None);
        }
        if is_prewarmed {
            self.keep_minimal(name);
        }
    }

    fn calm(&mut self, name: &str, since: Option<u64>) {
        if let Some(function) = self.functions.get_mut(name) {
            function.calm_since = since;
        }
    }

    pub(crate) fn explain(&mut self, name: &str, reason: &'static str) {
        if let Some(function) = self.functions.get_mut(name) {
            function.reason = reason;
        }
    }

    fn pods_of(&self, name: &str, can_grow: bool) -> Vec<Pod> {
        let Some(function) = self.functions.get(name) else {
            return Vec::new();
        };
        let runners = self.runners_of(function);
        let runners = runners.filter(|(_, runner)| {
            runner.counts() && (can_grow || runner.id.is_some()) || can_grow && runner.can_revive()
        });
        let pods = runners.map(|(serial, runner)| Pod {
            // The serials in equal lengths, so that ties go by age.
            id: format!("{serial:020}"),
            quota: runner.quota,
            most: runner.most,
            seat_rate: self.seat_rate(runner),
        });
        pods.collect()
    }

    /// Quotas first, up to the concurrency; new runners for what is left of the gap.
    fn carry_more(&mut self, name: &str, load: Load) {
        let gap = load.demand - self.options.alpha * load.capacity;
        let mut pods = self.pods_of(name, true);
        let left = grow(&mut pods, gap);
        if self.set_quotas(&pods) {
            self.explain(name, "quotas up");
        }
        if left <= 0.0 {
            return;
        }
        let count = self.new_runners(name, load, left);
        for _ in 0..count {
            if !self.launch(name, load.waiting > 0) {
                return;
            }
        }
    }

    fn new_runners(&self, name: &str, before: Load, left: f64) -> usize {
        let Some(function) = self.functions.get(name) else {
            return 0;
        };
        if self.now < function.held_until {
            return 0;
        }
        let load = self.load_of(function);
        let concurrency = f64::from(function.plan.concurrency);
        let seat_rate = 1_000.0 / function.pace_ms.max(1.0);
        let runner_rate = concurrency * seat_rate;
        let runners_for = |rate: f64| (rate.max(0.0) / runner_rate).ceil() as usize;
        let seats_for = |seats: u32| (f64::from(seats) / concurrency).ceil() as usize;
        let for_gap = runners_for(left);
        let for_waiting = seats_for(before.waiting.saturating_sub(self.coming_seats(function)));
        if load.alive == 0 && load.waiting > 0 {
            // The first start of a sleeping function goes by what waits.
            return for_gap.min(for_waiting);
        }
        // However slow the answers are, requests that came lately or are here hold one seat each.
        let lately = u32::try_from(function.arrivals.lately(self.now)).unwrap_or(u32::MAX);
        let here = load.waiting.saturating_add(load.in_use).max(lately).max(1);
        let for_rate = runners_for(load.rate() - self.options.alpha * load.capacity)
            .min(seats_for(here.saturating_sub(load.seats)));
        let most = runners_for(SPARE * load.demand).max(1);
        let count = for_gap.min(for_waiting + for_rate);
        count.min(most.saturating_sub(load.alive))
    }

    fn coming_seats(&self, function: &Function) -> u32 {
        let runners = self.runners_of(function);
        let coming = runners.filter(|(_, runner)| runner.is_coming());
        coming.map(|(_, runner)| runner.quota).sum()
    }

    /// Lowers quotas once it was calm for the cooldown. One whole runner's capacity stays.
    fn carry_less(&mut self, name: &str, load: Load) {
        let Some(function) = self.functions.get(name) else {
            return;
        };
        let since = function.calm_since.unwrap_or(self.now);
        let cooldown_ms = function.plan.cooldown_ms(&self.options);
        self.calm(name, Some(since));
        if self.now < since + cooldown_ms {
            return;
        }
        let mut pods = self.pods_of(name, false);
        let whole = |pod: &Pod| f64::from(pod.most) * pod.seat_rate;
        let minimal = pods.iter().map(whole).fold(0.0, f64::max);
        let Some(fastest) = pods.iter().map(|pod| pod.seat_rate).max_by(f64::total_cmp) else {
            return;
        };
        let middle = (self.options.alpha + self.options.beta) / 2.0;
        let needed = (load.demand / middle).max(f64::from(load.in_use) * fastest);
        let surplus = load.capacity - needed.max(minimal) + ROUNDING;
        if shrink(&mut pods, surplus) && self.set_quotas(&pods) {
            self.calm(name, Some(self.now));
            self.explain(name, "quotas down");
        }
    }

    fn set_quotas(&mut self, pods: &[Pod]) -> bool {
        let mut has_changed = false;
        for pod in pods {
            let Ok(serial) = pod.id.parse() else {
                continue;
            };
            has_changed |= self.set_quota(serial, pod.quota);
        }
        has_changed
    }

    pub(crate) fn set_quota(&mut self, serial: u64, quota: u32) -> bool {
        let Some(runner) = self.runners.get(&serial) else {
            return false;
        };
        if runner.quota == quota {
            return false;
        }
        if quota == 0 {
            self.drain(serial, Cause::Surplus);
            return true;
        }
        if runner.can_revive() {
            let life = if runner.is_up {
                Life::Serving
            } else {
                Life::Starting
            };
            self.turn(serial, life);
        }
        if let Some(runner) = self.runners.get_mut(&serial) {
            runner.quota = quota;
            self.accounts.remove(&runner.worker);
            self.changed.insert(runner.function.clone());
        }
        true
    }

    fn drain_all(&mut self, name: &str, cause: Cause) {
        let Some(function) = self.functions.get(name) else {
            return;
        };
        let runners = self.runners_of(function);
        let alive = runners.filter(|(_, runner)| runner.counts());
        let serials: Vec<u64> = alive.map(|(serial, _)| serial).collect();
        if serials.is_empty() {
            return;
        }
        for serial in serials {
            self.drain(serial, cause);
        }
        self.explain(name, "none needed");
    }

    /// A function whose start does not fit in its aim always has one runner.
    fn keep_minimal(&mut self, name: &str) {
        let Some(function) = self.functions.get(name) else {
            return;
        };
        if self.runners_of(function).any(|(_, runner)| runner.counts()) {
            return;
        }
        let mut runners = self.runners_of(function);
        let revived = runners.find(|(_, runner)| runner.can_revive());
        if let Some((serial, runner)) = revived {
            let most = runner.most;
            drop(runners);
            self.set_quota(serial, most);
            return;
        }
        drop(runners);
        let is_held = self.now < function.held_until;
        if is_held || self.wanted.len() as f64 >= self.options.commands_per_s.max(8.0) {
            return;
        }
        self.launch(name, false);
    }
}
