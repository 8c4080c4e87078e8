//! Who sends a request: the tenant that has the key which it bears. It is settled once for each request, against the configuration that
//! names its binding too; what is said on a connection holds for no later request on it.

use http1::Headers;
use routing::{KeyDigest, Tenant, TenantDirectory};
use std::sync::Arc;

/// A request's tenant. The key itself is kept nowhere.
#[derive(Clone, Debug)]
pub(crate) struct ClientIdentity {
    tenant: Arc<Tenant>,
    key: KeyDigest,
}

/// Why it is not known who sends a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IdentityError {
    /// It bears no key, and its binding is not public.
    NoKey,
    /// It bears more than one key.
    SeveralKeys,
    /// No tenant has its key.
    UnknownKey,
}

impl IdentityError {
    /// What the client is told.
    pub fn reason(self) -> &'static str {
        match self {
            Self::NoKey => "the request bears no key",
            Self::SeveralKeys => "the request bears more than one key",
            Self::UnknownKey => "the key of the request is not known",
        }
    }
}

impl ClientIdentity {
    /// The tenant that sends a request with these headers; none where nobody need say who sends it.
    ///
    /// A public binding takes requests without a key. A key that is not known is refused there too: it is no tenant's, and a client
    /// that shows one wants to be that tenant.
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

    /// Whose key it is now.
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

/// What became of the key of a request since it was admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyStatus {
    /// The tenant has it still, or nobody needs one any more.
    Held,
    /// Another tenant has it.
    Moved,
    /// No tenant has it.
    Revoked,
}
