//! Balances of tenants within a gateway's retries. A tenant whose requests fail often spends what its own first
//! attempts have earned, and not what those of other tenants have.

use std::collections::HashMap;
use std::sync::Arc;

/// Initial balance of a tenant, so that a tenant that sends few requests can retry too.
const INITIAL_RETRIES: f64 = 1.0;
/// Maximum balance of a tenant.
const MAX_RETRIES: f64 = 3.0;
/// Maximum number of tenants stored. When it is reached, all balances are reset.
const MAX_TENANTS: usize = 8_192;

/// Balance of each tenant: retries earned and not spent.
#[derive(Debug, Default)]
pub(crate) struct TenantRetries {
    earned: HashMap<Arc<str>, f64>,
}

impl TenantRetries {
    /// Adds a first attempt's share of a retry to a tenant's balance.
    pub fn deposit(&mut self, tenant: &Arc<str>, ratio: f64) {
        let earned = self.earned_by(tenant);
        *earned = (*earned + ratio).min(MAX_RETRIES);
    }

    /// Whether a tenant's balance covers a retry.
    pub fn has_balance(&self, tenant: &Arc<str>) -> bool {
        let earned = self.earned.get(tenant);
        earned.copied().unwrap_or(INITIAL_RETRIES) >= 1.0
    }

    /// Deducts a retry from a tenant's balance. A retry beyond the balance, which no other tenant needed, is not
    /// deducted.
    pub fn withdraw(&mut self, tenant: &Arc<str>) {
        let earned = self.earned_by(tenant);
        *earned = (*earned - 1.0).max(0.0);
    }

    fn earned_by(&mut self, tenant: &Arc<str>) -> &mut f64 {
        if self.earned.len() >= MAX_TENANTS && !self.earned.contains_key(tenant) {
            self.earned.clear();
        }
        let earned = self.earned.entry(Arc::clone(tenant));
        earned.or_insert(INITIAL_RETRIES)
    }
}
