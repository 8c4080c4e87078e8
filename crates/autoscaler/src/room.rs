use crate::autoscaler::Autoscaler;
use crate::function::Function;
use crate::runner::{Cause, Life, Runner};
use std::collections::BTreeMap;

impl Autoscaler {
    /// Drains runners that have been idle the longest, beyond their functions' minimal ones, on
    /// the worker that is the first to have room then.
    pub(crate) fn make_room(&mut self, name: &str) {
        let Some(function) = self.functions.get(name) else {
            return;
        };
        let memory_mb = function.plan.memory_mb;
        let is_idle = |runner: &Runner| runner.idle_at() <= self.now;
        let mut spare = self.spare_runners(name, function.plan.rank, is_idle);
        spare.sort();
        let mut freed: BTreeMap<&str, (u64, Vec<u64>)> = BTreeMap::new();
        let mut victims = Vec::new();
        for (_, serial) in &spare {
            let Some(runner) = self.runners.get(serial) else {
                continue;
            };
            let Some(worker) = self.workers.get(&runner.worker) else {
                continue;
            };
            if !self.is_open(worker) {
                continue;
            }
            let empty = || {
                (
                    self.free_mb(worker, &self.sum_account(worker))
                        + self.ending_mb(&runner.worker),
                    Vec::new(),
                )
            };
            let (size, serials) = freed.entry(&runner.worker).or_insert_with(empty);
            if *size >= memory_mb {
                // What ends there already will make the room.
                return;
            }
            *size += runner.memory_mb;
            serials.push(*serial);
            if *size >= memory_mb {
                victims.clone_from(serials);
                break;
            }
        }
        for serial in victims {
            self.drain(serial, Cause::Surplus);
        }
    }

    fn ending_mb(&self, worker: &str) -> u64 {
        let ending = self
            .placed_on(worker)
            .filter(|(_, runner)| !runner.counts());
        ending.map(|(_, runner)| runner.memory_mb).sum()
    }

    /// Runners with nothing in flight, of those that `passes`, that others than this function can do without, by the
    /// time of their last use.
    pub(crate) fn spare_runners(
        &self,
        name: &str,
        rank: u8,
        passes: impl Fn(&Runner) -> bool,
    ) -> Vec<(u64, u64)> {
        let mut spare = Vec::new();
        let others = self.active.iter().filter(|other| *other != name);
        for other in others {
            let Some(function) = self.functions.get(other) else {
                continue;
            };
            let minimal = usize::from(function.plan.is_prewarmed());
            let load = self.load_of(function);
            let is_needed = load.waiting > 0 || load.demand > self.options.beta * load.capacity;
            if is_needed && function.plan.rank <= rank {
                continue;
            }
            let runners = self.runners_of(function);
            let idle = runners.filter(|(_, runner)| is_unused(function, runner) && passes(runner));
            let mut idle: Vec<(u64, u64)> = idle
                .map(|(serial, runner)| (runner.used_at, serial))
                .collect();
            idle.sort_unstable();
            idle.truncate(load.alive.saturating_sub(minimal));
            spare.extend(idle);
        }
        spare
    }
}

/// It serves, and no keeper told of a request in flight at it.
fn is_unused(function: &Function, runner: &Runner) -> bool {
    let Some(id) = &runner.id else {
        return false;
    };
    runner.life == Life::Serving && function.in_use(id) == 0
}
