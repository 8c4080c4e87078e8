//! Messages between gateways and controllers.

use crate::sample::{sample, Sample};
use protocol::{
    FunctionReport, FunctionUpdate, JobAttempt, JobCompletion, JobResult, JobVerdict, LeaseOutcome,
    LeaseRelease, LeaseRequest, Member, Message, RegisterResponse, RequestId, RunnerLeases,
    RunnerReport, RunnerStage, RunnerUpdate, SeatLease, StartBlock, UpdateVersion, ZoneArrivals,
};

/// Messages between gateways, controllers and operator tools.
pub fn messages() -> Vec<Sample<Message>> {
    let mut all = liveness();
    all.extend(configuration());
    all.extend(scaling());
    all.extend(seats());
    all.extend(releases());
    all.extend(job_attempts());
    all.extend(job_completions());
    all.extend(job_verdicts());
    all.extend(job_registers());
    all
}

fn gateway() -> Member {
    Member {
        name: "gw-1".into(),
        incarnation: 0x0102_0304_0506_0708,
        address: "10.0.1.1:7100".into(),
        zone: "north".into(),
    }
}

fn other_gateway() -> Member {
    Member {
        name: "gw-2".into(),
        incarnation: u64::MAX,
        address: "[fd00::2]:7100".into(),
        zone: "".into(),
    }
}

fn liveness() -> Vec<Sample<Message>> {
    let gateway_heartbeat = Message::GatewayHeartbeat {
        configuration_version: 12,
        evacuations_version: 3,
        membership_version: UpdateVersion {
            term: (2 << 40) | 12,
            number: 7,
        },
    };
    let controller_heartbeat = Message::ControllerHeartbeat {
        configuration_version: 13,
        evacuations_version: 4,
        term: (2 << 40) | 12,
        controllers: vec!["10.0.0.1:7000".into(), "10.0.0.2:7000".into()],
        zone: "south".into(),
        is_current: true,
    };
    vec![
        sample("gateway", Message::GatewayHello(gateway())),
        sample("gateway_heartbeat", gateway_heartbeat),
        sample("controller_heartbeat", controller_heartbeat),
        sample("request_heartbeat", Message::RequestHeartbeat),
        sample("ping", Message::Ping(0x0102_0304_0506_0708)),
        sample("pong", Message::Pong(u64::MAX)),
        sample("status", Message::RequestStatus),
        sample("status_text", Message::Status("{\"up\":1}".into())),
    ]
}

fn configuration() -> Vec<Sample<Message>> {
    let request = Message::RequestConfiguration {
        configuration_version: 12,
        evacuations_version: 3,
    };
    let full = Message::Configuration {
        version: 13,
        document: protocol::deflate(br#"{"version":13}"#),
    };
    let changes = Message::ConfigurationChanges {
        base_version: 12,
        changes: vec![vec![1, 2, 3], Vec::new(), vec![0xff]],
    };
    let evacuations = Message::EvacuatedZones {
        version: 4,
        zones: vec!["north".into(), "east".into()],
    };
    let membership = Message::GatewayMembership {
        version: UpdateVersion {
            term: (2 << 40) | 12,
            number: 8,
        },
        members: vec![gateway(), other_gateway()],
    };
    vec![
        sample("request_configuration", request),
        sample("configuration", full),
        sample("configuration_changes", changes),
        sample("evacuations", evacuations),
        sample("gateway_membership", membership),
    ]
}

fn scaling() -> Vec<Sample<Message>> {
    let blocked = FunctionUpdate {
        function: "resize".into(),
        version: UpdateVersion {
            term: (2 << 40) | 12,
            number: 19,
        },
        runners: Vec::new(),
        start_block: Some(StartBlock {
            earliest_ready_ms: Some(4_000),
            retry_after_ms: 2_500,
            valid_ms: 3_000,
        }),
    };
    let blocked_for_long = FunctionUpdate {
        start_block: Some(StartBlock {
            earliest_ready_ms: None,
            ..StartBlock::default()
        }),
        ..blocked.clone()
    };
    let updates = vec![function_update(), blocked, blocked_for_long];
    vec![
        sample("report", Message::FunctionReports(vec![function_report()])),
        sample("report_blank", Message::FunctionReports(Vec::new())),
        sample("runners", Message::FunctionUpdates(updates)),
    ]
}

fn function_report() -> FunctionReport {
    let runner = RunnerReport {
        id: "r-17".into(),
        in_use: 3,
        succeeded: 1_000_000_007,
        total_duration_ms: 0x0000_0009_0000_0001,
        rejected: 5,
        is_up: true,
        is_unreachable: false,
    };
    let unreachable = RunnerReport {
        is_unreachable: true,
        ..RunnerReport::default()
    };
    FunctionReport {
        function: "resize".into(),
        update_number: 19,
        arrivals: vec![
            ZoneArrivals {
                zone: "north".into(),
                count: 400,
            },
            ZoneArrivals {
                zone: "".into(),
                count: 1,
            },
        ],
        waiting: 6,
        abandoned: 2,
        runners: vec![runner, unreachable],
    }
}

fn function_update() -> FunctionUpdate {
    let runner = |id: &str, stage, starts_in_ms| RunnerUpdate {
        id: id.into(),
        address: "10.0.2.1:9000".into(),
        zone: "north".into(),
        quota: 8,
        stage,
        starts_in_ms,
    };
    FunctionUpdate {
        function: "thumbnail".into(),
        version: UpdateVersion {
            term: (2 << 40) | 12,
            number: 18,
        },
        runners: vec![
            runner("r-17", RunnerStage::Starting, 1_200),
            runner("r-18", RunnerStage::Serving, 0),
            runner("r-19", RunnerStage::Draining, 0),
        ],
        start_block: None,
    }
}

fn seats() -> Vec<Sample<Message>> {
    let request = LeaseRequest {
        request_id: RequestId(0x0000_0001_0000_002a),
        function: "resize".into(),
        priority: 2,
        timeout_ms: 750,
        excluded_runners: vec!["r-17".into(), "r-18".into()],
        job: Some(job_attempt()),
        allowed_regions: Vec::new(),
        tenant: None,
    };
    let plain_request = LeaseRequest {
        job: None,
        excluded_runners: Vec::new(),
        ..request.clone()
    };
    let lease = SeatLease {
        request_id: RequestId(42),
        runner: "r-19".into(),
        address: "10.0.2.1:9000".into(),
        zone: "north".into(),
    };
    let rejection = Message::Reject {
        request_id: RequestId(42),
        retry_after_ms: 900,
    };
    vec![
        sample("lease_request", Message::LeaseRequest(request)),
        sample("lease_request_plain", Message::LeaseRequest(plain_request)),
        sample("cancel_request", Message::CancelRequest(RequestId(42))),
        sample("seat_lease", Message::SeatLease(lease)),
        sample("reject", rejection),
        sample("known", leases_in_use()),
    ]
}

fn leases_in_use() -> Message {
    let runner = RunnerLeases {
        runner: "r-19".to_string(),
        address: "10.0.2.1:9000".to_string(),
        zone: "north".to_string(),
        requests: vec![RequestId(42), RequestId(43), RequestId(u64::MAX)],
    };
    let idle = RunnerLeases {
        runner: "r-20".to_string(),
        ..RunnerLeases::default()
    };
    Message::LeasesInUse {
        function: "resize".into(),
        runners: vec![runner, idle],
    }
}

fn releases() -> Vec<Sample<Message>> {
    let release = |outcome| {
        Message::LeaseRelease(LeaseRelease {
            request_id: RequestId(42),
            outcome,
            duration_ms: 31,
        })
    };
    vec![
        sample("release_answered", release(LeaseOutcome::Succeeded)),
        sample("release_unused", release(LeaseOutcome::Unused)),
        sample("release_rejected", release(LeaseOutcome::Rejected)),
        sample("release_gone", release(LeaseOutcome::Gone)),
        sample("release_unreached", release(LeaseOutcome::Unreachable)),
        sample("release_lost", release(LeaseOutcome::Lost)),
    ]
}

fn job_attempt() -> JobAttempt {
    JobAttempt {
        key: "invoice-2041".into(),
        digest: *b"0123456789abcdef",
        at_most_once: true,
        incarnation: 0x0102_0304_0506_0708,
        number: 3,
    }
}

fn job_attempts() -> Vec<Sample<Message>> {
    let claimed = Message::JobClaimed {
        request_id: RequestId(42),
        attempt: 3,
        register_version: 2,
    };
    let joined = Message::JobJoined {
        request_id: RequestId(43),
        attempt: 1,
    };
    vec![
        sample("claimed", claimed),
        sample("joined", joined),
        sample("job_persisted", Message::JobPersisted(RequestId(42))),
    ]
}

fn job_completions() -> Vec<Sample<Message>> {
    let completion = |result| {
        Message::JobCompletion(JobCompletion {
            request_id: RequestId(42),
            function: "resize".into(),
            attempt: job_attempt(),
            register_version: 2,
            result,
        })
    };
    let answer = JobResult::Answer(b"packed answer".to_vec());
    vec![
        sample("job_end_answer", completion(answer)),
        sample("job_end_too_large", completion(JobResult::TooLarge)),
        sample("job_end_lost", completion(JobResult::Lost)),
        sample("job_end_not_run", completion(JobResult::NotRun)),
    ]
}

fn job_verdicts() -> Vec<Sample<Message>> {
    let verdict = |verdict| Message::JobVerdict {
        request_id: RequestId(43),
        attempt: 1,
        verdict,
    };
    let answer = JobVerdict::Answer(b"packed answer".to_vec());
    vec![
        sample("job_verdict_answer", verdict(answer)),
        sample("job_verdict_too_large", verdict(JobVerdict::TooLarge)),
        sample("job_verdict_may_have_run", verdict(JobVerdict::MayHaveRun)),
        sample(
            "job_verdict_other_request",
            verdict(JobVerdict::OtherRequest),
        ),
        sample("job_verdict_not_run", verdict(JobVerdict::NotRun(700))),
    ]
}

fn job_registers() -> Vec<Sample<Message>> {
    let key = "job/000102030405060708090a0b0c0d0e0f".to_string();
    let read = Message::JobRegisterRequest {
        number: 5,
        key: key.clone(),
        expected_version: None,
        value: Vec::new(),
    };
    let write = Message::JobRegisterRequest {
        number: 6,
        key,
        expected_version: Some(2),
        value: b"claim".to_vec(),
    };
    let response = |register_response| Message::JobRegisterResponse {
        number: 6,
        response: register_response,
    };
    let found = RegisterResponse::Found(2, b"claim".to_vec());
    vec![
        sample("job_register_read", read),
        sample("job_register_write", write),
        sample(
            "job_register_written",
            response(RegisterResponse::Written(3)),
        ),
        sample("job_register_found", response(found)),
        sample(
            "job_register_unreached",
            response(RegisterResponse::Unavailable),
        ),
        sample(
            "job_register_unsure",
            response(RegisterResponse::Indeterminate),
        ),
    ]
}
