use crate::autoscaler::Autoscaler;
use crate::function::QUIET_MS;
use crate::runner::{Cause, Life, Runner};

const SLACK_MS: u64 = 1_000;

impl Autoscaler {
    /// Gives a runner no new requests; it is stopped once it holds none.
    pub(crate) fn drain(&mut self, serial: u64, cause: Cause) {
        let since = self.now;
        let Some(runner) = self.runners.get_mut(&serial) else {
            return;
        };
        match runner.life {
            Life::Wanted { .. } => self.withdraw(serial),
            Life::Asked => {}
            Life::Draining { since, .. } => runner.life = Life::Draining { cause, since },
            Life::Starting | Life::Serving => {
                log::info!("scaler: {} drains {:?}", runner.function, runner.id);
                self.turn(serial, Life::Draining { cause, since });
            }
            _ => {}
        }
    }

    /// Takes a wish for a start back. A start that was ordered may be there still.
    pub(crate) fn withdraw(&mut self, serial: u64) {
        let Some(runner) = self.runners.get(&serial) else {
            return;
        };
        if runner.asked_at.is_none() {
            self.forget(serial);
            return;
        }
        self.wanted.retain(|(_, _, other)| *other != serial);
        let since = self.now;
        self.turn(serial, Life::Unsure { since });
    }

    /// The platform ends the runners of a worker that leaves.
    pub(crate) fn heed_worker(&mut self, serial: u64) {
        let Some(runner) = self.runners.get(&serial) else {
            return;
        };
        let worker = self.workers.get(&runner.worker);
        if !worker.is_some_and(|worker| worker.listing.is_draining) {
            return;
        }
        let since = self.now;
        match runner.life {
            Life::Wanted { .. } => self.withdraw(serial),
            Life::Starting | Life::Serving | Life::Draining { .. } => {
                self.turn(serial, Life::Leaving { since });
            }
            _ => {}
        }
    }

    pub(crate) fn tend_endings(&mut self) {
        let serials: Vec<u64> = self.ending.iter().copied().collect();
        for serial in serials {
            self.tend_ending(serial);
        }
        let late: Vec<u64> = self.late_starts();
        for serial in late {
            let id = self
                .runners
                .get(&serial)
                .and_then(|runner| runner.id.clone());
            log::warn!("scaler: {id:?} did not start in time");
            self.turn(serial, Life::Stopping { not_before: 0 });
        }
    }

    fn late_starts(&self) -> Vec<u64> {
        let starting = self.starting.iter().copied();
        starting
            .filter(|serial| {
                let Some(runner) = self.runners.get(serial) else {
                    return false;
                };
                let function = self.functions.get(&runner.function);
                function.is_some_and(|function| {
                    let limit_ms = self.options.start_limit_ms(function.plan.start_ms);
                    self.now >= runner.known_at + limit_ms
                })
            })
            .collect()
    }

    fn tend_ending(&mut self, serial: u64) {
        let Some(runner) = self.runners.get(&serial) else {
            return;
        };
        let function = self.functions.get(&runner.function);
        let start_ms = function.map_or(0, |function| function.plan.start_ms);
        let limit_ms = self.options.start_limit_ms(start_ms);
        match runner.life {
            Life::Draining { since, .. } if self.is_drained(runner, since) => {
                self.turn(serial, Life::Stopping { not_before: 0 });
            }
            Life::Gone { since }
                if self.now >= since + limit_ms.max(self.options.unlisted_ms()) =>
            {
                // No list told more of it; a stop does no harm.
                self.turn(serial, Life::Stopping { not_before: 0 });
            }
            Life::Leaving { since } => {
                let end_ms = self.options.drain_ms + self.longest_ms + limit_ms;
                if !runner.was_listed && self.now >= since + end_ms {
                    self.turn(serial, Life::Stopping { not_before: 0 });
                }
            }
            Life::Unsure { since } if self.now >= since + limit_ms => self.forget(serial),
            _ => {}
        }
    }

    /// A keeper told lately that requests are in flight at a runner.
    pub(crate) fn is_held(&self, runner: &Runner) -> bool {
        let function = self.functions.get(&runner.function);
        let (Some(function), Some(id)) = (function, &runner.id) else {
            return false;
        };
        let longest_ms = self.longest_ms + SLACK_MS;
        let mut keepers = function.keepers.values();
        keepers.any(|keeper| keeper.in_use(id) > 0 && keeper.heard_at + longest_ms > self.now)
    }

    /// A runner holds nothing any more: its keepers tell so, knowing that it drains. Where none
    /// tells, the longest time that a request may take has passed.
    fn is_drained(&self, runner: &Runner, since: u64) -> bool {
        let Some(function) = self.functions.get(&runner.function) else {
            return true;
        };
        if runner.drain_news == 0 {
            return false;
        }
        let longest_ms = self.longest_ms + SLACK_MS;
        if self.is_held(runner) {
            return false;
        }
        let mut is_told = false;
        for keeper in function.keepers.values() {
            let is_current = keeper.heard_at + QUIET_MS > self.now;
            let knows = keeper.news >= runner.drain_news;
            if is_current && !knows && self.now < since + longest_ms {
                return false;
            }
            is_told |= is_current && knows;
        }
        is_told || self.now >= since + longest_ms
    }
}
