//! Tenants and their keys: who may send requests.
//!
//! A directory shares all that it did not change with the one before, so that a change of one tenant costs that tenant alone, however
//! many there are.

use crate::key_digest::KeyDigest;
use rpds::HashTrieMapSync;
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::Arc;

/// One who may send requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tenant {
    /// Name, unique in the configuration.
    pub name: Arc<str>,
    /// Digests of its keys. Without any it may send nothing.
    pub keys: Vec<KeyDigest>,
    /// Priority, which goes before that of a request's binding; 0 goes first.
    pub priority: u8,
    /// Regions that its requests must not leave; empty where all are allowed.
    pub allowed_regions: Vec<String>,
}

/// Why tenants cannot be in force together. No key is named.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TenantError {
    /// Two tenants have this name.
    RepeatedName(Arc<str>),
    /// A tenant has a key twice.
    RepeatedKey(Arc<str>),
    /// Two tenants have a key in common.
    SharedKey {
        /// Name of the one.
        tenant: Arc<str>,
        /// Name of the other.
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

/// All tenants, by name and by key.
#[derive(Clone, Default, PartialEq)]
pub struct TenantDirectory {
    by_name: HashTrieMapSync<Arc<str>, Arc<Tenant>>,
    by_key: HashTrieMapSync<KeyDigest, Arc<Tenant>>,
}

// Maps would print hashes of keys.
impl fmt::Debug for TenantDirectory {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_set().entries(self.iter()).finish()
    }
}

impl TenantDirectory {
    /// A directory of these tenants.
    ///
    /// # Errors
    /// Where a name or a key is there twice.
    pub fn new(tenants: Vec<Tenant>) -> Result<Self, TenantError> {
        let mut directory = Self::default();
        for tenant in tenants {
            directory.insert(tenant)?;
        }
        Ok(directory)
    }

    /// The directory with some tenants added or replaced by name, and after that some removed. A key may move from one of them to
    /// another in the same change.
    ///
    /// # Errors
    /// Where a key would be there twice.
    pub fn with_changes(
        &self,
        upserted: Vec<Tenant>,
        removed: &HashSet<String>,
    ) -> Result<Self, TenantError> {
        let mut directory = self.clone();
        // Of tenants that are named twice the last one stays.
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

    /// The tenant that has a key.
    #[must_use]
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<Tenant>> {
        self.by_key.get(key)
    }

    /// The tenant of this name.
    #[must_use]
    pub fn tenant(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.by_name.get(name)
    }

    /// All tenants, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.by_name.values()
    }

    /// Number of tenants.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_name.size()
    }

    /// Whether there is none, so that nobody may send requests but to public bindings.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Number of keys of all tenants.
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

/// The regions that two lists have in common, of which an empty one allows all. Empty where they have none in common, or both allow all.
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
