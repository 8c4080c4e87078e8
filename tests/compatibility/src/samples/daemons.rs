//! Messages between daemons of older versions (cores and fronts).

use crate::sample::{sample, Sample};
use crate::samples::register::{register_state, requests, responses, voter_set};
use crate::samples::stored::{peer, plan, version};
use peer_sampling::PeerDescriptor;
use register::ClaimFloors;
use request_queue::{
    FrontMessage, FrontReport, FunctionReport, PriorityCount, Return, RunnerReport, SeatAssignment,
};
use transport::{
    ConfigurationUpdate, Envelope, PeerMessage, PeerRole, PlanUpdate, ReplicaDigest, StateUpdate,
};

/// Messages between the older daemons, in envelopes.
pub fn envelopes() -> Vec<Sample<Envelope>> {
    let mut bodies = between_fronts();
    bodies.extend(returned_seats());
    bodies.extend(to_voters());
    bodies.extend(updates());
    bodies.extend(membership());
    bodies.extend(repair());
    let in_envelope = |body: Sample<PeerMessage>| sample(body.name, envelope(body.value));
    bodies.into_iter().map(in_envelope).collect()
}

fn envelope(body: PeerMessage) -> Envelope {
    let is_answer = matches!(
        body,
        PeerMessage::StateUpdate(_) | PeerMessage::VoterResponse(_)
    );
    Envelope {
        from: peer(),
        address: "10.0.0.1:7200".into(),
        role: if is_answer {
            PeerRole::Core
        } else {
            PeerRole::Front
        },
        number: 81,
        is_answer,
        body,
    }
}

fn between_fronts() -> Vec<Sample<PeerMessage>> {
    let heartbeat = FrontMessage::Heartbeat {
        stamp: 100,
        plan: version(),
        configuration: version(),
        last_assignment: 7,
    };
    let heartbeat_response = FrontMessage::HeartbeatResponse {
        stamp: 100,
        plan: version(),
        configuration: version(),
    };
    let priority = PriorityCount {
        priority: 1,
        count: 12,
        oldest_ms: 340,
    };
    let seat_request = FrontMessage::SeatRequest {
        stamp: 101,
        incarnation: 9,
        seen_assignment: 7,
        function: "resize".into(),
        priorities: vec![priority],
    };
    let lease = FrontMessage::SeatAssignment(SeatAssignment {
        stamp: 101,
        function: "resize".into(),
        runner: "r-1".into(),
        epoch: 2,
        seat_no: 8,
    });
    vec![
        sample("desk_heartbeat", PeerMessage::Front(heartbeat)),
        sample(
            "desk_heartbeat_answer",
            PeerMessage::Front(heartbeat_response),
        ),
        sample("desk_seat_request", PeerMessage::Front(seat_request)),
        sample("desk_seat_lease", PeerMessage::Front(lease)),
    ]
}

fn returned_seats() -> Vec<Sample<PeerMessage>> {
    let returned = FrontMessage::Return(Return {
        runner: "r-1".into(),
        seat_no: 8,
        took_ms: Some(35),
        is_bad: true,
        is_absent: false,
    });
    let seats_held = FrontMessage::Holds {
        stamp: 102,
        incarnation: 9,
        seen_assignment: 8,
        seats: vec![3, 8],
    };
    let handover = FrontMessage::Handover {
        runner: "r-1".into(),
        epoch: 2,
        leased: 3,
        over_in_ms: 900,
    };
    vec![
        sample("desk_return", PeerMessage::Front(returned)),
        sample("desk_holds", PeerMessage::Front(seats_held)),
        sample("desk_handover", PeerMessage::Front(handover)),
    ]
}

fn to_voters() -> Vec<Sample<PeerMessage>> {
    let [query, prepare, accept] = requests().try_into().expect("there are three requests");
    let [last_accepted, .., unavailable] = responses()
        .try_into()
        .map(|responses: [_; 6]| responses)
        .expect("there are six responses");
    vec![
        sample("voter_peek", PeerMessage::Voter(query.value)),
        sample("voter_promise", PeerMessage::Voter(prepare.value)),
        sample("voter_accept", PeerMessage::Voter(accept.value)),
        sample(
            "voter_answer_holds",
            PeerMessage::VoterResponse(last_accepted.value),
        ),
        sample(
            "voter_answer_closed",
            PeerMessage::VoterResponse(unavailable.value),
        ),
    ]
}

fn updates() -> Vec<Sample<PeerMessage>> {
    let await_update = PeerMessage::AwaitUpdate {
        configuration: version(),
        plan: version(),
        wants_certain: true,
    };
    let all = StateUpdate {
        configuration: Some(ConfigurationUpdate {
            version: version(),
            text: "{}".into(),
        }),
        plan: Some(PlanUpdate {
            version: version(),
            plan: plan(),
        }),
        set: voter_set(),
        fronts: vec![(peer(), "10.0.0.9:7200".into())],
        cores: vec![(peer(), "10.0.0.8:7200".into())],
        is_certain: true,
    };
    vec![
        sample("ask", await_update),
        sample("news", PeerMessage::StateUpdate(all)),
        sample(
            "news_blank",
            PeerMessage::StateUpdate(StateUpdate::default()),
        ),
        sample("report", PeerMessage::Report(front_report())),
    ]
}

fn front_report() -> FrontReport {
    let function = FunctionReport {
        function: "resize".into(),
        arrived: 100,
        answered: 90,
        refused: 4,
        waiting: 6,
    };
    let runner = RunnerReport {
        runner: "r-1".into(),
        epoch: 2,
        is_active: true,
        is_warm: true,
        leased: 3,
        answered: 90,
        took_ms: 3_600,
        is_unfit: false,
        is_slow: true,
        absent_ms: 12,
    };
    FrontReport {
        zone: "north".into(),
        http: "10.0.0.9:8080".into(),
        wall_ms: 1_700_000_000_000,
        is_witness: false,
        is_draining: true,
        has_quorum: true,
        plan: version(),
        configuration: version(),
        functions: vec![function],
        runners: vec![runner],
    }
}

fn membership() -> Vec<Sample<PeerMessage>> {
    let hello_response = PeerMessage::HelloResponse {
        disk: 0x0102_0304_0506_0708,
        set: voter_set(),
        fronts_epoch: 2,
    };
    let descriptor = PeerDescriptor {
        peer: peer(),
        address: "10.0.0.9:7200".into(),
        age: 4,
    };
    let form = PeerMessage::Form(voter_set(), 1_700_000_000_000);
    vec![
        sample("hello", PeerMessage::Hello),
        sample("hello_answer", hello_response),
        sample("shuffle", PeerMessage::Shuffle(vec![descriptor])),
        sample("form", form),
        sample("adopt", PeerMessage::Adopt(voter_set())),
        sample("adopted", PeerMessage::Adopted(voter_set())),
    ]
}

fn repair() -> Vec<Sample<PeerMessage>> {
    let digests = PeerMessage::DigestsResponse(ReplicaDigest {
        is_open: true,
        set: voter_set(),
        claim_floors: ClaimFloors {
            expired_before: 1_700_000_000_000,
            refused_before: 1_700_000_000_001,
        },
        ranges: vec![0, 7, u64::MAX],
    });
    let held = vec![("plan".to_string(), register_state())];
    vec![
        sample("digests", PeerMessage::Digests),
        sample("digests_answer", digests),
        sample("range", PeerMessage::Range(513)),
        sample("range_answer", PeerMessage::RangeResponse(held.clone())),
        sample("remembered", PeerMessage::RememberedClaims(held)),
    ]
}
