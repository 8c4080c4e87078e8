//! One change of a register under way, with what it is for, from its first request to its outcome.

use crate::value::{Value, ValueId};
use register::{
    Ballot, Change, ChangeOutcome, Proposal, ProposalStep, VoterOperation, VoterRef, VoterRequest,
    VoterResponse, VoterSet,
};

/// Time in which a change ends, in milliseconds.
const CHANGE_TIMEOUT_MS: u64 = 1_500;
/// Time after which a voter that did not respond is asked again, in milliseconds.
const RESEND_AFTER_MS: u64 = 250;
/// Pause after too few voters could respond, in milliseconds.
pub(crate) const RETRY_PAUSE_MS: u64 = 100;

/// What a change of a register is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ChangePurpose {
    /// The daemon asked for it, with this token.
    Client(u64),
    /// A required register is read.
    RequiredRead(&'static str),
    /// Another voter set is proposed.
    VoterSet,
    /// The scaler role is campaigned for.
    ScalerRole,
}

/// A change that is asked for.
#[derive(Clone, Debug)]
pub(crate) struct ChangeRequest {
    /// What it is for.
    pub purpose: ChangePurpose,
    /// Key of the register.
    pub key: String,
    /// What is to be done to the register.
    pub change: Change,
    /// Random tag of the value, where the change is a write.
    pub tag: u64,
}

impl ChangeRequest {
    /// Starts a proposal of it to so many voters, under a ballot.
    fn start(&self, ballot: Ballot, voters: usize) -> (Proposal, VoterOperation) {
        Proposal::start(&self.key, self.change.clone(), self.tag, ballot, voters)
    }
}

/// A pause of a change, after which it begins another round.
#[derive(Clone, Copy, Debug)]
struct Pause {
    until: u64,
    /// The ballot that the next round must exceed.
    above: Ballot,
}

/// What is sent to voters in one round of a change.
#[derive(Clone, Debug)]
pub(crate) struct RoundRequest {
    /// Number that the responses bear.
    pub number: u64,
    /// The value that this controller has, which need not travel.
    pub known: ValueId,
    /// The request itself.
    pub request: VoterRequest,
    /// Voters that have not responded yet.
    pub voters: Vec<VoterRef>,
}

/// What is to be done about a change now.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ChangeStep {
    /// Responses are waited for, or a pause.
    Wait,
    /// Its time is over.
    TimedOut(ChangeOutcome),
    /// Its pause is over: another round is to begin above a ballot.
    Retry(Ballot),
    /// Voters that have not responded are to be asked again.
    Resend,
}

/// What a voter's response means for a change.
#[derive(Clone, Debug)]
pub(crate) enum ResponseStep {
    /// It says nothing new.
    Ignored,
    /// The voter is in another set.
    OtherSet(VoterSet),
    /// The proposal goes on.
    Proposal(ProposalStep),
}

/// A change of a register under way.
#[derive(Clone, Debug)]
pub(crate) struct PendingChange {
    change: ChangeRequest,
    proposal: Proposal,
    operation: VoterOperation,
    /// Number of the current round.
    number: u64,
    set: VoterSet,
    /// For each voter of the set, whether it has responded in this round.
    has_responded: Vec<bool>,
    started_at: u64,
    sent_at: u64,
    ends_at: u64,
    pause: Option<Pause>,
    /// Whether its value was proposed under an earlier set.
    has_proposed: bool,
    /// The newest value that this controller had when the round began.
    known: Option<Value>,
}

impl PendingChange {
    /// Begins now, under a set of voters.
    pub fn new(
        now: u64,
        change: ChangeRequest,
        ballot: Ballot,
        set: VoterSet,
        known: Option<Value>,
    ) -> Self {
        let (proposal, operation) = change.start(ballot, set.voters.len());
        Self {
            change,
            proposal,
            operation,
            number: 0,
            set,
            has_responded: Vec::new(),
            started_at: now,
            sent_at: now,
            ends_at: now + CHANGE_TIMEOUT_MS,
            pause: None,
            has_proposed: false,
            known,
        }
    }

    /// What it is for.
    pub fn purpose(&self) -> ChangePurpose {
        self.change.purpose
    }

    /// Key of the register.
    pub fn key(&self) -> &str {
        &self.change.key
    }

    /// When it began.
    pub fn started_at(&self) -> u64 {
        self.started_at
    }

    /// Whether its current round bears a number.
    pub fn is_in_round(&self, number: u64) -> bool {
        self.number == number
    }

    /// When its pause is over, where it pauses.
    pub fn paused_until(&self) -> Option<u64> {
        self.pause.map(|pause| pause.until)
    }

    /// Pauses; the next round is above a ballot.
    pub fn pause(&mut self, until: u64, above: Ballot) {
        self.pause = Some(Pause { until, above });
    }

    /// Whether it may go on after a pause, although too few voters could respond.
    pub fn may_retry(&self, now: u64) -> bool {
        now + RETRY_PAUSE_MS < self.ends_at && self.change.purpose != ChangePurpose::ScalerRole
    }

    /// What is to be done now.
    pub fn poll(&self, now: u64) -> ChangeStep {
        if now >= self.ends_at {
            return ChangeStep::TimedOut(self.proposal.abandon());
        }
        match self.pause {
            Some(pause) if now >= pause.until => ChangeStep::Retry(pause.above),
            None if now >= self.sent_at + RESEND_AFTER_MS => ChangeStep::Resend,
            _ => ChangeStep::Wait,
        }
    }

    /// The proposal asks every voter something new, under a number that no other request bears.
    pub fn start_round(&mut self, number: u64) {
        self.number = number;
        self.has_responded = vec![false; self.set.voters.len()];
    }

    /// The operation of the next round.
    pub fn set_operation(&mut self, operation: VoterOperation) {
        self.operation = operation;
    }

    /// Begins again under a higher ballot, after a pause.
    pub fn retry(&mut self, ballot: Ballot, known: Option<Value>) {
        self.pause = None;
        self.known = known;
        self.operation = self.proposal.retry(ballot);
    }

    /// Begins anew under another set, as the same write.
    pub fn move_to(&mut self, set: &VoterSet, ballot: Ballot) {
        self.has_proposed |= matches!(self.proposal.abandon(), ChangeOutcome::Indeterminate);
        let (proposal, operation) = self.change.start(ballot, set.voters.len());
        self.proposal = proposal;
        self.operation = operation;
        self.set = set.clone();
        self.pause = None;
    }

    /// The request to all voters that have not responded in this round. It counts as sent now.
    pub fn request_missing(&mut self, now: u64) -> RoundRequest {
        self.sent_at = now;
        let voters = self.set.voters.iter().zip(&self.has_responded);
        let missing = voters.filter(|(_, has_responded)| !**has_responded);
        RoundRequest {
            number: self.number,
            known: self.known.as_ref().map(Value::id).unwrap_or_default(),
            request: VoterRequest {
                set_version: self.set.version(),
                operation: self.operation.clone(),
            },
            voters: missing.map(|(voter, _)| voter.clone()).collect(),
        }
    }

    /// Takes a voter's response. It counts for the member whose disk gave it. Where the response leaves out a value that
    /// is known here, that is filled in.
    pub fn on_response(
        &mut self,
        disk: u64,
        is_value_omitted: bool,
        mut response: VoterResponse,
    ) -> ResponseStep {
        let mut voters = self.set.voters.iter();
        let place = voters.position(|voter| voter.disk == disk);
        let Some(place) = place.filter(|_| self.pause.is_none()) else {
            return ResponseStep::Ignored;
        };
        if let VoterResponse::SetMismatch { set } = response {
            return ResponseStep::OtherSet(set);
        }
        if self.has_responded[place] {
            return ResponseStep::Ignored;
        }
        if is_value_omitted && !self.fill_in(&mut response) {
            return ResponseStep::Ignored;
        }
        self.has_responded[place] = true;
        ResponseStep::Proposal(self.proposal.on_response(place, response))
    }

    /// Fills in a value that a voter left out. False where it is another one than is known here.
    fn fill_in(&self, response: &mut VoterResponse) -> bool {
        let VoterResponse::LastAccepted { value, .. } = response else {
            return true;
        };
        let id = ValueId::of(value);
        let Some(known) = self.known.as_ref().filter(|known| known.id() == id) else {
            return false;
        };
        value.bytes = known.bytes.to_vec();
        true
    }

    /// How it ended, with all that was proposed under earlier sets.
    pub fn final_outcome(&self, outcome: ChangeOutcome) -> ChangeOutcome {
        let Change::Write { expected, .. } = &self.change.change else {
            return outcome;
        };
        match outcome {
            ChangeOutcome::NoQuorum(_) if self.has_proposed => ChangeOutcome::Indeterminate,
            ChangeOutcome::Conflict(stored)
                if self.has_proposed && stored.version > expected + 1 =>
            {
                ChangeOutcome::Indeterminate
            }
            outcome => outcome,
        }
    }
}
