//! Retries of each function stay within a share of its first attempts.

use seat_leases::RetryBudget;
use std::collections::HashMap;

/// Part of the operators' slack that is used: a gateway that restarts begins with a full budget, and the fleet must not
/// exceed the whole.
const SLACK_PART: f64 = 0.5;
/// Part of the ratio that is used, for the same reason.
const RATIO_PART: f64 = 0.75;

/// Retry budgets by function.
pub(crate) struct RetryBudgets {
    budgets: HashMap<String, RetryBudget>,
    ratio: f64,
    slack: f64,
}

impl RetryBudgets {
    /// Budgets under the operators' bounds over all gateways: retries per first attempt, and retries beside these.
    pub fn new(ratio: f64, slack: f64) -> Self {
        Self {
            budgets: HashMap::new(),
            ratio: ratio * RATIO_PART,
            slack: slack * SLACK_PART,
        }
    }

    /// A first attempt earns its share of a retry; the slack is divided among the gateways.
    pub fn deposit(&mut self, function: &str, gateways: usize) {
        let capacity = (self.slack / gateways.max(1) as f64).max(1.0);
        let ratio = self.ratio;
        let budget = self.budgets.entry(function.into());
        let budget = budget.or_insert_with(|| RetryBudget::new(ratio, capacity));
        budget.set_capacity(capacity);
        budget.deposit();
    }

    /// Whether there is a retry to take.
    pub fn has_balance(&self, function: &str) -> bool {
        let budget = self.budgets.get(function);
        budget.is_some_and(RetryBudget::has_balance)
    }

    /// Takes a retry, where there is one.
    pub fn try_withdraw(&mut self, function: &str) -> bool {
        let budget = self.budgets.get_mut(function);
        budget.is_some_and(RetryBudget::try_withdraw)
    }
}
