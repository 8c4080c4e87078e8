use configuration::{Plan, RunnerState};

/// A runner as Algorithm 1 sees it: a quota in steps of one seat, and what one seat carries.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerQuota {
    /// The runner.
    pub id: String,
    /// Its quota.
    pub quota: u32,
    /// Highest quota that it may have.
    pub max_quota: u32,
    /// Requests a second that one seat carries.
    pub seat_rate: f64,
}

impl RunnerQuota {
    /// Requests a second that it carries at its quota.
    pub fn capacity(&self) -> f64 {
        f64::from(self.quota) * self.seat_rate
    }
}

/// Raises quotas stepwise until the gap is closed, the fastest runners first. Gives what is left
/// of the gap.
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

/// Lowers quotas stepwise while the surplus covers a step, the slowest runners first. A runner at
/// zero is to be drained; the last one keeps one seat.
pub fn shrink(runner_quotas: &mut [RunnerQuota], mut surplus: f64) -> bool {
    runner_quotas.sort_by(|one, other| {
        let by_rate = one.seat_rate.total_cmp(&other.seat_rate);
        by_rate.then_with(|| other.id.cmp(&one.id))
    });
    let mut has_changed = false;
    for place in 0..runner_quotas.len() {
        while runner_quotas[place].quota > 0 && surplus >= runner_quotas[place].seat_rate {
            let seats: u32 = runner_quotas
                .iter()
                .map(|runner_quota| runner_quota.quota)
                .sum();
            if seats <= 1 {
                return has_changed;
            }
            runner_quotas[place].quota -= 1;
            surplus -= runner_quotas[place].seat_rate;
            has_changed = true;
        }
    }
    has_changed
}

/// Writes quotas into the plan. A runner without seats drains.
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
