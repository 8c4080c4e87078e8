//! A change of a register over as many ballots as it takes, and what its end says of it.

use crate::message::{VoterOperation, VoterResponse};
use crate::round::{Change, ChangeOutcome, Round, RoundStep};
use crate::value::{Ballot, VersionedValue};

/// What the driver of a proposal does next.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposalStep {
    /// Send this to every voter. Responses to earlier operations must not be fed any more.
    Send(VoterOperation),
    /// Wait for more responses.
    Wait,
    /// Another proposer has this higher ballot: pause a little, then call [`Proposal::retry`] with a ballot above it.
    Retry(Ballot),
    /// The change has ended.
    Done(ChangeOutcome),
}

/// One change of one register, over as many rounds as it takes. A pure machine.
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
    /// Starts a change; the tag must be the change's own.
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

    /// Goes on with a ballot that this proposer never used before.
    pub fn retry(&mut self, ballot: Ballot) -> VoterOperation {
        let change = self.change.clone();
        let (round, operation) = Round::start(&self.key, change, ballot, self.tag, self.voters);
        self.round = round;
        operation
    }

    /// Takes one voter's response to the operation that was sent last; `voter` is its index in the set.
    pub fn on_response(&mut self, voter: usize, response: VoterResponse) -> ProposalStep {
        let step = self.round.on_response(voter, response);
        self.has_proposed |= self.round.has_proposed();
        match step {
            RoundStep::Send(operation) => ProposalStep::Send(operation),
            RoundStep::Wait => ProposalStep::Wait,
            RoundStep::Done(ChangeOutcome::Preempted(above)) => ProposalStep::Retry(above),
            RoundStep::Done(outcome) => ProposalStep::Done(self.judge(outcome)),
        }
    }

    /// How the change ends where its driver gives up now.
    pub fn abandon(&self) -> ChangeOutcome {
        self.judge(self.round.abandon())
    }

    /// A committed value answers a write only where it is the writer's own; and once a value was proposed, nothing short of a
    /// later version in the register says that it was not committed.
    fn judge(&self, outcome: ChangeOutcome) -> ChangeOutcome {
        match outcome {
            ChangeOutcome::Committed(value) => self.judge_committed(value),
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

    fn judge_committed(&self, value: VersionedValue) -> ChangeOutcome {
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
