//! Messages of every kind, drawn at random.

use protocol::{
    FunctionReport, FunctionUpdate, JobAttempt, JobCompletion, JobResult, JobVerdict, LeaseOutcome,
    LeaseRelease, LeaseRequest, Member, Message, RegisterResponse, RequestId, RunnerLeases,
    RunnerReport, RunnerStage, RunnerUpdate, SeatLease, StartBlock, UpdateVersion, ZoneArrivals,
};
use quickcheck::{Arbitrary, Gen};

mod ownership;

pub const KINDS: u8 = 45;

#[derive(Clone, Debug)]
pub struct Drawn(pub Message);

impl Arbitrary for Drawn {
    fn arbitrary(gen: &mut Gen) -> Self {
        let kind = u8::arbitrary(gen) % KINDS;
        Self(message(kind, gen))
    }
}

fn any<T: Arbitrary>(gen: &mut Gen) -> T {
    T::arbitrary(gen)
}

fn some<T>(gen: &mut Gen, draw: impl Fn(&mut Gen) -> T) -> Vec<T> {
    let count = u8::arbitrary(gen) % 4;
    (0..count).map(|_| draw(gen)).collect()
}

fn version(gen: &mut Gen) -> UpdateVersion {
    let (term, number) = any(gen);
    UpdateVersion { term, number }
}

fn runner_leases(gen: &mut Gen) -> RunnerLeases {
    RunnerLeases {
        runner: any(gen),
        address: any(gen),
        zone: any(gen),
        requests: Vec::<u64>::arbitrary(gen)
            .into_iter()
            .map(RequestId)
            .collect(),
    }
}

fn member(gen: &mut Gen) -> Member {
    Member {
        name: any(gen),
        incarnation: any(gen),
        address: any(gen),
        zone: any(gen),
    }
}

fn report(gen: &mut Gen) -> FunctionReport {
    FunctionReport {
        function: any(gen),
        update_number: any(gen),
        arrivals: Vec::<(String, u64)>::arbitrary(gen)
            .into_iter()
            .map(|(zone, count)| ZoneArrivals { zone, count })
            .collect(),
        waiting: any(gen),
        abandoned: any(gen),
        runners: some(gen, |gen| RunnerReport {
            id: any(gen),
            in_use: any(gen),
            succeeded: any(gen),
            total_duration_ms: any(gen),
            rejected: any(gen),
            is_up: any(gen),
            is_unreachable: any(gen),
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
        id: any(gen),
        address: any(gen),
        zone: any(gen),
        quota: any(gen),
        stage: *gen.choose(&stages).unwrap(),
        starts_in_ms: any(gen),
    }
}

fn function_update(gen: &mut Gen) -> FunctionUpdate {
    FunctionUpdate {
        function: any(gen),
        version: version(gen),
        runners: some(gen, runner_update),
        start_block: bool::arbitrary(gen).then(|| StartBlock {
            earliest_ready_ms: any(gen),
            retry_after_ms: any(gen),
            valid_ms: any(gen),
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
    digest.fill_with(|| any(gen));
    JobAttempt {
        key: any(gen),
        digest,
        at_most_once: any(gen),
        incarnation: any(gen),
        number: any(gen),
    }
}

fn verdict(gen: &mut Gen) -> JobVerdict {
    let verdicts = [
        JobVerdict::Answer(any(gen)),
        JobVerdict::TooLarge,
        JobVerdict::MayHaveRun,
        JobVerdict::OtherRequest,
        JobVerdict::NotRun(any(gen)),
    ];
    gen.choose(&verdicts).unwrap().clone()
}

fn result(gen: &mut Gen) -> JobResult {
    let results = [
        JobResult::Answer(any(gen)),
        JobResult::TooLarge,
        JobResult::Lost,
        JobResult::NotRun,
    ];
    gen.choose(&results).unwrap().clone()
}

fn response(gen: &mut Gen) -> RegisterResponse {
    let responses = [
        RegisterResponse::Written(any(gen)),
        RegisterResponse::Found(any(gen), any(gen)),
        RegisterResponse::Unavailable,
        RegisterResponse::Indeterminate,
    ];
    gen.choose(&responses).unwrap().clone()
}

/// A message of the kind at this place below [`KINDS`].
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
            members: some(gen, member),
        },
        29 => Message::AcceptsMembershipChanges,
        _ => Message::GatewayMembershipChange {
            base: version(gen),
            version: version(gen),
            joined: some(gen, member),
            left: any(gen),
        },
    }
}

fn configuration_message(kind: u8, gen: &mut Gen) -> Message {
    match kind {
        0 => Message::GatewayHello(member(gen)),
        1 => Message::GatewayHeartbeat {
            configuration_version: any(gen),
            evacuations_version: any(gen),
            membership_version: version(gen),
        },
        2 => Message::ControllerHeartbeat {
            configuration_version: any(gen),
            evacuations_version: any(gen),
            term: any(gen),
            controllers: any(gen),
            zone: any(gen),
            is_current: any(gen),
        },
        3 => Message::RequestConfiguration {
            configuration_version: any(gen),
            evacuations_version: any(gen),
        },
        4 => Message::Configuration {
            version: any(gen),
            document: any(gen),
        },
        5 => Message::EvacuatedZones {
            version: any(gen),
            zones: any(gen),
        },
        17 => Message::ConfigurationChanges {
            base_version: any(gen),
            changes: any(gen),
        },
        26 => Message::RequestHeartbeat,
        _ => unreachable!("no kind of this group"),
    }
}

fn status_message(kind: u8, gen: &mut Gen) -> Message {
    match kind {
        7 => Message::FunctionReports(some(gen, report)),
        8 => Message::FunctionUpdates(some(gen, function_update)),
        15 => Message::Ping(any(gen)),
        16 => Message::RequestStatus,
        _ => Message::Status(any(gen)),
    }
}

fn lease_request(gen: &mut Gen) -> LeaseRequest {
    LeaseRequest {
        request_id: RequestId(any(gen)),
        function: any(gen),
        priority: any(gen),
        timeout_ms: any(gen),
        excluded_runners: any(gen),
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
            allowed_regions: any(gen),
        },
        10 => Message::CancelRequest(RequestId(any(gen))),
        11 => Message::SeatLease(SeatLease {
            request_id: RequestId(any(gen)),
            runner: any(gen),
            address: any(gen),
            zone: any(gen),
        }),
        12 => Message::Reject {
            request_id: RequestId(any(gen)),
            retry_after_ms: any(gen),
        },
        13 => Message::LeaseRelease(LeaseRelease {
            request_id: RequestId(any(gen)),
            outcome: outcome(gen),
            duration_ms: any(gen),
        }),
        14 => Message::LeasesInUse {
            function: any(gen),
            runners: some(gen, runner_leases),
        },
        _ => unreachable!("no kind of this group"),
    }
}

fn job_message(kind: u8, gen: &mut Gen) -> Message {
    match kind {
        19 => Message::JobClaimed {
            request_id: RequestId(any(gen)),
            attempt: any(gen),
            register_version: any(gen),
        },
        20 => Message::JobJoined {
            request_id: RequestId(any(gen)),
            attempt: any(gen),
        },
        21 => Message::JobVerdict {
            request_id: RequestId(any(gen)),
            attempt: any(gen),
            verdict: verdict(gen),
        },
        22 => Message::JobCompletion(JobCompletion {
            request_id: RequestId(any(gen)),
            function: any(gen),
            attempt: attempt(gen),
            register_version: any(gen),
            result: result(gen),
        }),
        23 => Message::JobPersisted(RequestId(any(gen))),
        24 => Message::JobRegisterRequest {
            number: any(gen),
            key: any(gen),
            expected_version: any(gen),
            value: any(gen),
        },
        25 => Message::JobRegisterResponse {
            number: any(gen),
            response: response(gen),
        },
        _ => unreachable!("no kind of this group"),
    }
}

/// The place of a message's kind below [`KINDS`]; a new kind of message breaks the build of the tests here.
pub fn kind_of(message: &Message) -> u8 {
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
        other => ownership::kind_of(other),
    }
}
