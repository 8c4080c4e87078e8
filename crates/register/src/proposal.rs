//! A change of a register, retried with new ballots until it ends, and its outcome.

use crate::message::{VoterOperation, VoterResponse};
use crate::round::{Change, ChangeOutcome, Round, RoundStep};
use crate::value::{Ballot, VersionedValue};

/// What the driver of a proposal must do next.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposalStep {
    /// Send this operation to every voter. Responses to earlier operations must not be passed in any more.
    Send(VoterOperation),
    /// Wait for more responses.
    Wait,
    /// Preempted by this higher ballot: back off briefly, then call [`Proposal::retry`] with a ballot above it.
    Retry(Ballot),
    /// The change has ended.
    Done(ChangeOutcome),
}

/// One change of one register, over one or more rounds. A state machine without I/O or a clock.
#[derive(Clone, Debug)]
pub struct Proposal {
    key: String,
    change: Change,
    tag: u64,
    voters: usize,
    round: Round,
    /// Whether the change's own value was proposed in any round.
    has_proposed: bool,
}

impl Proposal {
    /// Starts a change. The tag must be unique to this change.
    pub fn start(
        key: &str,
        change: Change,
        tag: u64,
        ballot: Ballot,
        voters: usize,
    ) -> (Self, VoterOperation) {
        let (round, operation) = Round::start(key, change.clone(), ballot, tag, voters);
        let proposal = Self {
            key: key.to_string(),
            change,
            tag,
            voters,
            round,
            has_proposed: false,
        };
        (proposal, operation)
    }

    /// Starts another round, with a ballot that this proposer has never used before.
    pub fn retry(&mut self, ballot: Ballot) -> VoterOperation {
        let change = self.change.clone();
        let (round, operation) = Round::start(&self.key, change, ballot, self.tag, self.voters);
        self.round = round;
        operation
    }

    /// Processes a voter's response to the operation that was sent last; `voter` is the voter's index in the set.
    pub fn on_response(&mut self, voter: usize, response: VoterResponse) -> ProposalStep {
        let step = self.round.on_response(voter, response);
        self.has_proposed |= self.round.has_proposed();
        match step {
            RoundStep::Send(operation) => ProposalStep::Send(operation),
            RoundStep::Wait => ProposalStep::Wait,
            RoundStep::Done(ChangeOutcome::Preempted(above)) => ProposalStep::Retry(above),
            RoundStep::Done(outcome) => ProposalStep::Done(self.resolve_outcome(outcome)),
        }
    }

    /// Outcome of the change if its driver gives up now.
    pub fn abandon(&self) -> ChangeOutcome {
        self.resolve_outcome(self.round.abandon())
    }

    /// Derives the outcome of the change from that of its last round. Once the change's value was proposed it may still be
    /// committed, so a round that fails after that leaves the outcome indeterminate.
    fn resolve_outcome(&self, outcome: ChangeOutcome) -> ChangeOutcome {
        match outcome {
            ChangeOutcome::Committed(value) => self.resolve_committed(value),
            ChangeOutcome::Preempted(_)
            | ChangeOutcome::NoQuorum(_)
            | ChangeOutcome::SetMismatch(_)
            | ChangeOutcome::Expired
                if self.has_proposed =>
            {
                ChangeOutcome::Indeterminate
            }
            ChangeOutcome::Preempted(_) => {
                ChangeOutcome::NoQuorum("other writers kept winning".into())
            }
            outcome => outcome,
        }
    }

    /// A committed value completes a write only if it is the write's own. If its value was proposed and the register is more
    /// than one version ahead, the write may have been committed in between.
    fn resolve_committed(&self, value: VersionedValue) -> ChangeOutcome {
        let Change::Write { expected, .. } = &self.change else {
            return ChangeOutcome::Committed(value);
        };
        if value.version == expected + 1 && value.tag == self.tag {
            return ChangeOutcome::Committed(value);
        }
        if self.has_proposed && value.version > expected + 1 {
            return ChangeOutcome::Indeterminate;
        }
        ChangeOutcome::Conflict(value)
    }
}
