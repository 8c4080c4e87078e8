use crate::autoscaler::Autoscaler;
use crate::listing_types::{RunnerCommand, StartError, StartedRunner};
use crate::placing::Worker;
use crate::runner::Life;

/// Share of the platform's rate that is used.
const SHARE: f64 = 0.8;
const AGAIN_MS: u64 = 250;
const AGAIN_MOST_MS: u64 = 4_000;
const REFUSED_MS: u64 = 5_000;

/// Tokens for starts and stops. What is used within any second stays below the platform's rate:
/// the burst is what the share leaves.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    at: u64,
}

impl Bucket {
    pub fn new(per_s: f64, now: u64) -> Self {
        let burst = ((1.0 - SHARE) * per_s).max(1.0);
        Self {
            rate: SHARE * per_s,
            burst,
            tokens: burst,
            at: now,
        }
    }

    fn fill(&mut self, now: u64) {
        let passed = now.saturating_sub(self.at) as f64 / 1_000.0;
        self.tokens = (self.tokens + passed * self.rate).min(self.burst);
        self.at = self.at.max(now);
    }

    fn has(&self) -> bool {
        self.tokens >= 1.0
    }
}

impl Autoscaler {
    /// Orders to give now: starts for requests that wait, then stops, then other starts.
    pub fn take_commands(&mut self) -> Vec<RunnerCommand> {
        self.bucket.fill(self.now);
        let mut commands = Vec::new();
        self.command_starts(0, &mut commands);
        self.command_stops(&mut commands);
        self.command_starts(2, &mut commands);
        commands
    }

    /// Puts the starts of a function before those for which nothing waits.
    pub(crate) fn hurry(&mut self, name: &str) {
        let Some(function) = self.functions.get(name) else {
            return;
        };
        for &serial in &function.runners {
            if self.wanted.remove(&(2, function.plan.rank, serial)) {
                self.wanted.insert((0, function.plan.rank, serial));
            }
        }
    }

    fn command_starts(&mut self, class: u8, commands: &mut Vec<RunnerCommand>) {
        let first = (class, 0, 0);
        let last = (class, u8::MAX, u64::MAX);
        let queued: Vec<(u8, u8, u64)> = self.wanted.range(first..=last).copied().collect();
        for place in queued {
            if !self.bucket.has() {
                return;
            }
            self.command_start(place, commands);
        }
    }

    fn command_start(&mut self, place: (u8, u8, u64), commands: &mut Vec<RunnerCommand>) {
        let serial = place.2;
        let Some(runner) = self.runners.get(&serial) else {
            self.wanted.remove(&place);
            return;
        };
        let Life::Wanted { not_before } = runner.life else {
            self.wanted.remove(&place);
            return;
        };
        if self.now < not_before {
            return;
        }
        let name = runner.function.clone();
        let was_asked = runner.asked_at.is_some();
        let worker = self.workers.get(&runner.worker);
        let can_take = |worker: &Worker| {
            !self.is_shut(worker) && (was_asked || self.now >= worker.aside_until)
        };
        if !worker.is_some_and(can_take) {
            // The worker is not to be used any more: the start goes elsewhere, under a new nonce.
            self.withdraw(serial);
            self.decide(&name);
            return;
        }
        let Some(runner) = self.runners.get_mut(&serial) else {
            return;
        };
        if runner.asked_at.is_none() {
            runner.asked_at = Some(self.now);
            self.accounts.remove(&runner.worker);
            runner.started_at = self.now;
        }
        runner.life = Life::Asked;
        let command = RunnerCommand::Start {
            function: name,
            worker: runner.worker.clone(),
            nonce: runner.nonce.clone(),
        };
        self.wanted.remove(&place);
        self.bucket.tokens -= 1.0;
        commands.push(command);
    }

    fn command_stops(&mut self, commands: &mut Vec<RunnerCommand>) {
        let serials: Vec<u64> = self.ending.iter().copied().collect();
        for serial in serials {
            if !self.bucket.has() {
                return;
            }
            let runner = self.runners.get(&serial);
            if runner.is_some_and(|runner| !runner.is_lost && self.is_held(runner)) {
                continue;
            }
            let Some(runner) = self.runners.get_mut(&serial) else {
                continue;
            };
            let Life::Stopping { not_before } = runner.life else {
                continue;
            };
            let Some(id) = runner.id.clone().filter(|_| self.now >= not_before) else {
                continue;
            };
            runner.life = Life::StopAsked;
            self.bucket.tokens -= 1.0;
            log::info!("scaler: {} stops {id}", runner.function);
            commands.push(RunnerCommand::Stop { id });
        }
    }

    /// Takes the platform's answer to a start.
    pub fn handle_start_result(
        &mut self,
        now: u64,
        nonce: &str,
        result: Result<StartedRunner, StartError>,
    ) {
        self.pass(now);
        let Some(&serial) = self.nonces.get(nonce) else {
            return;
        };
        match result {
            Ok(started) => self.begun(serial, started.id, started.address),
            Err(fault) => self.not_begun(serial, fault),
        }
    }

    fn begun(&mut self, serial: u64, id: String, address: String) {
        let now = self.now;
        if self.ids.get(&id).is_some_and(|other| *other != serial) {
            // The list was quicker than the answer.
            self.forget(serial);
            return;
        }
        let Some(runner) = self.runners.get_mut(&serial) else {
            return;
        };
        if !matches!(
            runner.life,
            Life::Asked | Life::Wanted { .. } | Life::Unsure { .. }
        ) {
            return;
        }
        log::info!(
            "scaler: {} starts {id} on {}",
            runner.function,
            runner.worker
        );
        runner.id = Some(id.clone());
        runner.address = address;
        runner.known_at = now;
        self.ids.insert(id, serial);
        self.wanted.retain(|(_, _, other)| *other != serial);
        let Some(runner) = self.runners.get_mut(&serial) else {
            return;
        };
        self.accounts.remove(&runner.worker);
        if runner.quota == 0 {
            runner.quota = runner.most;
        }
        self.turn(serial, Life::Starting);
        self.heed_closures(serial);
        self.heed_worker(serial);
        self.settle_due();
    }

    fn not_begun(&mut self, serial: u64, fault: StartError) {
        let now = self.now;
        let Some(runner) = self.runners.get_mut(&serial) else {
            return;
        };
        if runner.life != Life::Asked {
            return;
        }
        let name = runner.function.clone();
        match fault {
            StartError::NoRoom => {
                let until = now + 2 * self.options.list_lag_ms;
                if let Some(worker) = self.workers.get_mut(&runner.worker) {
                    worker.aside_until = until;
                }
                log::info!("scaler: {name} finds no room on {}", runner.worker);
                // Nothing was taken there.
                runner.asked_at = None;
                self.forget(serial);
            }
            StartError::Refused => {
                log::warn!("scaler: {name} is not known to the platform");
                runner.asked_at = None;
                self.forget(serial);
                if let Some(function) = self.functions.get_mut(&name) {
                    function.held_until = now + REFUSED_MS;
                    function.reason = "start refused";
                }
            }
            StartError::Busy | StartError::Unanswered => self.start_again(serial),
        }
        self.settle_due();
    }

    /// The same start once more, under the same nonce.
    fn start_again(&mut self, serial: u64) {
        let now = self.now;
        let Some(runner) = self.runners.get_mut(&serial) else {
            return;
        };
        runner.tries += 1;
        let wait_ms = (AGAIN_MS << runner.tries.min(5).saturating_sub(1)).min(AGAIN_MOST_MS);
        runner.life = Life::Wanted {
            not_before: now + wait_ms,
        };
        let function = self.functions.get(&runner.function);
        let rank = function.map_or(u8::MAX, |function| function.plan.rank);
        let is_urgent = function.is_some_and(|function| function.waiting(now) > 0);
        self.wanted
            .insert((if is_urgent { 0 } else { 2 }, rank, serial));
    }

    /// Takes the platform's answer to a stop: done (or unknown there), or to be tried again.
    pub fn handle_stop_result(&mut self, now: u64, id: &str, done: bool) {
        self.pass(now);
        let Some(&serial) = self.ids.get(id) else {
            return;
        };
        if done {
            self.stopped.insert(id.to_owned(), self.now);
            self.forget(serial);
            return;
        }
        let Some(runner) = self.runners.get_mut(&serial) else {
            return;
        };
        if runner.life == Life::StopAsked {
            runner.life = Life::Stopping {
                not_before: self.now + 2 * AGAIN_MS,
            };
        }
    }
}
