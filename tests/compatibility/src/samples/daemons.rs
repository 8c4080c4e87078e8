//! Messages between the older daemons.

use crate::sample::{sample, Sample};
use crate::samples::register::{answers, questions, register_state, voter_set};
use crate::samples::stored::{peer, plan, version};
use peer_sampling::Neighbour;
use register::ClaimFloors;
use request_queue::{
    Award, DeskMessage, FrontReport, FunctionReport, RankCount, Return, RunnerReport,
};
use transport::{BlueprintNews, Copy, Envelope, Message, News, PlanNews, Role};

/// Every message between the older daemons, in envelopes.
pub fn envelopes() -> Vec<Sample<Envelope>> {
    let mut bodies = between_fronts();
    bodies.extend(returned_seats());
    bodies.extend(to_voters());
    bodies.extend(updates());
    bodies.extend(membership());
    bodies.extend(repair());
    let enclose = |body: Sample<Message>| sample(body.name, envelope(body.value));
    bodies.into_iter().map(enclose).collect()
}

fn envelope(body: Message) -> Envelope {
    let is_answer = matches!(body, Message::News(_) | Message::VoterAnswer(_));
    Envelope {
        from: peer(),
        address: "10.0.0.1:7200".into(),
        role: if is_answer { Role::Core } else { Role::Front },
        number: 81,
        is_answer,
        body,
    }
}

fn between_fronts() -> Vec<Sample<Message>> {
    let heartbeat = DeskMessage::Beat {
        stamp: 100,
        plan: version(),
        blueprint: version(),
        last_award: 7,
    };
    let heartbeat_answer = DeskMessage::BeatAnswer {
        stamp: 100,
        plan: version(),
        blueprint: version(),
    };
    let rank = RankCount {
        rank: 1,
        count: 12,
        oldest_ms: 340,
    };
    let seat_request = DeskMessage::Bid {
        stamp: 101,
        life: 9,
        seen_award: 7,
        function: "resize".into(),
        ranks: vec![rank],
    };
    let lease = DeskMessage::Award(Award {
        stamp: 101,
        function: "resize".into(),
        runner: "r-1".into(),
        epoch: 2,
        seat_no: 8,
    });
    vec![
        sample("desk_heartbeat", Message::Desk(heartbeat)),
        sample("desk_heartbeat_answer", Message::Desk(heartbeat_answer)),
        sample("desk_seat_request", Message::Desk(seat_request)),
        sample("desk_seat_lease", Message::Desk(lease)),
    ]
}

fn returned_seats() -> Vec<Sample<Message>> {
    let returned = DeskMessage::Return(Return {
        runner: "r-1".into(),
        seat_no: 8,
        took_ms: Some(35),
        is_bad: true,
        is_absent: false,
    });
    let holds = DeskMessage::Holds {
        stamp: 102,
        life: 9,
        seen_award: 8,
        seats: vec![3, 8],
    };
    let handover = DeskMessage::Handover {
        runner: "r-1".into(),
        epoch: 2,
        lent: 3,
        over_in_ms: 900,
    };
    vec![
        sample("desk_return", Message::Desk(returned)),
        sample("desk_holds", Message::Desk(holds)),
        sample("desk_handover", Message::Desk(handover)),
    ]
}

fn to_voters() -> Vec<Sample<Message>> {
    let [peek, promise, accept] = questions().try_into().expect("there are three questions");
    let [holds, .., closed] = answers()
        .try_into()
        .map(|answers: [_; 6]| answers)
        .expect("there are six answers");
    vec![
        sample("voter_peek", Message::Voter(peek.value)),
        sample("voter_promise", Message::Voter(promise.value)),
        sample("voter_accept", Message::Voter(accept.value)),
        sample("voter_answer_holds", Message::VoterAnswer(holds.value)),
        sample("voter_answer_closed", Message::VoterAnswer(closed.value)),
    ]
}

fn updates() -> Vec<Sample<Message>> {
    let ask = Message::Ask {
        blueprint: version(),
        plan: version(),
        wants_certain: true,
    };
    let all = News {
        blueprint: Some(BlueprintNews {
            version: version(),
            text: "{}".into(),
        }),
        plan: Some(PlanNews {
            version: version(),
            plan: plan(),
        }),
        set: voter_set(),
        fronts: vec![(peer(), "10.0.0.9:7200".into())],
        cores: vec![(peer(), "10.0.0.8:7200".into())],
        is_certain: true,
    };
    vec![
        sample("ask", ask),
        sample("news", Message::News(all)),
        sample("news_blank", Message::News(News::default())),
        sample("report", Message::Report(front_report())),
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
        lent: 3,
        answered: 90,
        took_ms: 3_600,
        is_unfit: false,
        is_slow: true,
        absent_ms: 12,
    };
    FrontReport {
        district: "north".into(),
        http: "10.0.0.9:8080".into(),
        wall_ms: 1_700_000_000_000,
        is_witness: false,
        is_draining: true,
        has_standing: true,
        plan: version(),
        blueprint: version(),
        functions: vec![function],
        runners: vec![runner],
    }
}

fn membership() -> Vec<Sample<Message>> {
    let hello_answer = Message::HelloAnswer {
        disk: 0x0102_0304_0506_0708,
        set: voter_set(),
        fronts_era: 2,
    };
    let neighbour = Neighbour {
        peer: peer(),
        address: "10.0.0.9:7200".into(),
        age: 4,
    };
    let form = Message::Form(voter_set(), 1_700_000_000_000);
    vec![
        sample("hello", Message::Hello),
        sample("hello_answer", hello_answer),
        sample("shuffle", Message::Shuffle(vec![neighbour])),
        sample("form", form),
        sample("adopt", Message::Adopt(voter_set())),
        sample("adopted", Message::Adopted(voter_set())),
    ]
}

fn repair() -> Vec<Sample<Message>> {
    let digests = Message::DigestsAnswer(Copy {
        is_open: true,
        set: voter_set(),
        claim_floors: ClaimFloors {
            forgotten_before: 1_700_000_000_000,
            refused_before: 1_700_000_000_001,
        },
        ranges: vec![0, 7, u64::MAX],
    });
    let held = vec![("plan".to_string(), register_state())];
    vec![
        sample("digests", Message::Digests),
        sample("digests_answer", digests),
        sample("range", Message::Range(513)),
        sample("range_answer", Message::RangeAnswer(held.clone())),
        sample("remembered", Message::Remembered(held)),
    ]
}
