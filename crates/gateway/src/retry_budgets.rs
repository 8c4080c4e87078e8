//! Limits the retries of each function to a share of its first attempts.

use crate::tenant_retries::TenantRetries;
use seat_leases::RetryBudget;
use std::collections::HashMap;
use std::sync::Arc;

/// Fraction of the operators' slack that is used. A gateway that restarts begins with a full budget, and all gateways
/// together must not exceed the whole slack.
const SLACK_FRACTION: f64 = 0.5;
/// Fraction of the ratio that is used, for the same reason.
const RATIO_FRACTION: f64 = 0.75;

/// Retry budgets by function, and the balances of tenants within them.
pub(crate) struct RetryBudgets {
    budgets: HashMap<String, RetryBudget>,
    tenants: TenantRetries,
    ratio: f64,
    slack: f64,
}

/// The tenant of a request, if it has one.
type OptionalTenant<'a> = Option<&'a Arc<str>>;

impl RetryBudgets {
    /// Creates budgets from the operators' bounds over all gateways: retries per first attempt, and retries in
    /// addition to these.
    pub fn new(ratio: f64, slack: f64) -> Self {
        Self {
            budgets: HashMap::new(),
            tenants: TenantRetries::default(),
            ratio: ratio * RATIO_FRACTION,
            slack: slack * SLACK_FRACTION,
        }
    }

    /// Adds a first attempt's share of a retry to the budget. The slack is divided among the gateways.
    pub fn deposit(&mut self, function: &str, tenant: OptionalTenant<'_>, gateways: usize) {
        let capacity = (self.slack / gateways.max(1) as f64).max(1.0);
        let ratio = self.ratio;
        let budget = self.budgets.entry(function.into());
        let budget = budget.or_insert_with(|| RetryBudget::new(ratio, capacity));
        budget.set_capacity(capacity);
        budget.deposit();
        if let Some(tenant) = tenant {
            self.tenants.deposit(tenant, ratio);
        }
    }

    /// Whether a retry is available: the function's budget has one, and either the tenant has earned it or the budget
    /// is full, so that no other tenant needs it.
    pub fn has_balance(&self, function: &str, tenant: OptionalTenant<'_>) -> bool {
        let Some(budget) = self.budgets.get(function) else {
            return false;
        };
        let is_own = tenant.is_none_or(|tenant| self.tenants.has_balance(tenant));
        budget.has_balance() && (is_own || budget.is_full())
    }

    /// Takes a retry if one is available. Returns whether it was taken.
    pub fn try_withdraw(&mut self, function: &str, tenant: OptionalTenant<'_>) -> bool {
        if !self.has_balance(function, tenant) {
            return false;
        }
        if let Some(tenant) = tenant {
            self.tenants.withdraw(tenant);
        }
        let budget = self.budgets.get_mut(function);
        budget.is_some_and(RetryBudget::try_withdraw)
    }
}
