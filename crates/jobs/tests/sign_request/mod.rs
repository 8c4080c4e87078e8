//! A request to sign something, as a job.

use jobs::RequestIdentity;

/// A request without a tenant whose body is to be signed.
pub fn sign_request(body: &[u8]) -> RequestIdentity<'_> {
    RequestIdentity {
        tenant: None,
        host: "one.example",
        route: "sign",
        function: "sign",
        method: "POST",
        target: "/sign",
        body,
    }
}
