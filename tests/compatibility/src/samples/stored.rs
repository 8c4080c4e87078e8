//! Values of the other registers: jobs, the scaling controller's lease, and the registers of older daemons.

use crate::sample::{sample, Sample};
use configuration::{PeerRef, Plan, RunnerEntry, RunnerState, Version};
use consensus::RoleHolder;
use idempotency_keys::Claim as OnceClaim;
use jobs::{Claim, ClaimHolder, ClaimState, ClaimWriter, StoredClaim};
use leader_election::Leadership;

/// Digest of `POST /resize?w=10` with the body `body`, as versions stored it that knew neither host nor route.
const FORMER_DIGEST: [u8; 16] = [
    0x3e, 0x2c, 0x81, 0xc9, 0xfa, 0x8f, 0x4c, 0x6e, 0x4f, 0x6a, 0xc2, 0xcd, 0xf7, 0xc3, 0x2b, 0xe7,
];

/// A job's claim while its request may be running.
pub fn taken_job() -> Claim {
    Claim {
        digest: FORMER_DIGEST,
        holder: ClaimHolder {
            gateway: "gw-1".into(),
            incarnation: 0x0102_0304_0506_0708,
            request_id: protocol::RequestId(42),
        },
        writer: ClaimWriter {
            incarnation: 0x1112_1314_1516_1718,
            claim_number: 9,
        },
        state: ClaimState::Taken,
    }
}

/// A job's claim after its request completed.
pub fn done_job() -> Claim {
    Claim {
        state: ClaimState::Done(Some(b"packed answer".to_vec())),
        ..taken_job()
    }
}

/// Job claims in each state.
pub fn jobs() -> Vec<Sample<Claim>> {
    let free = Claim {
        state: ClaimState::Free,
        ..taken_job()
    };
    let too_large = Claim {
        state: ClaimState::Done(None),
        ..taken_job()
    };
    vec![
        sample("blank", Claim::default()),
        sample("free", free),
        sample("taken", taken_job()),
        sample("done", done_job()),
        sample("done_too_large", too_large),
    ]
}

/// Job claims that include the attempt number.
pub fn stored_claims() -> Vec<Sample<StoredClaim>> {
    let stored = |claim, attempt| StoredClaim { claim, attempt };
    vec![
        sample("taken", stored(taken_job(), 3)),
        sample("done", stored(done_job(), 0)),
    ]
}

/// The lease of the scaling controller.
pub fn role_lease() -> RoleHolder {
    RoleHolder {
        address: "10.0.0.1:7000".into(),
        name: "ctl-1".into(),
        incarnation: 0x2122_2324_2526_2728,
    }
}

/// Values of the register that holds the scaling controller's lease.
pub fn role_leases() -> Vec<Sample<RoleHolder>> {
    vec![sample("role_lease", role_lease())]
}

/// A front with its incarnation.
pub fn peer() -> PeerRef {
    PeerRef {
        name: "front-1".into(),
        incarnation: 0x0102_0304_0506_0708,
    }
}

/// Values of the leader election register of older daemons.
pub fn tenures() -> Vec<Sample<Leadership>> {
    let leadership = Leadership {
        leader: peer(),
        term: (1 << 40) | 3,
    };
    vec![sample("tenure", leadership)]
}

/// Values of the idempotency key registers of older daemons.
pub fn once_claims() -> Vec<Sample<OnceClaim>> {
    let digest = "0f1e2d3c".to_string();
    let taken = OnceClaim::Taken {
        by: peer(),
        slot: 17,
        digest: digest.clone(),
    };
    let done = OnceClaim::Done {
        digest: digest.clone(),
        status: 201,
        content_type: "text/plain".into(),
        body: Some(b"made".to_vec()),
    };
    let done_too_large = OnceClaim::Done {
        digest: digest.clone(),
        status: 200,
        content_type: String::new(),
        body: None,
    };
    vec![
        sample("free", OnceClaim::Free),
        sample("taken", taken),
        sample("done", done),
        sample("done_too_large", done_too_large),
        sample("unknown", OnceClaim::Unknown { digest }),
    ]
}

/// A version within an epoch.
pub fn version() -> Version {
    Version { epoch: 2, no: 31 }
}

/// A plan of the older daemons with a runner in each state.
pub fn plan() -> Plan {
    let states = [
        RunnerState::Wanted,
        RunnerState::Draining,
        RunnerState::Stopping,
        RunnerState::Resting,
    ];
    Plan {
        term: (2 << 40) | 3,
        membership_since: version(),
        membership: vec!["front-1".into(), "front-2".into()],
        runners: states.into_iter().map(runner).collect(),
    }
}

fn runner(state: RunnerState) -> RunnerEntry {
    RunnerEntry {
        id: "r-1".into(),
        function: "resize".into(),
        worker: "w-1".into(),
        zone: "north".into(),
        address: "10.0.2.1:9000".into(),
        key: vec![1, 2, 3, 4],
        memory_mb: 256,
        response_time_ms: 40,
        quota: 8,
        owner: peer(),
        owner_epoch: 2,
        owner_since: version(),
        state,
    }
}

/// Values of the plan register of older daemons.
pub fn plans() -> Vec<Sample<Plan>> {
    vec![
        sample("blank", Plan::default()),
        sample("all_states", plan()),
    ]
}
