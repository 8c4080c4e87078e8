//! Identifies the tenant that sends a request by its API key. Each request is identified separately, against the same
//! configuration that determines its binding; nothing carries over to later requests on the connection.

use http1::Headers;
use routing::{KeyDigest, Tenant, TenantDirectory};
use std::sync::Arc;

/// The tenant of a request. Only a digest of its key is kept.
#[derive(Clone, Debug)]
pub(crate) struct ClientIdentity {
    tenant: Arc<Tenant>,
    key: KeyDigest,
}

/// Why the sender of a request could not be identified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IdentityError {
    /// It has no key, and its binding is not public.
    NoKey,
    /// It has more than one key.
    SeveralKeys,
    /// Its key belongs to no tenant.
    UnknownKey,
}

impl IdentityError {
    /// The reason that is sent to the client.
    pub fn reason(self) -> &'static str {
        match self {
            Self::NoKey => "the request bears no key",
            Self::SeveralKeys => "the request bears more than one key",
            Self::UnknownKey => "the key of the request is not known",
        }
    }
}

impl ClientIdentity {
    /// Identifies the tenant that sends a request with these headers. Returns `None` if no key is required.
    ///
    /// A public binding accepts requests without a key. It still refuses an unknown key, because a client that sends
    /// a key expects to be treated as that key's tenant.
    pub fn of_request(
        headers: &Headers,
        key_header: &str,
        tenants: Option<&TenantDirectory>,
        is_public: bool,
    ) -> Result<Option<Self>, IdentityError> {
        let Some(tenants) = tenants else {
            return Ok(None);
        };
        let mut keys = headers.get_all(key_header);
        let Some(key) = keys.next() else {
            return if is_public {
                Ok(None)
            } else {
                Err(IdentityError::NoKey)
            };
        };
        if keys.next().is_some() {
            return Err(IdentityError::SeveralKeys);
        }
        let key = KeyDigest::of(key);
        let tenant = tenants.find(&key).ok_or(IdentityError::UnknownKey)?;
        Ok(Some(Self {
            tenant: Arc::clone(tenant),
            key,
        }))
    }

    /// The tenant as it was when the request was admitted.
    pub fn tenant(&self) -> &Tenant {
        &self.tenant
    }

    /// The tenant's name.
    pub fn name(&self) -> &Arc<str> {
        &self.tenant.name
    }

    /// Checks whether the tenant still holds the key.
    pub fn recheck(&self, tenants: Option<&TenantDirectory>) -> KeyStatus {
        let holder = tenants.and_then(|tenants| tenants.find(&self.key));
        match holder {
            Some(holder) if holder.name == self.tenant.name => KeyStatus::Held,
            Some(_) => KeyStatus::Moved,
            None if tenants.is_none() => KeyStatus::Held,
            None => KeyStatus::Revoked,
        }
    }
}

/// What has happened to a request's key since the request was admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyStatus {
    /// The tenant still holds it, or keys are no longer required.
    Held,
    /// Another tenant holds it.
    Moved,
    /// No tenant holds it any more.
    Revoked,
}
