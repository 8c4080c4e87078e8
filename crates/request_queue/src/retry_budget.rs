/// Keeps retries below a share of first attempts, plus a small floor, in every window of time: credit
/// grows by the share with each first try, up to the floor, and each retry takes one. What any
/// window holds of retries is at most the credit that it began with and what it earned.
#[derive(Debug, Default)]
pub struct RetryBudget {
    credit: f64,
}

impl RetryBudget {
    /// Counts a first try. An incarnation begins with nothing, so that a front that is killed and started
    /// again has not its floor a second time.
    pub fn earn(&mut self, share: f64, floor: f64) {
        self.credit = (self.credit + share).min(floor.max(1.0));
    }

    /// Whether there is credit for a retry.
    pub fn has_credit(&self) -> bool {
        self.credit >= 1.0
    }

    /// Takes one retry where there is credit for it.
    pub fn take(&mut self) -> bool {
        let has_credit = self.has_credit();
        if has_credit {
            self.credit -= 1.0;
        }
        has_credit
    }
}
