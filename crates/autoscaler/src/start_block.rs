//! What a keeper is told of a function that has no runner and for which no worker has room.

use crate::autoscaler::Autoscaler;
use crate::function::Function;
use crate::placing::{Worker, HELD_MS};
use crate::runner::{Life, Runner};
use protocol::StartBlock;
use std::collections::BTreeMap;

/// Milliseconds for which a judgement is told. It is renewed as often as the start is tried again.
const VALID_MS: u64 = 2 * HELD_MS;
/// A start is never taken to be done before the usual time divided by this; keepers look for it later.
const QUICKEST_START: u64 = 2;

/// That no worker had room for a function without runners.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NoRoom {
    judged_at: u64,
    /// When a worker may have room at the earliest; none where nothing is known that would make it.
    room_at: Option<u64>,
}

/// Memory that becomes free on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Freeing {
    /// When, at the earliest.
    at: u64,
    memory_mb: u64,
}

impl Autoscaler {
    /// Judges when a worker may have room for a function whose start found none just now.
    pub(crate) fn judge_room(&mut self, name: &str) {
        let Some(function) = self.functions.get(name) else {
            return;
        };
        if !self.lists_are_settled() || self.may_have_runner(function) {
            self.lift_no_room(name);
            return;
        }
        let judgement = NoRoom {
            judged_at: self.now,
            room_at: self.room_at(name, function),
        };
        if let Some(function) = self.functions.get_mut(name) {
            function.no_room = Some(judgement);
            self.changed.insert(name.to_owned());
        }
    }

    /// A worker has room for the function.
    pub(crate) fn lift_no_room(&mut self, name: &str) {
        let function = self.functions.get_mut(name);
        if function.is_some_and(|function| function.no_room.take().is_some()) {
            self.changed.insert(name.to_owned());
        }
    }

    /// Workers have more room than before: what found none is tried again at once, the most urgent first.
    pub(crate) fn try_blocked_again(&mut self) {
        for name in self.active.clone() {
            let Some(function) = self.functions.get_mut(&name) else {
                continue;
            };
            if function.no_room.is_some() {
                function.held_until = 0;
                self.make_due(&name);
            }
        }
    }

    /// What a function's keeper is told of it now.
    pub(crate) fn start_block(&self, name: &str, now: u64) -> Option<StartBlock> {
        let function = self.functions.get(name)?;
        let no_room = function.no_room?;
        let expires_at = no_room.judged_at + VALID_MS;
        if now >= expires_at || self.may_have_runner(function) {
            return None;
        }
        let start_ms = function.plan.start_ms;
        let until = |at: u64| u32::try_from(at.saturating_sub(now)).unwrap_or(u32::MAX);
        let tried_at = no_room.room_at.unwrap_or(no_room.judged_at + HELD_MS);
        Some(StartBlock {
            earliest_ready_ms: no_room
                .room_at
                .map(|room_at| until(room_at + start_ms / QUICKEST_START)),
            retry_after_ms: until(tried_at + start_ms),
            valid_ms: until(expires_at),
        })
    }

    /// The list of runners knows all that an earlier term started.
    fn lists_are_settled(&self) -> bool {
        self.runners_seen_at >= self.began_at + 2 * self.options.list_lag_ms
    }

    /// A runner serves, starts or can be taken back, or one may be there that no list has shown yet.
    fn may_have_runner(&self, function: &Function) -> bool {
        self.runners_of(function).any(|(_, runner)| {
            runner.counts() || runner.can_revive() || matches!(runner.life, Life::Unsure { .. })
        })
    }

    /// When a worker may have room at the earliest; none where nothing that is known would make it.
    fn room_at(&self, name: &str, function: &Function) -> Option<u64> {
        let mut spare = self.spare_by_worker(name, function.plan.rank);
        let open = self.workers.values().filter(|worker| !self.is_shut(worker));
        open.filter_map(|worker| {
            let spare = spare
                .remove(worker.listing.name.as_str())
                .unwrap_or_default();
            self.room_on(worker, function.plan.memory_mb, spare)
        })
        .min()
    }

    fn room_on(&self, worker: &Worker, memory_mb: u64, mut freeing: Vec<Freeing>) -> Option<u64> {
        let placed = self.placed_on(&worker.listing.name);
        let ending = placed.filter(|(_, runner)| !runner.counts());
        freeing.extend(ending.map(|(_, runner)| Freeing {
            at: self.freed_at(runner),
            memory_mb: runner.memory_mb,
        }));
        freeing.sort_unstable();
        let mut free_mb = self.free_mb(worker, &self.sum_account(worker));
        let mut room_at = self.now.max(worker.aside_until);
        for next in freeing {
            if free_mb >= memory_mb {
                break;
            }
            free_mb += next.memory_mb;
            room_at = room_at.max(next.at);
        }
        (free_mb >= memory_mb).then_some(room_at)
    }

    /// When the memory of a runner that ends counts as free at the earliest.
    fn freed_at(&self, runner: &Runner) -> u64 {
        match runner.life {
            Life::Gone { since } => since + self.options.unlisted_ms(),
            Life::Unsure { since } => {
                let function = self.functions.get(&runner.function);
                let start_ms = function.map_or(0, |function| function.plan.start_ms);
                since + self.options.start_limit_ms(start_ms)
            }
            _ => self.now,
        }
    }

    /// Runners that others than this function could soon do without, by worker.
    fn spare_by_worker(&self, name: &str, rank: u8) -> BTreeMap<&str, Vec<Freeing>> {
        let mut spare: BTreeMap<&str, Vec<Freeing>> = BTreeMap::new();
        let serials = self.spare_runners(name, rank, |_| true);
        let runners = serials
            .iter()
            .filter_map(|(_, serial)| self.runners.get(serial));
        for runner in runners {
            spare.entry(&runner.worker).or_default().push(Freeing {
                at: self.now.max(runner.idle_at()),
                memory_mb: runner.memory_mb,
            });
        }
        spare
    }
}
