//! A pending register change, from its first request to its outcome.

use crate::value::{Value, ValueId};
use register::{
    Ballot, Change, ChangeOutcome, Proposal, ProposalStep, VoterOperation, VoterRef, VoterRequest,
    VoterResponse, VoterSet,
};

/// Timeout of a change, in milliseconds.
const CHANGE_TIMEOUT_MS: u64 = 1_500;
/// Time after which the request is sent again to voters that did not respond, in milliseconds.
const RESEND_AFTER_MS: u64 = 250;
/// Pause before a retry when too few voters could respond, in milliseconds.
pub(crate) const RETRY_PAUSE_MS: u64 = 100;

/// Purpose of a register change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ChangePurpose {
    /// Requested by the daemon with this token.
    Client(u64),
    /// Reads a required register.
    RequiredRead(&'static str),
    /// Reads a register whose value this controller's voter has accepted.
    Settlement,
    /// Proposes a new voter set.
    VoterSet,
    /// Campaigns for the scaler role.
    ScalerRole,
}

/// A requested change.
#[derive(Clone, Debug)]
pub(crate) struct ChangeRequest {
    /// Purpose of the change.
    pub purpose: ChangePurpose,
    /// Key of the register.
    pub key: String,
    /// The operation on the register.
    pub change: Change,
    /// Random tag of the value if the change is a write.
    pub tag: u64,
}

impl ChangeRequest {
    /// Starts a proposal with this ballot and number of voters.
    fn start(&self, ballot: Ballot, voters: usize) -> (Proposal, VoterOperation) {
        Proposal::start(&self.key, self.change.clone(), self.tag, ballot, voters)
    }
}

/// A pause before the next round of a change.
#[derive(Clone, Copy, Debug)]
struct Pause {
    until: u64,
    /// The next round needs a ballot above this one.
    above: Ballot,
}

/// The request sent to voters in one round of a change.
#[derive(Clone, Debug)]
pub(crate) struct RoundRequest {
    /// Number that the responses repeat.
    pub number: u64,
    /// The value that this controller already has and that responses may omit.
    pub known: ValueId,
    /// The request.
    pub request: VoterRequest,
    /// Voters that have not responded yet.
    pub voters: Vec<VoterRef>,
}

/// What to do with a change now.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ChangeStep {
    /// Wait for responses or for the end of a pause.
    Wait,
    /// The change has timed out.
    TimedOut(ChangeOutcome),
    /// The pause is over: start another round with a ballot above this one.
    Retry(Ballot),
    /// Send the request again to voters that have not responded.
    Resend,
}

/// Result of a voter's response.
#[derive(Clone, Debug)]
pub(crate) enum ResponseStep {
    /// The response has no effect.
    Ignored,
    /// The voter is in another set.
    SetMismatch(VoterSet),
    /// The proposal has advanced.
    Proposal(ProposalStep),
}

/// A register change in progress.
#[derive(Clone, Debug)]
pub(crate) struct PendingChange {
    change: ChangeRequest,
    proposal: Proposal,
    operation: VoterOperation,
    /// Number of the current round.
    number: u64,
    set: VoterSet,
    /// For each voter of the set, whether it has responded in the current round.
    has_responded: Vec<bool>,
    started_at: u64,
    sent_at: u64,
    ends_at: u64,
    pause: Option<Pause>,
    /// Whether the value may have been proposed under an earlier set.
    was_proposed_earlier: bool,
    /// The newest value known to this controller when the round began.
    known: Option<Value>,
}

impl PendingChange {
    /// Starts a change under a voter set.
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
            was_proposed_earlier: false,
            known,
        }
    }

    /// Purpose of the change.
    pub fn purpose(&self) -> ChangePurpose {
        self.change.purpose
    }

    /// Key of the register.
    pub fn key(&self) -> &str {
        &self.change.key
    }

    /// When the change was started.
    pub fn started_at(&self) -> u64 {
        self.started_at
    }

    /// Whether the current round has this number.
    pub fn is_in_round(&self, number: u64) -> bool {
        self.number == number
    }

    /// End of the current pause, if any.
    pub fn paused_until(&self) -> Option<u64> {
        self.pause.map(|pause| pause.until)
    }

    /// Pauses the change. The next round will use a ballot above the given one.
    pub fn pause(&mut self, until: u64, above: Ballot) {
        self.pause = Some(Pause { until, above });
    }

    /// Whether the change may be retried after a pause when too few voters could respond.
    pub fn may_retry(&self, now: u64) -> bool {
        now + RETRY_PAUSE_MS < self.ends_at && self.change.purpose != ChangePurpose::ScalerRole
    }

    /// Outcome of the change if it is given up now.
    pub fn abandon(&self) -> ChangeOutcome {
        self.proposal.abandon()
    }

    /// What to do with the change now.
    pub fn poll(&self, now: u64) -> ChangeStep {
        if now >= self.ends_at {
            return ChangeStep::TimedOut(self.abandon());
        }
        match self.pause {
            Some(pause) if now >= pause.until => ChangeStep::Retry(pause.above),
            None if now >= self.sent_at + RESEND_AFTER_MS => ChangeStep::Resend,
            _ => ChangeStep::Wait,
        }
    }

    /// Starts a round under a number that no other request uses.
    pub fn start_round(&mut self, number: u64) {
        self.number = number;
        self.has_responded = vec![false; self.set.voters.len()];
    }

    /// Sets the operation of the next round.
    pub fn set_operation(&mut self, operation: VoterOperation) {
        self.operation = operation;
    }

    /// Restarts the proposal with a higher ballot after a pause.
    pub fn retry(&mut self, ballot: Ballot, known: Option<Value>) {
        self.pause = None;
        self.known = known;
        self.operation = self.proposal.retry(ballot);
    }

    /// Restarts the same change under another voter set.
    pub fn move_to_set(&mut self, set: &VoterSet, ballot: Ballot) {
        self.was_proposed_earlier |= matches!(self.abandon(), ChangeOutcome::Indeterminate);
        let (proposal, operation) = self.change.start(ballot, set.voters.len());
        self.proposal = proposal;
        self.operation = operation;
        self.set = set.clone();
        self.pause = None;
    }

    /// The request to all voters that have not responded in the current round. It is assumed to be sent now.
    pub fn request_for_remaining(&mut self, now: u64) -> RoundRequest {
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

    /// Handles a voter's response. It counts for the member whose disk sent it. If the response omits the value known
    /// to this controller, the value is restored first.
    pub fn on_response(
        &mut self,
        disk: u64,
        is_value_omitted: bool,
        mut response: VoterResponse,
    ) -> ResponseStep {
        let mut voters = self.set.voters.iter();
        let index = voters.position(|voter| voter.disk == disk);
        let Some(index) = index.filter(|_| self.pause.is_none()) else {
            return ResponseStep::Ignored;
        };
        if let VoterResponse::SetMismatch { set } = response {
            return ResponseStep::SetMismatch(set);
        }
        if self.has_responded[index] {
            return ResponseStep::Ignored;
        }
        if is_value_omitted && !self.restore_omitted_value(&mut response) {
            return ResponseStep::Ignored;
        }
        self.has_responded[index] = true;
        ResponseStep::Proposal(self.proposal.on_response(index, response))
    }

    /// Restores the value omitted from a response. Returns false if it is not the value known here.
    fn restore_omitted_value(&self, response: &mut VoterResponse) -> bool {
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

    /// The outcome of the change, taking proposals under earlier sets into account.
    pub fn final_outcome(&self, outcome: ChangeOutcome) -> ChangeOutcome {
        let Change::Write { expected, .. } = &self.change.change else {
            return outcome;
        };
        match outcome {
            ChangeOutcome::NoQuorum(_) if self.was_proposed_earlier => ChangeOutcome::Indeterminate,
            ChangeOutcome::Conflict(stored)
                if self.was_proposed_earlier && stored.version > expected + 1 =>
            {
                ChangeOutcome::Indeterminate
            }
            outcome => outcome,
        }
    }
}
