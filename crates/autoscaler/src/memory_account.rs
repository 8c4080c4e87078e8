//! Memory and occupancy of the runners on one worker.

use crate::runner::Runner;

/// Memory that was taken or freed at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TimedMemory {
    /// When.
    pub at: u64,
    /// How much, in megabytes.
    pub memory_mb: u64,
}

/// Sum of the sizes that the list may not show yet, in megabytes.
pub(crate) fn unlisted_mb(sizes: &[TimedMemory], listed_until: u64) -> u64 {
    let unlisted = sizes.iter().filter(|size| size.at >= listed_until);
    unlisted.map(|size| size.memory_mb).sum()
}

/// Memory that the runners on one worker take, in megabytes.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemoryAccount {
    used_mb: u64,
    occupied_mb: f64,
    unrequested_mb: u64,
    requested: Vec<TimedMemory>,
}

impl MemoryAccount {
    /// Sums the runners on a worker of which the list shows all starts before a time.
    pub fn sum<'a>(runners: impl Iterator<Item = &'a Runner>, listed_until: u64) -> Self {
        let mut account = Self::default();
        for runner in runners {
            account.used_mb += runner.memory_mb;
            let share = f64::from(runner.quota) / f64::from(runner.max_quota.max(1));
            account.occupied_mb += runner.memory_mb as f64 * share;
            match runner.start_requested_at {
                // What one list shows all later ones show.
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

    /// Memory of all runners.
    pub fn used_mb(&self) -> u64 {
        self.used_mb
    }

    /// The design's occupancy (HGO): memory of each runner by the share of its quota.
    pub fn occupied_mb(&self) -> f64 {
        self.occupied_mb
    }

    /// Memory of starts that a list lacks: those not commanded yet, and those commanded since.
    pub fn unlisted_mb(&self, listed_until: u64) -> u64 {
        self.unrequested_mb + unlisted_mb(&self.requested, listed_until)
    }
}
