use crate::autoscaler::Autoscaler;
use crate::function::Function;
use crate::listing_types::FunctionStatus;
use crate::runner::{Life, Runner};
use protocol::{FunctionUpdate, RunnerStage, RunnerUpdate};

impl Autoscaler {
    /// News of the functions whose runners changed since the last call.
    pub fn take_updates(&mut self) -> Vec<FunctionUpdate> {
        if !self.knows_enough() {
            return Vec::new();
        }
        let changed = std::mem::take(&mut self.changed);
        changed.iter().map(|name| self.next_news(name)).collect()
    }

    fn next_news(&mut self, name: &str) -> FunctionUpdate {
        self.counter += 1;
        let counter = self.counter;
        if let Some(function) = self.functions.get_mut(name) {
            function.news = counter;
            for serial in &function.runners {
                let Some(runner) = self.runners.get_mut(serial) else {
                    continue;
                };
                let is_draining = matches!(runner.life, Life::Draining { .. });
                if is_draining && runner.drain_news == 0 {
                    runner.drain_news = counter;
                }
            }
        }
        FunctionUpdate {
            function: name.to_owned(),
            version: (self.options.term, counter),
            runners: self.runner_news(name, self.now),
            start_block: self.start_block(name, self.now),
        }
    }

    /// News of a function for a keeper that asks. Until the lists were seen once they are empty
    /// with a mark that wins over no other.
    pub fn update_for(&self, function: &str, now: u64) -> FunctionUpdate {
        if !self.knows_enough() {
            return FunctionUpdate {
                function: function.to_owned(),
                ..FunctionUpdate::default()
            };
        }
        FunctionUpdate {
            function: function.to_owned(),
            version: self.update_version(function),
            runners: self.runner_news(function, now),
            start_block: self.start_block(function, now),
        }
    }

    /// Mark of what [`Autoscaler::update_for`] tells of a function; blank until the lists were seen once.
    pub fn update_version(&self, function: &str) -> (u64, u64) {
        if !self.knows_enough() {
            return (0, 0);
        }
        let first = self.options.term << 32;
        let known = self.functions.get(function);
        let counter = known.map_or(first, |known| known.news.max(first));
        (self.options.term, counter)
    }

    fn runner_news(&self, name: &str, now: u64) -> Vec<RunnerUpdate> {
        let Some(function) = self.functions.get(name) else {
            return Vec::new();
        };
        let runners = self.runners_of(function);
        let told = runners.filter_map(|(_, runner)| tell(function, runner, now));
        told.collect()
    }

    /// What is thought of each function that is not asleep.
    pub fn function_statuses(&self) -> Vec<FunctionStatus> {
        let names = self.active.iter();
        let notes = names.filter_map(|name| Some(self.note(name, self.functions.get(name)?)));
        notes.collect()
    }

    fn note(&self, name: &str, function: &Function) -> FunctionStatus {
        let load = self.load_of(function);
        FunctionStatus {
            function: name.to_owned(),
            measured: load.measured,
            forecast: load.forecast,
            waiting: load.waiting,
            demand: load.demand,
            capacity: load.capacity,
            pace_ms: function.pace_ms,
            runners: load.alive,
            seats: load.seats,
            reason: function.reason.to_owned(),
        }
    }
}

fn tell(function: &Function, runner: &Runner, now: u64) -> Option<RunnerUpdate> {
    let stage = runner.stage()?;
    let passed_ms = now.saturating_sub(runner.started_at);
    let starts_in_ms = match stage {
        RunnerStage::Starting => function.plan.start_ms.saturating_sub(passed_ms),
        _ => 0,
    };
    Some(RunnerUpdate {
        id: runner.id.clone()?,
        address: runner.address.clone(),
        zone: runner.zone.clone(),
        quota: runner.quota,
        stage,
        starts_in_ms: u32::try_from(starts_in_ms).unwrap_or(u32::MAX),
    })
}
