/// Limits retries in every window of time to a share of the first attempts plus a small floor. Each first
/// attempt adds the share to the credit, up to the floor, and each retry takes one. The retries in a window are
/// thus at most the credit at its start plus what was earned within it.
#[derive(Debug, Default)]
pub struct RetryBudget {
    credit: f64,
}

impl RetryBudget {
    /// Adds the credit of one first attempt. An incarnation starts without credit, so that a front that is
    /// killed and restarted does not get the floor a second time.
    pub fn earn(&mut self, share: f64, floor: f64) {
        self.credit = (self.credit + share).min(floor.max(1.0));
    }

    /// Whether there is credit for a retry.
    pub fn has_credit(&self) -> bool {
        self.credit >= 1.0
    }

    /// Takes the credit of one retry; false if there is not enough.
    pub fn take(&mut self) -> bool {
        let has_credit = self.has_credit();
        if has_credit {
            self.credit -= 1.0;
        }
        has_credit
    }
}
