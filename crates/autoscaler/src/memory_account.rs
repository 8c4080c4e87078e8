//! Memory usage and occupancy of the runners on one worker.

use crate::runner::Runner;

/// An amount of memory that was allocated or freed at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TimedMemory {
    /// Time in milliseconds of the autoscaler's clock.
    pub at: u64,
    /// Amount in megabytes.
    pub memory_mb: u64,
}

/// Sum in megabytes of the sizes that the newest list may not reflect yet. It reflects all changes before `listed_until`.
pub(crate) fn unlisted_mb(sizes: &[TimedMemory], listed_until: u64) -> u64 {
    let unlisted = sizes.iter().filter(|size| size.at >= listed_until);
    unlisted.map(|size| size.memory_mb).sum()
}

/// Memory of the runners on one worker, in megabytes.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemoryAccount {
    used_mb: u64,
    occupied_mb: f64,
    unrequested_mb: u64,
    requested: Vec<TimedMemory>,
}

impl MemoryAccount {
    /// Sums up the runners on a worker. The newest list shows all starts before `listed_until`.
    pub fn sum<'a>(runners: impl Iterator<Item = &'a Runner>, listed_until: u64) -> Self {
        let mut account = Self::default();
        for runner in runners {
            account.used_mb += runner.memory_mb;
            let share = f64::from(runner.quota) / f64::from(runner.max_quota.max(1));
            account.occupied_mb += runner.memory_mb as f64 * share;
            match runner.start_requested_at {
                // Later lists show everything that this one shows, so older starts need not be kept.
                Some(at) if at >= listed_until => account.requested.push(TimedMemory {
                    at,
                    memory_mb: runner.memory_mb,
                }),
                None if runner.id.is_none() => account.unrequested_mb += runner.memory_mb,
                _ => {}
            }
        }
        account
    }

    /// Memory of all runners, in megabytes.
    pub fn used_mb(&self) -> u64 {
        self.used_mb
    }

    /// The design's occupancy (HGO), in megabytes: memory of each runner multiplied by the ratio of its quota to its maximum
    /// quota.
    pub fn occupied_mb(&self) -> f64 {
        self.occupied_mb
    }

    /// Memory in megabytes of starts that the list does not show: those not commanded yet, and those commanded at
    /// `listed_until` or later.
    pub fn unlisted_mb(&self, listed_until: u64) -> u64 {
        self.unrequested_mb + unlisted_mb(&self.requested, listed_until)
    }
}
