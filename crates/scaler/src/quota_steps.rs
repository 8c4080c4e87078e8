use configuration::{Plan, RunnerState};

/// A runner as input to Algorithm 1: its quota in seats, and the rate that one seat can serve.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerQuota {
    /// Id of the runner.
    pub id: String,
    /// Current quota, in seats.
    pub quota: u32,
    /// Highest quota it may have, in seats.
    pub max_quota: u32,
    /// Requests per second that one seat can serve.
    pub seat_rate: f64,
}

impl RunnerQuota {
    /// Requests per second that the runner can serve at its current quota.
    pub fn capacity(&self) -> f64 {
        f64::from(self.quota) * self.seat_rate
    }
}

/// Raises quotas seat by seat until the gap (in requests per second) is closed, fastest runners first.
/// Returns the remaining gap.
pub fn grow(runner_quotas: &mut [RunnerQuota], mut gap: f64) -> f64 {
    runner_quotas.sort_by(|one, other| {
        let by_rate = other.seat_rate.total_cmp(&one.seat_rate);
        by_rate.then_with(|| one.id.cmp(&other.id))
    });
    for runner_quota in runner_quotas.iter_mut() {
        while gap > 0.0
            && runner_quota.quota < runner_quota.max_quota
            && runner_quota.seat_rate > 0.0
        {
            runner_quota.quota += 1;
            gap -= runner_quota.seat_rate;
        }
    }
    gap
}

/// Lowers quotas seat by seat while the surplus (in requests per second) covers a seat, slowest runners
/// first. A runner with quota zero has to be drained; the last seat of all runners is kept.
/// Returns whether any quota changed.
pub fn shrink(runner_quotas: &mut [RunnerQuota], mut surplus: f64) -> bool {
    runner_quotas.sort_by(|one, other| {
        let by_rate = one.seat_rate.total_cmp(&other.seat_rate);
        by_rate.then_with(|| other.id.cmp(&one.id))
    });
    let mut has_changed = false;
    for index in 0..runner_quotas.len() {
        while runner_quotas[index].quota > 0 && surplus >= runner_quotas[index].seat_rate {
            let seats: u32 = runner_quotas
                .iter()
                .map(|runner_quota| runner_quota.quota)
                .sum();
            if seats <= 1 {
                return has_changed;
            }
            runner_quotas[index].quota -= 1;
            surplus -= runner_quotas[index].seat_rate;
            has_changed = true;
        }
    }
    has_changed
}

/// Writes quotas into the plan. A runner without seats is set to drain.
pub(crate) fn set_quotas(plan: &mut Plan, runner_quotas: &[RunnerQuota]) {
    for runner_quota in runner_quotas {
        let mut entries = plan.runners.iter_mut();
        let Some(entry) = entries.find(|entry| entry.id == runner_quota.id) else {
            continue;
        };
        entry.quota = runner_quota.quota;
        if runner_quota.quota == 0 {
            entry.state = RunnerState::Draining;
        }
    }
}
