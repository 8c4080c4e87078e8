//! Tenants and their API keys, which authorise requests.
//!
//! A changed directory shares all unchanged entries with the previous one, so the cost of a change depends on the changed
//! tenants and not on the total number of tenants.

use crate::key_digest::KeyDigest;
use rpds::HashTrieMapSync;
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::Arc;

/// A tenant, which may send requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tenant {
    /// Name of the tenant, unique in the configuration.
    pub name: Arc<str>,
    /// Digests of its API keys. A tenant without keys cannot send requests.
    pub keys: Vec<KeyDigest>,
    /// Priority, compared before that of the request's binding; 0 is the highest.
    pub priority: u8,
    /// Regions to which its requests are restricted; empty if all regions are allowed.
    pub allowed_regions: Vec<String>,
}

/// Why a set of tenants is invalid. Errors never contain keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TenantError {
    /// Two tenants have the same name.
    RepeatedName(Arc<str>),
    /// A tenant lists the same key twice.
    RepeatedKey(Arc<str>),
    /// Two tenants have a key in common.
    SharedKey {
        /// Name of one tenant.
        tenant: Arc<str>,
        /// Name of the other tenant.
        other: Arc<str>,
    },
}

impl fmt::Display for TenantError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RepeatedName(name) => {
                write!(formatter, "tenant '{name}': its name is there twice")
            }
            Self::RepeatedKey(name) => write!(formatter, "tenant '{name}': it has a key twice"),
            Self::SharedKey { tenant, other } => {
                write!(
                    formatter,
                    "tenant '{tenant}': it has a key of tenant '{other}'"
                )
            }
        }
    }
}

impl std::error::Error for TenantError {}

/// All tenants, indexed by name and by key.
#[derive(Clone, Default, PartialEq)]
pub struct TenantDirectory {
    by_name: HashTrieMapSync<Arc<str>, Arc<Tenant>>,
    by_key: HashTrieMapSync<KeyDigest, Arc<Tenant>>,
}

// A derived implementation would print the maps, including hashes of the keys.
impl fmt::Debug for TenantDirectory {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_set().entries(self.iter()).finish()
    }
}

impl TenantDirectory {
    /// Creates a directory of these tenants.
    ///
    /// # Errors
    /// Fails if a name or a key is not unique.
    pub fn new(tenants: Vec<Tenant>) -> Result<Self, TenantError> {
        let mut directory = Self::default();
        for tenant in tenants {
            directory.insert(tenant)?;
        }
        Ok(directory)
    }

    /// Returns a copy of the directory in which tenants are first added or replaced by name, and then removed. A key may move from
    /// one of these tenants to another in the same change.
    ///
    /// # Errors
    /// Fails if a key would not be unique.
    pub fn with_changes(
        &self,
        upserted: Vec<Tenant>,
        removed: &HashSet<String>,
    ) -> Result<Self, TenantError> {
        let mut directory = self.clone();
        // If a name occurs more than once, the last tenant wins.
        let mut last: HashMap<Arc<str>, Tenant> = HashMap::with_capacity(upserted.len());
        for tenant in upserted {
            last.insert(Arc::clone(&tenant.name), tenant);
        }
        for name in last.keys().map(AsRef::as_ref) {
            directory.remove(name);
        }
        for name in removed {
            directory.remove(name);
        }
        let kept = last.into_values();
        for tenant in kept.filter(|tenant| !removed.contains(tenant.name.as_ref())) {
            directory.insert(tenant)?;
        }
        Ok(directory)
    }

    /// Finds the tenant that a key belongs to.
    #[must_use]
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<Tenant>> {
        self.by_key.get(key)
    }

    /// Finds a tenant by name.
    #[must_use]
    pub fn tenant(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.by_name.get(name)
    }

    /// All tenants, in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.by_name.values()
    }

    /// Number of tenants.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_name.size()
    }

    /// Whether there are no tenants. If so, only requests to public bindings are accepted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Total number of keys of all tenants.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.by_key.size()
    }

    fn insert(&mut self, tenant: Tenant) -> Result<(), TenantError> {
        if self.by_name.contains_key(&tenant.name) {
            return Err(TenantError::RepeatedName(tenant.name));
        }
        let tenant = Arc::new(tenant);
        for key in &tenant.keys {
            if let Some(other) = self.by_key.get(key) {
                return Err(shared_key(&tenant, other));
            }
            self.by_key.insert_mut(*key, Arc::clone(&tenant));
        }
        self.by_name.insert_mut(Arc::clone(&tenant.name), tenant);
        Ok(())
    }

    fn remove(&mut self, name: &str) {
        let Some(tenant) = self.by_name.get(name).cloned() else {
            return;
        };
        self.by_name.remove_mut(name);
        for key in &tenant.keys {
            self.by_key.remove_mut(key);
        }
    }
}

fn shared_key(tenant: &Tenant, other: &Tenant) -> TenantError {
    let name = Arc::clone(&tenant.name);
    if name == other.name {
        return TenantError::RepeatedKey(name);
    }
    let other = Arc::clone(&other.name);
    TenantError::SharedKey {
        tenant: name,
        other,
    }
}

/// Intersects two lists of allowed regions, in which an empty list allows all regions. The result is also empty if the lists
/// have no region in common.
#[must_use]
pub fn intersect_regions(one: &[String], other: &[String]) -> Vec<String> {
    match (one, other) {
        ([], only) | (only, []) => only.to_vec(),
        _ => {
            let regions = one.iter();
            let common = regions.filter(|region| other.contains(region));
            common.cloned().collect()
        }
    }
}
