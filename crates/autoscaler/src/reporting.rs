use crate::autoscaler::Autoscaler;
use crate::function::Keeper;
use crate::runner::Life;
use protocol::{FunctionReport, RunnerReport};

impl Autoscaler {
    /// Takes what a keeper tells of a function. Where requests wait it is decided at once.
    pub fn handle_report(&mut self, now: u64, keeper: &str, report: &FunctionReport) {
        self.pass(now);
        let name = report.function.as_str();
        if !self.functions.contains_key(name) {
            return;
        }
        let kept = self.kept.entry(keeper.to_owned()).or_default();
        if !kept.contains(name) {
            kept.insert(name.to_owned());
        }
        self.active.insert(name.to_owned());
        self.count_arrivals(keeper, report);
        for runner in &report.runners {
            self.hear_of(keeper, name, runner);
        }
        let Some(function) = self.functions.get_mut(name) else {
            return;
        };
        let known = function.keepers.entry(keeper.to_owned()).or_default();
        known.heard_at = self.now;
        known.news = report.update_number;
        known.waiting = report.waiting;
        let runners = report.runners.iter();
        known.runners = runners.map(|one| (one.id.clone(), one.clone())).collect();
        if report.waiting > 0 {
            function.busy_at = Some(self.now);
            self.decide(name);
        }
    }

    /// Forgets a keeper that is no more.
    pub fn remove_owner(&mut self, keeper: &str) {
        for name in self.kept.remove(keeper).unwrap_or_default() {
            if let Some(function) = self.functions.get_mut(&name) {
                function.keepers.remove(keeper);
            }
        }
    }

    fn count_arrivals(&mut self, keeper: &str, report: &FunctionReport) {
        let now = self.now;
        let Some(function) = self.functions.get_mut(&report.function) else {
            return;
        };
        let is_new = !function.keepers.contains_key(keeper);
        let known = function.keepers.entry(keeper.to_owned());
        let known = known.or_insert_with(Keeper::default);
        let mut unknown = u64::from(report.waiting);
        for (zone, count) in &report.arrivals {
            let before = known.arrived.insert(zone.clone(), *count).unwrap_or(0);
            let mut come = count.saturating_sub(before);
            if is_new {
                // What a keeper counted before it was heard first is no rate, but for what waits.
                come = come.min(unknown);
                unknown -= come;
            }
            if come > 0 && is_new {
                // They came at some time before: where from is known, how fast is not.
                function.arrivals.place(zone, come);
            } else if come > 0 {
                function.arrivals.add(now, zone, come);
            }
            if come > 0 {
                function.busy_at = Some(now);
            }
        }
    }

    fn hear_of(&mut self, keeper: &str, name: &str, report: &RunnerReport) {
        let now = self.now;
        let Some(&serial) = self.ids.get(&report.id) else {
            return;
        };
        let Some(runner) = self.runners.get_mut(&serial) else {
            return;
        };
        if runner.function != name {
            return;
        }
        let function = self.functions.get(name);
        let known = function.and_then(|function| function.keepers.get(keeper));
        let known = known.and_then(|known| known.runners.get(&report.id));
        let (answered, took_ms) =
            known.map_or((0, 0), |one| (one.succeeded, one.total_duration_ms));
        let answers = report.succeeded.saturating_sub(answered);
        runner.learn(answers, report.total_duration_ms.saturating_sub(took_ms));
        if answers > 0 || report.in_use > 0 {
            runner.used_at = now;
        }
        if report.is_gone {
            self.lose(serial);
            return;
        }
        if !report.is_up {
            return;
        }
        runner.is_up = true;
        if runner.life == Life::Starting {
            self.turn(serial, Life::Serving);
        }
    }

    fn lose(&mut self, serial: u64) {
        let since = self.now;
        let Some(runner) = self.runners.get_mut(&serial) else {
            return;
        };
        runner.is_lost = true;
        if runner.stage().is_none() {
            return;
        }
        log::info!("scaler: {} lost {:?}", runner.function, runner.id);
        self.turn(serial, Life::Gone { since });
    }
}
