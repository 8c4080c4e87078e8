//! Counts of the requests of each tenant, and of those that failed, for operators.

use protocol::TenantUsage;
use routing::TenantDirectory;
use std::collections::HashMap;
use std::sync::Arc;

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requests: u64,
    rejected: u64,
}

/// Counts of this incarnation, for the tenants in the configuration.
#[derive(Debug, Default)]
pub(crate) struct TenantCounts {
    counts: HashMap<Arc<str>, Counts>,
}

impl TenantCounts {
    /// Counts an admitted request of a tenant.
    pub fn record_request(&mut self, tenant: &Arc<str>) {
        self.counts_of(tenant).requests += 1;
    }

    /// Counts a request of a tenant that got an error from the gateway itself.
    pub fn record_rejected(&mut self, tenant: &Arc<str>) {
        self.counts_of(tenant).rejected += 1;
    }

    fn counts_of(&mut self, tenant: &Arc<str>) -> &mut Counts {
        self.counts.entry(Arc::clone(tenant)).or_default()
    }

    /// Removes the counts of tenants that are no longer in the configuration.
    pub fn retain(&mut self, tenants: Option<&TenantDirectory>) {
        self.counts
            .retain(|name, _| tenants.is_some_and(|tenants| tenants.tenant(name).is_some()));
    }

    /// Usage of all tenants in the configuration, sorted by name.
    pub fn usage(&self, tenants: Option<&TenantDirectory>) -> Vec<TenantUsage> {
        let tenants = tenants.into_iter().flat_map(TenantDirectory::iter);
        let mut usage: Vec<TenantUsage> = tenants
            .map(|tenant| {
                let counts = self.counts.get(&tenant.name).copied().unwrap_or_default();
                TenantUsage {
                    tenant: tenant.name.to_string(),
                    keys: tenant.keys.len() as u32,
                    requests: counts.requests,
                    rejected: counts.rejected,
                }
            })
            .collect();
        usage.sort_by(|one, other| one.tenant.cmp(&other.tenant));
        usage
    }
}
