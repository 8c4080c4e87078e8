use crate::message::{VoterOperation, VoterResponse};
use crate::round::{Change, ChangeOutcome, Round, RoundStep};
use crate::value::{Ballot, VersionedValue};

/// What the driver of a proposal does next.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposalStep {
    /// Ask every voter; answers to earlier asks must not be fed any more.
    Send(VoterOperation),
    /// Wait for more answers.
    Wait,
    /// Another proposer was faster: pause a little, then call [`Proposal::retry`] with a ballot
    /// above this one.
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
        let (round, ask) = Round::start(key, change.clone(), ballot, tag, voters);
        let proposal = Self {
            key: key.to_string(),
            change,
            tag,
            voters,
            round,
            has_proposed: false,
        };
        (proposal, ask)
    }

    /// Goes on with a ballot that this proposer never used before.
    pub fn retry(&mut self, ballot: Ballot) -> VoterOperation {
        let change = self.change.clone();
        let (round, ask) = Round::start(&self.key, change, ballot, self.tag, self.voters);
        self.round = round;
        ask
    }

    /// Takes one voter's answer to the ask that is out.
    pub fn on_response(&mut self, voter: usize, response: VoterResponse) -> ProposalStep {
        let step = self.round.on_response(voter, response);
        self.has_proposed |= self.round.has_proposed();
        match step {
            RoundStep::Send(ask) => ProposalStep::Send(ask),
            RoundStep::Wait => ProposalStep::Wait,
            RoundStep::Done(ChangeOutcome::Preempted(above)) => ProposalStep::Retry(above),
            RoundStep::Done(outcome) => ProposalStep::Done(self.judge(outcome)),
        }
    }

    /// Ends the change when its time is over.
    pub fn abandon(&self) -> ChangeOutcome {
        self.judge(self.round.abandon())
    }

    // A settled value answers a write only where it is the writer's own; and once a value was
    // proposed, nothing short of the register's own word says that it was not chosen.
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
