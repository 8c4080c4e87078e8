//! Messages that carry a tenant or its usage.

use crate::sample::{sample, Sample};
use protocol::{
    LeaseRequest, Message, RelayedLeaseRequest, RequestId, RequestTenant, TenantUsage,
    TENANT_SUPPORT_FLAG,
};

/// One message of each kind that concerns tenants.
pub fn messages() -> Vec<Sample<Message>> {
    let tenant = RequestTenant {
        name: "north".into(),
        priority: 2,
    };
    let request = LeaseRequest {
        request_id: RequestId(7),
        function: "stamp".into(),
        ..LeaseRequest::default()
    };
    let relayed = RelayedLeaseRequest {
        request: request.clone(),
        zone: "south".into(),
        allowed_regions: vec!["east".into()],
    };
    let usage = TenantUsage {
        tenant: "north".into(),
        keys: 2,
        requests: 1 << 33,
        rejected: 5,
    };
    vec![
        sample(
            "tenant_lease_request",
            Message::TenantLeaseRequest {
                request,
                allowed_regions: vec!["east".into()],
                tenant: tenant.clone(),
            },
        ),
        sample(
            "relayed_tenant_lease_request",
            Message::RelayedTenantLeaseRequest { relayed, tenant },
        ),
        sample("request_tenant_usage", Message::RequestTenantUsage),
        sample("tenant_usage", Message::TenantUsage(vec![usage])),
        sample(
            "pong_of_a_gateway_that_understands_tenants",
            Message::Pong(TENANT_SUPPORT_FLAG | 7),
        ),
    ]
}
