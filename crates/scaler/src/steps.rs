/// A runner as Algorithm 1 sees it: a quota in steps of one seat, and what one seat carries.
#[derive(Clone, Debug, PartialEq)]
pub struct Pod {
    /// The runner.
    pub id: String,
    /// Its quota.
    pub quota: u32,
    /// Highest quota that it may have.
    pub most: u32,
    /// Requests a second that one seat carries.
    pub seat_rate: f64,
}

impl Pod {
    /// Requests a second that it carries at its quota.
    pub fn capacity(&self) -> f64 {
        f64::from(self.quota) * self.seat_rate
    }
}

/// Raises quotas stepwise until the gap is closed, the fastest runners first. Gives what is left
/// of the gap.
pub fn grow(pods: &mut [Pod], mut gap: f64) -> f64 {
    pods.sort_by(|one, other| {
        let by_rate = other.seat_rate.total_cmp(&one.seat_rate);
        by_rate.then_with(|| one.id.cmp(&other.id))
    });
    for pod in pods.iter_mut() {
        while gap > 0.0 && pod.quota < pod.most && pod.seat_rate > 0.0 {
            pod.quota += 1;
            gap -= pod.seat_rate;
        }
    }
    gap
}

/// Lowers quotas stepwise while the surplus covers a step, the slowest runners first. A runner at
/// zero is to be drained; the last one keeps one seat.
pub fn shrink(pods: &mut [Pod], mut surplus: f64) -> bool {
    pods.sort_by(|one, other| {
        let by_rate = one.seat_rate.total_cmp(&other.seat_rate);
        by_rate.then_with(|| other.id.cmp(&one.id))
    });
    let mut has_changed = false;
    for place in 0..pods.len() {
        while pods[place].quota > 0 && surplus >= pods[place].seat_rate {
            let seats: u32 = pods.iter().map(|pod| pod.quota).sum();
            if seats <= 1 {
                return has_changed;
            }
            pods[place].quota -= 1;
            surplus -= pods[place].seat_rate;
            has_changed = true;
        }
    }
    has_changed
}
