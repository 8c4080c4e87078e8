//! Random messages of every kind.

use protocol::{
    FunctionReport, FunctionUpdate, JobAttempt, JobCompletion, JobResult, JobVerdict, LeaseOutcome,
    LeaseRelease, LeaseRequest, Member, Message, RegisterResponse, RequestId, RunnerLeases,
    RunnerReport, RunnerStage, RunnerUpdate, SeatLease, StartBlock, UpdateVersion, ZoneArrivals,
};
use quickcheck::{Arbitrary, Gen};

mod ownership;

/// Number of message kinds. `Ping` and `Pong` share one kind.
pub const KIND_COUNT: u8 = 45;

#[derive(Clone, Debug)]
pub struct RandomMessage(pub Message);

impl Arbitrary for RandomMessage {
    fn arbitrary(gen: &mut Gen) -> Self {
        let kind = u8::arbitrary(gen) % KIND_COUNT;
        Self(message(kind, gen))
    }
}

fn random<T: Arbitrary>(gen: &mut Gen) -> T {
    T::arbitrary(gen)
}

fn random_list<T>(gen: &mut Gen, generate: impl Fn(&mut Gen) -> T) -> Vec<T> {
    let count = u8::arbitrary(gen) % 4;
    (0..count).map(|_| generate(gen)).collect()
}

fn version(gen: &mut Gen) -> UpdateVersion {
    let (term, number) = random(gen);
    UpdateVersion { term, number }
}

fn runner_leases(gen: &mut Gen) -> RunnerLeases {
    RunnerLeases {
        runner: random(gen),
        address: random(gen),
        zone: random(gen),
        requests: Vec::<u64>::arbitrary(gen)
            .into_iter()
            .map(RequestId)
            .collect(),
    }
}

fn member(gen: &mut Gen) -> Member {
    Member {
        name: random(gen),
        incarnation: random(gen),
        address: random(gen),
        zone: random(gen),
    }
}

fn report(gen: &mut Gen) -> FunctionReport {
    FunctionReport {
        function: random(gen),
        update_number: random(gen),
        arrivals: Vec::<(String, u64)>::arbitrary(gen)
            .into_iter()
            .map(|(zone, count)| ZoneArrivals { zone, count })
            .collect(),
        waiting: random(gen),
        abandoned: random(gen),
        runners: random_list(gen, |gen| RunnerReport {
            id: random(gen),
            in_use: random(gen),
            succeeded: random(gen),
            total_duration_ms: random(gen),
            rejected: random(gen),
            is_up: random(gen),
            is_unreachable: random(gen),
        }),
    }
}

fn runner_update(gen: &mut Gen) -> RunnerUpdate {
    let stages = [
        RunnerStage::Starting,
        RunnerStage::Serving,
        RunnerStage::Draining,
    ];
    RunnerUpdate {
        id: random(gen),
        address: random(gen),
        zone: random(gen),
        quota: random(gen),
        stage: *gen.choose(&stages).unwrap(),
        starts_in_ms: random(gen),
    }
}

fn function_update(gen: &mut Gen) -> FunctionUpdate {
    FunctionUpdate {
        function: random(gen),
        version: version(gen),
        runners: random_list(gen, runner_update),
        start_block: bool::arbitrary(gen).then(|| StartBlock {
            earliest_ready_ms: random(gen),
            retry_after_ms: random(gen),
            valid_ms: random(gen),
        }),
    }
}

fn outcome(gen: &mut Gen) -> LeaseOutcome {
    let outcomes = [
        LeaseOutcome::Succeeded,
        LeaseOutcome::Unused,
        LeaseOutcome::Rejected,
        LeaseOutcome::Gone,
        LeaseOutcome::Unreachable,
        LeaseOutcome::Lost,
    ];
    *gen.choose(&outcomes).unwrap()
}

fn attempt(gen: &mut Gen) -> JobAttempt {
    let mut digest = [0; 16];
    digest.fill_with(|| random(gen));
    JobAttempt {
        key: random(gen),
        digest,
        at_most_once: random(gen),
        incarnation: random(gen),
        number: random(gen),
    }
}

fn verdict(gen: &mut Gen) -> JobVerdict {
    let verdicts = [
        JobVerdict::Answer(random(gen)),
        JobVerdict::TooLarge,
        JobVerdict::MayHaveRun,
        JobVerdict::OtherRequest,
        JobVerdict::NotRun(random(gen)),
    ];
    gen.choose(&verdicts).unwrap().clone()
}

fn result(gen: &mut Gen) -> JobResult {
    let results = [
        JobResult::Answer(random(gen)),
        JobResult::TooLarge,
        JobResult::Lost,
        JobResult::NotRun,
    ];
    gen.choose(&results).unwrap().clone()
}

fn response(gen: &mut Gen) -> RegisterResponse {
    let responses = [
        RegisterResponse::Written(random(gen)),
        RegisterResponse::Found(random(gen), random(gen)),
        RegisterResponse::Unavailable,
        RegisterResponse::Indeterminate,
    ];
    gen.choose(&responses).unwrap().clone()
}

/// Generates a message of the kind with this index (below [`KIND_COUNT`]).
pub fn message(kind: u8, gen: &mut Gen) -> Message {
    match kind {
        6 | 28 | 29 => membership_message(kind, gen),
        0..=5 | 17 | 26 => configuration_message(kind, gen),
        7 | 8 | 15 | 16 | 18 => status_message(kind, gen),
        9..=14 | 27 => lease_message(kind, gen),
        30..=44 => ownership::message(kind, gen),
        _ => job_message(kind, gen),
    }
}

fn membership_message(kind: u8, gen: &mut Gen) -> Message {
    match kind {
        6 => Message::GatewayMembership {
            version: version(gen),
            members: random_list(gen, member),
        },
        29 => Message::AcceptsMembershipChanges,
        _ => Message::GatewayMembershipChange {
            base: version(gen),
            version: version(gen),
            joined: random_list(gen, member),
            left: random(gen),
        },
    }
}

fn configuration_message(kind: u8, gen: &mut Gen) -> Message {
    match kind {
        0 => Message::GatewayHello(member(gen)),
        1 => Message::GatewayHeartbeat {
            configuration_version: random(gen),
            evacuations_version: random(gen),
            membership_version: version(gen),
        },
        2 => Message::ControllerHeartbeat {
            configuration_version: random(gen),
            evacuations_version: random(gen),
            term: random(gen),
            controllers: random(gen),
            zone: random(gen),
            is_current: random(gen),
        },
        3 => Message::RequestConfiguration {
            configuration_version: random(gen),
            evacuations_version: random(gen),
        },
        4 => Message::Configuration {
            version: random(gen),
            document: random(gen),
        },
        5 => Message::EvacuatedZones {
            version: random(gen),
            zones: random(gen),
        },
        17 => Message::ConfigurationChanges {
            base_version: random(gen),
            changes: random(gen),
        },
        26 => Message::RequestHeartbeat,
        _ => unreachable!("not a kind of this group"),
    }
}

fn status_message(kind: u8, gen: &mut Gen) -> Message {
    match kind {
        7 => Message::FunctionReports(random_list(gen, report)),
        8 => Message::FunctionUpdates(random_list(gen, function_update)),
        15 => Message::Ping(random(gen)),
        16 => Message::RequestStatus,
        _ => Message::Status(random(gen)),
    }
}

fn lease_request(gen: &mut Gen) -> LeaseRequest {
    LeaseRequest {
        request_id: RequestId(random(gen)),
        function: random(gen),
        priority: random(gen),
        timeout_ms: random(gen),
        excluded_runners: random(gen),
        job: bool::arbitrary(gen).then(|| attempt(gen)),
        allowed_regions: Vec::new(),
        tenant: None,
    }
}

fn lease_message(kind: u8, gen: &mut Gen) -> Message {
    match kind {
        9 => Message::LeaseRequest(lease_request(gen)),
        27 => Message::RestrictedLeaseRequest {
            request: lease_request(gen),
            allowed_regions: random(gen),
        },
        10 => Message::CancelRequest(RequestId(random(gen))),
        11 => Message::SeatLease(SeatLease {
            request_id: RequestId(random(gen)),
            runner: random(gen),
            address: random(gen),
            zone: random(gen),
        }),
        12 => Message::Reject {
            request_id: RequestId(random(gen)),
            retry_after_ms: random(gen),
        },
        13 => Message::LeaseRelease(LeaseRelease {
            request_id: RequestId(random(gen)),
            outcome: outcome(gen),
            duration_ms: random(gen),
        }),
        14 => Message::LeasesInUse {
            function: random(gen),
            runners: random_list(gen, runner_leases),
        },
        _ => unreachable!("not a kind of this group"),
    }
}

fn job_message(kind: u8, gen: &mut Gen) -> Message {
    match kind {
        19 => Message::JobClaimed {
            request_id: RequestId(random(gen)),
            attempt: random(gen),
            register_version: random(gen),
        },
        20 => Message::JobJoined {
            request_id: RequestId(random(gen)),
            attempt: random(gen),
        },
        21 => Message::JobVerdict {
            request_id: RequestId(random(gen)),
            attempt: random(gen),
            verdict: verdict(gen),
        },
        22 => Message::JobCompletion(JobCompletion {
            request_id: RequestId(random(gen)),
            function: random(gen),
            attempt: attempt(gen),
            register_version: random(gen),
            result: result(gen),
        }),
        23 => Message::JobPersisted(RequestId(random(gen))),
        24 => Message::JobRegisterRequest {
            number: random(gen),
            key: random(gen),
            expected_version: random(gen),
            value: random(gen),
        },
        25 => Message::JobRegisterResponse {
            number: random(gen),
            response: response(gen),
        },
        _ => unreachable!("not a kind of this group"),
    }
}

/// Returns the index of a message's kind. Kinds about ownership and tenants are in [`ownership::kind_index`].
pub fn kind_index(message: &Message) -> u8 {
    match message {
        Message::GatewayHello(_) => 0,
        Message::GatewayHeartbeat { .. } => 1,
        Message::ControllerHeartbeat { .. } => 2,
        Message::RequestConfiguration { .. } => 3,
        Message::Configuration { .. } => 4,
        Message::EvacuatedZones { .. } => 5,
        Message::GatewayMembership { .. } => 6,
        Message::FunctionReports(_) => 7,
        Message::FunctionUpdates(_) => 8,
        Message::LeaseRequest(_) => 9,
        Message::CancelRequest(_) => 10,
        Message::SeatLease(_) => 11,
        Message::Reject { .. } => 12,
        Message::LeaseRelease(_) => 13,
        Message::LeasesInUse { .. } => 14,
        Message::Ping(_) | Message::Pong(_) => 15,
        Message::RequestStatus => 16,
        Message::ConfigurationChanges { .. } => 17,
        Message::Status(_) => 18,
        Message::JobClaimed { .. } => 19,
        Message::JobJoined { .. } => 20,
        Message::JobVerdict { .. } => 21,
        Message::JobCompletion(_) => 22,
        Message::JobPersisted(_) => 23,
        Message::JobRegisterRequest { .. } => 24,
        Message::JobRegisterResponse { .. } => 25,
        Message::RequestHeartbeat => 26,
        Message::RestrictedLeaseRequest { .. } => 27,
        Message::GatewayMembershipChange { .. } => 28,
        Message::AcceptsMembershipChanges => 29,
        other => ownership::kind_index(other),
    }
}
