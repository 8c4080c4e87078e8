use crate::claim::RunnerId;
use protocol::{JobAttempt, LeaseRequest};

/// Most of a copy's time that goes into claiming its job, in milliseconds; half of it where that is less.
const CLAIM_MAX_MS: u64 = 2_000;
/// Milliseconds of silence after which another controller is asked.
const ASK_MS: u64 = 100;
/// Milliseconds for which a write is owed.
const OWED_MS: u64 = 60_000;

/// One of the requests of a job, at its keeper.
#[derive(Clone, Debug)]
pub(crate) struct Copy {
    pub id: RunnerId,
    pub attempt: u32,
    pub district: String,
    pub bid: LeaseRequest,
    pub ends_at: u64,
    /// Until when it waits for the claim.
    pub claims_until: u64,
}

impl Copy {
    pub fn new(
        now: u64,
        gateway: &str,
        district: &str,
        bid: LeaseRequest,
        mark: &JobAttempt,
    ) -> Self {
        let budget = u64::from(bid.timeout_ms);
        Self {
            id: RunnerId {
                gateway: gateway.into(),
                incarnation: mark.incarnation,
                ticket: bid.request_id,
            },
            attempt: mark.number,
            district: district.into(),
            ends_at: now + budget,
            claims_until: now + (budget / 2).min(CLAIM_MAX_MS),
            bid,
        }
    }

    /// Its bid, with the time that is left.
    pub fn bid_now(&self, now: u64) -> LeaseRequest {
        LeaseRequest {
            timeout_ms: self.ends_at.saturating_sub(now) as u32,
            ..self.bid.clone()
        }
    }
}

/// Where a job is.
#[derive(Clone, Debug, Default)]
pub(crate) enum State {
    /// Nobody runs it, and nobody ran it.
    #[default]
    Idle,
    /// The claim for the runner is being written; the runner was not told that it may leave.
    Claiming {
        runner: Copy,
        claim: u64,
        asked_at: u64,
        tries: u32,
        /// The runner got no seat; it is told what is so once the claim is known.
        refused: Option<u32>,
    },
    /// The runner may leave, or has left.
    Running { runner: Copy, looked_at: u64 },
    /// A request that this keeper has no word of may be running it.
    Elsewhere {
        runner: RunnerId,
        since: u64,
        looked_at: u64,
        /// The bid that this keeper itself let run, where it did.
        attempt: Option<u32>,
    },
    /// It ran; its packed answer, none where it was too large.
    Answered {
        packed: Option<Vec<u8>>,
        debt: Option<(RunnerId, Debt)>,
    },
    /// It may have run, and no answer will come.
    Lost,
}

/// A write that is owed to the controllers and asked for again and again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Debt {
    pub asked_at: u64,
    pub tries: u32,
    pub until: u64,
}

impl Debt {
    pub fn new(now: u64) -> Self {
        Self {
            asked_at: now,
            tries: 0,
            until: now + OWED_MS,
        }
    }

    /// Whether it is to be asked for again; counts the ask.
    pub fn is_due(&mut self, now: u64) -> bool {
        let is_due = now >= self.asked_at + pause(self.tries);
        if is_due {
            self.asked_at = now;
            self.tries += 1;
        }
        is_due
    }
}

/// Milliseconds of silence after which a controller is asked again, after so many tries.
pub(crate) fn pause(tries: u32) -> u64 {
    ASK_MS << tries.min(3)
}

/// One job.
#[derive(Clone, Debug, Default)]
pub(crate) struct Job {
    pub digest: [u8; 16],
    pub is_once: bool,
    /// Newest version of its register that is known.
    pub version: u64,
    pub state: State,
    /// Requests that wait, the first to come first.
    pub copies: Vec<Copy>,
    /// Numbers of this keeper's claims under which nobody runs. Meant while none is in force.
    pub issued: Vec<u64>,
    /// A claim may stand under which nobody runs; it is taken back.
    pub unfreed: Option<Debt>,
    pub touched: u64,
}

impl Job {
    pub fn is_busy(&self) -> bool {
        let has_debt = matches!(&self.state, State::Answered { debt: Some(_), .. });
        let is_claiming = matches!(self.state, State::Claiming { .. });
        has_debt || is_claiming || self.unfreed.is_some() || !self.copies.is_empty()
    }

    pub fn is_over(&self) -> bool {
        let is_final = matches!(
            self.state,
            State::Idle | State::Answered { debt: None, .. } | State::Lost
        );
        is_final && self.unfreed.is_none() && self.copies.is_empty()
    }

    /// The request that this keeper lets run, or will.
    pub fn runner(&self) -> Option<&Copy> {
        match &self.state {
            State::Claiming { runner, .. } | State::Running { runner, .. } => Some(runner),
            _ => None,
        }
    }

    pub fn packed_len(&self) -> usize {
        match &self.state {
            State::Answered { packed, .. } => packed.as_ref().map_or(0, Vec::len),
            _ => 0,
        }
    }
}
