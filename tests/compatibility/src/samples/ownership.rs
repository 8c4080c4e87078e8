//! Messages about which gateway owns the seats of a function.

use crate::sample::{sample, Sample};
use protocol::{
    FunctionHandover, GatewayLeases, LeaseRequest, Member, Message, OwnershipChange,
    OwnershipTable, RelayedLeaseRequest, RequestId, RunnerHandover, RunnerLeases, RunnerStage,
    RunnerUpdate, SeatHandover, UpdateVersion,
};

/// Messages about seat ownership and the gateway membership that it is derived from.
pub fn messages() -> Vec<Sample<Message>> {
    let mut all = membership();
    all.extend(tables());
    all.extend(handovers());
    all.extend(suspicion());
    all
}

fn version(number: u64) -> UpdateVersion {
    let term = (2 << 40) | 12;
    UpdateVersion { term, number }
}

fn gateway(name: &str) -> Member {
    Member {
        name: name.into(),
        incarnation: 0x0102_0304_0506_0708,
        address: "10.0.1.1:7100".into(),
        zone: "north".into(),
    }
}

fn membership() -> Vec<Sample<Message>> {
    let change = Message::GatewayMembershipChange {
        base: version(6),
        version: version(7),
        joined: vec![gateway("gw-1")],
        left: vec!["gw-2".into()],
    };
    let restricted = Message::RestrictedLeaseRequest {
        request: LeaseRequest {
            request_id: RequestId(7),
            function: "stamp".into(),
            ..LeaseRequest::default()
        },
        allowed_regions: vec!["east".into()],
    };
    vec![
        sample("membership_change", change),
        sample(
            "accepts_membership_changes",
            Message::AcceptsMembershipChanges,
        ),
        sample("restricted_lease_request", restricted),
    ]
}

fn tables() -> Vec<Sample<Message>> {
    let table = OwnershipTable {
        version: version(7),
        members: vec![gateway("gw-1"), gateway("gw-2")],
        joined: vec!["gw-2".into()],
        leaving: vec!["gw-1".into()],
        is_first: true,
    };
    let change = OwnershipChange {
        base: version(7),
        version: version(8),
        joined: vec![gateway("gw-3")],
        leaving: vec!["gw-2".into()],
        left: vec!["gw-1".into()],
    };
    vec![
        sample("accepts_ownership_tables", Message::AcceptsOwnershipTables),
        sample("ownership_table", Message::OwnershipTable(table)),
        sample("ownership_change", Message::OwnershipChange(change)),
    ]
}

fn runner_handover() -> RunnerHandover {
    RunnerHandover {
        update: RunnerUpdate {
            id: "i-1".into(),
            address: "10.1.0.1:80".into(),
            zone: "north".into(),
            quota: 8,
            stage: RunnerStage::Serving,
            starts_in_ms: 0,
        },
        is_up: true,
        is_unreachable: false,
        mean_response_ms: 61,
    }
}

fn handovers() -> Vec<Sample<Message>> {
    let leases = GatewayLeases {
        gateway: "gw-1".into(),
        runners: vec![RunnerLeases {
            runner: "i-1".into(),
            address: "10.1.0.1:80".into(),
            zone: "north".into(),
            requests: vec![RequestId(3), RequestId(1 << 40)],
        }],
    };
    let handover = SeatHandover {
        version: version(8),
        functions: vec![FunctionHandover {
            function: "stamp".into(),
            version: version(5),
            runners: vec![runner_handover()],
            leases: vec![leases],
        }],
        is_last: true,
    };
    vec![
        sample("request_handover", Message::RequestHandover(version(8))),
        sample("seat_handover", Message::SeatHandover(handover)),
        sample("confirm_leases", Message::ConfirmLeases(vec![RequestId(3)])),
        sample("leases_ended", Message::LeasesEnded(vec![RequestId(3)])),
        sample(
            "lease_request_cancelled",
            Message::LeaseRequestCancelled(RequestId(3)),
        ),
    ]
}

fn suspicion() -> Vec<Sample<Message>> {
    let relayed = RelayedLeaseRequest {
        request: LeaseRequest {
            request_id: RequestId((1 << 63) | 4),
            function: "stamp".into(),
            priority: 1,
            timeout_ms: 2_500,
            excluded_runners: vec!["i-2".into()],
            ..LeaseRequest::default()
        },
        zone: "south".into(),
        allowed_regions: vec!["east".into()],
    };
    let suspected = Message::SuspectedGateway {
        name: "gw-2".into(),
        incarnation: u64::MAX,
    };
    vec![
        sample(
            "relayed_lease_request",
            Message::RelayedLeaseRequest(relayed),
        ),
        sample("suspected_gateway", suspected),
        sample("gateway_leaving", Message::GatewayLeaving),
    ]
}
