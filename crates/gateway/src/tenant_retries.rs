//! Shares of tenants in the retries of a gateway: a tenant whose requests fail often spends what its own first attempts earned, and
//! not what those of others did.

use std::collections::HashMap;
use std::sync::Arc;

/// Retries that a tenant has at first, and may have while it sends little.
const INITIAL_RETRIES: f64 = 1.0;
/// Most retries that a tenant saves up.
const MAX_RETRIES: f64 = 3.0;
/// Most tenants that are remembered. Beyond them all begin anew.
const MAX_TENANTS: usize = 8_192;

/// Retries that each tenant has earned and not spent.
#[derive(Debug, Default)]
pub(crate) struct TenantRetries {
    earned: HashMap<Arc<str>, f64>,
}

impl TenantRetries {
    /// A first attempt of a tenant earns part of a retry.
    pub fn deposit(&mut self, tenant: &Arc<str>, ratio: f64) {
        let earned = self.earned_by(tenant);
        *earned = (*earned + ratio).min(MAX_RETRIES);
    }

    /// Whether a tenant has a retry of its own.
    pub fn has_balance(&self, tenant: &Arc<str>) -> bool {
        let earned = self.earned.get(tenant);
        earned.copied().unwrap_or(INITIAL_RETRIES) >= 1.0
    }

    /// A tenant spends a retry. One beyond its own, which nobody else needed, is not counted.
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
