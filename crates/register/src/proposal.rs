use crate::message::{Ballot, Stored, VoterAsk, VoterReply};
use crate::round::{Change, Outcome, Round, Step};

/// What the driver of a proposal does next.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposalStep {
    /// Ask every voter; answers to earlier asks must not be fed any more.
    Ask(VoterAsk),
    /// Wait for more answers.
    Wait,
    /// Another proposer was faster: pause a little, then call [`Proposal::again`] with a ballot
    /// above this one.
    Again(Ballot),
    /// The change has ended.
    Done(Outcome),
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
    ) -> (Self, VoterAsk) {
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
    pub fn again(&mut self, ballot: Ballot) -> VoterAsk {
        let change = self.change.clone();
        let (round, ask) = Round::start(&self.key, change, ballot, self.tag, self.voters);
        self.round = round;
        ask
    }

    /// Takes one voter's answer to the ask that is out.
    pub fn on_reply(&mut self, place: usize, reply: VoterReply) -> ProposalStep {
        let step = self.round.on_reply(place, reply);
        self.has_proposed |= self.round.has_proposed();
        match step {
            Step::Ask(ask) => ProposalStep::Ask(ask),
            Step::Wait => ProposalStep::Wait,
            Step::Done(Outcome::Beaten(above)) => ProposalStep::Again(above),
            Step::Done(outcome) => ProposalStep::Done(self.judge(outcome)),
        }
    }

    /// Ends the change when its time is over.
    pub fn give_up(&self) -> Outcome {
        self.judge(self.round.give_up())
    }

    // A settled value answers a write only where it is the writer's own; and once a value was
    // proposed, nothing short of the register's own word says that it was not chosen.
    fn judge(&self, outcome: Outcome) -> Outcome {
        match outcome {
            Outcome::Settled(stored) => self.judge_settled(stored),
            Outcome::Beaten(_)
            | Outcome::Unreached(_)
            | Outcome::OtherSet(_)
            | Outcome::AgedOut
                if self.has_proposed =>
            {
                Outcome::Undecided
            }
            Outcome::Beaten(_) => Outcome::Unreached("other writers kept winning".into()),
            outcome => outcome,
        }
    }

    fn judge_settled(&self, stored: Stored) -> Outcome {
        let Change::Write { expected, .. } = &self.change else {
            return Outcome::Settled(stored);
        };
        if stored.version == expected + 1 && stored.tag == self.tag {
            return Outcome::Settled(stored);
        }
        if self.has_proposed && stored.version > expected + 1 {
            return Outcome::Undecided;
        }
        Outcome::Stale(stored)
    }
}
