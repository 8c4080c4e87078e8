//! What the copies of a job have in common.

use crate::claim::digest_of;

/// All that decides what runs for a request and who may read the answer. Requests that bear the same idempotency key are
/// copies of one job only if they are alike in each part; otherwise none gets the other's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestIdentity<'a> {
    /// Name of the client's tenant, if there is one.
    pub tenant: Option<&'a str>,
    /// Host of the route.
    pub host: &'a str,
    /// Name of the route.
    pub route: &'a str,
    /// Name of the function.
    pub function: &'a str,
    /// Method of the request.
    pub method: &'a str,
    /// Path and query of the request.
    pub target: &'a str,
    /// Body of the request, without its framing.
    pub body: &'a [u8],
}

impl RequestIdentity<'_> {
    /// Digest of all parts. It is stored with the job, and a response is returned only to requests with the same digest.
    ///
    /// A job that was stored by a version whose digest had fewer parts is known by its key and has another digest, so its
    /// copies are rejected.
    #[must_use]
    pub fn digest(&self) -> [u8; 16] {
        let has_tenant = [u8::from(self.tenant.is_some())];
        digest_of([
            has_tenant.as_slice(),
            self.tenant.unwrap_or_default().as_bytes(),
            self.host.as_bytes(),
            self.route.as_bytes(),
            self.function.as_bytes(),
            self.method.as_bytes(),
            self.target.as_bytes(),
            self.body,
        ])
    }
}
