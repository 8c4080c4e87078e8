//! Messages of every kind, drawn at random.

use protocol::{
    Bid, FunctionNews, FunctionReport, Grant, JobEnd, JobMark, JobResult, JobVerdict, Member,
    Message, Outcome, RegisterSaid, Release, RunnerNews, RunnerReport, RunnerStage, StartBlock,
};
use quickcheck::{Arbitrary, Gen};

pub const KINDS: u8 = 27;

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

fn member(gen: &mut Gen) -> Member {
    Member {
        name: any(gen),
        incarnation: any(gen),
        address: any(gen),
        district: any(gen),
    }
}

fn report(gen: &mut Gen) -> FunctionReport {
    FunctionReport {
        function: any(gen),
        news: any(gen),
        arrived: any(gen),
        waiting: any(gen),
        given_up: any(gen),
        runners: some(gen, |gen| RunnerReport {
            id: any(gen),
            in_use: any(gen),
            answered: any(gen),
            took_ms: any(gen),
            turned_away: any(gen),
            is_up: any(gen),
            is_gone: any(gen),
        }),
    }
}

fn news(gen: &mut Gen) -> FunctionNews {
    let stages = [
        RunnerStage::Starting,
        RunnerStage::Serving,
        RunnerStage::Draining,
    ];
    FunctionNews {
        function: any(gen),
        mark: any(gen),
        runners: some(gen, |gen| RunnerNews {
            id: any(gen),
            address: any(gen),
            district: any(gen),
            quota: any(gen),
            stage: *gen.choose(&stages).unwrap(),
            starts_in_ms: any(gen),
        }),
        start_block: bool::arbitrary(gen).then(|| StartBlock {
            earliest_ready_ms: any(gen),
            retry_after_ms: any(gen),
            valid_ms: any(gen),
        }),
    }
}

fn outcome(gen: &mut Gen) -> Outcome {
    let outcomes = [
        Outcome::Answered,
        Outcome::Unused,
        Outcome::TurnedAway,
        Outcome::Gone,
        Outcome::Unreached,
        Outcome::Lost,
    ];
    *gen.choose(&outcomes).unwrap()
}

fn mark(gen: &mut Gen) -> JobMark {
    let mut digest = [0; 16];
    digest.fill_with(|| any(gen));
    JobMark {
        key: any(gen),
        digest,
        is_once: any(gen),
        incarnation: any(gen),
        attempt: any(gen),
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

fn said(gen: &mut Gen) -> RegisterSaid {
    let saids = [
        RegisterSaid::Written(any(gen)),
        RegisterSaid::Found(any(gen), any(gen)),
        RegisterSaid::Unreached,
        RegisterSaid::Unsure,
    ];
    gen.choose(&saids).unwrap().clone()
}

pub fn message(kind: u8, gen: &mut Gen) -> Message {
    match kind {
        0 => Message::Gateway(member(gen)),
        1 => Message::GatewayHeartbeat {
            description: any(gen),
            closures: any(gen),
            roster: any(gen),
        },
        2 => Message::ControllerHeartbeat {
            description: any(gen),
            closures: any(gen),
            term: any(gen),
            controllers: any(gen),
            district: any(gen),
            is_current: any(gen),
        },
        3 => Message::Ask {
            description: any(gen),
            closures: any(gen),
        },
        4 => Message::Description {
            mark: any(gen),
            document: any(gen),
        },
        5 => Message::Closures {
            mark: any(gen),
            districts: any(gen),
        },
        6 => Message::Roster {
            mark: any(gen),
            members: some(gen, member),
        },
        7 => Message::Report(some(gen, report)),
        8 => Message::Runners(some(gen, news)),
        9 => Message::Bid(Bid {
            ticket: any(gen),
            function: any(gen),
            rank: any(gen),
            budget_ms: any(gen),
            avoid: any(gen),
            job: bool::arbitrary(gen).then(|| mark(gen)),
        }),
        10 => Message::Withdraw(any(gen)),
        11 => Message::Grant(Grant {
            ticket: any(gen),
            runner: any(gen),
            address: any(gen),
            district: any(gen),
        }),
        12 => Message::Refuse {
            ticket: any(gen),
            retry_after_ms: any(gen),
        },
        13 => Message::Release(Release {
            ticket: any(gen),
            outcome: outcome(gen),
            took_ms: any(gen),
        }),
        14 => Message::Known {
            function: any(gen),
            runners: some(gen, |gen| (any(gen), any(gen), any(gen), any(gen))),
        },
        15 => Message::Ping(any(gen)),
        16 => Message::Status,
        17 => Message::Changes {
            from: any(gen),
            changes: any(gen),
        },
        19 => Message::Claimed {
            ticket: any(gen),
            attempt: any(gen),
            version: any(gen),
        },
        20 => Message::Joined {
            ticket: any(gen),
            attempt: any(gen),
        },
        21 => Message::JobTold {
            ticket: any(gen),
            attempt: any(gen),
            verdict: verdict(gen),
        },
        22 => Message::JobEnd(JobEnd {
            ticket: any(gen),
            function: any(gen),
            mark: mark(gen),
            version: any(gen),
            result: result(gen),
        }),
        23 => Message::JobKept(any(gen)),
        24 => Message::JobAsk {
            number: any(gen),
            key: any(gen),
            expected: any(gen),
            bytes: any(gen),
        },
        25 => Message::JobSaid {
            number: any(gen),
            said: said(gen),
        },
        26 => Message::AskHeartbeat,
        _ => Message::StatusText(any(gen)),
    }
}

/// The place of a message's kind below [`KINDS`]; a new kind of message breaks the build of the tests here.
pub fn kind_of(message: &Message) -> u8 {
    match message {
        Message::Gateway(_) => 0,
        Message::GatewayHeartbeat { .. } => 1,
        Message::ControllerHeartbeat { .. } => 2,
        Message::Ask { .. } => 3,
        Message::Description { .. } => 4,
        Message::Closures { .. } => 5,
        Message::Roster { .. } => 6,
        Message::Report(_) => 7,
        Message::Runners(_) => 8,
        Message::Bid(_) => 9,
        Message::Withdraw(_) => 10,
        Message::Grant(_) => 11,
        Message::Refuse { .. } => 12,
        Message::Release(_) => 13,
        Message::Known { .. } => 14,
        Message::Ping(_) | Message::Pong(_) => 15,
        Message::Status => 16,
        Message::Changes { .. } => 17,
        Message::StatusText(_) => 18,
        Message::Claimed { .. } => 19,
        Message::Joined { .. } => 20,
        Message::JobTold { .. } => 21,
        Message::JobEnd(_) => 22,
        Message::JobKept(_) => 23,
        Message::JobAsk { .. } => 24,
        Message::JobSaid { .. } => 25,
        Message::AskHeartbeat => 26,
    }
}
