use register::{
    Ballot, Change, ChangeOutcome, Proposal, ProposalStep, VoterOperation, VoterResponse, VoterSet,
};

/// What a proposer sends to the voters next.
pub struct Question {
    /// Number that the answers bear.
    pub number: u64,
    /// The question.
    pub ask: VoterOperation,
}

/// A caller's read or write with the product's proposal, which drives it.
#[derive(Clone, Debug)]
pub struct Proposer {
    /// Number of the proposer; part of its ballots and its tag.
    pub id: u64,
    /// Key of the register.
    pub key: &'static str,
    /// What it wants.
    pub change: Change,
    /// The set under which it asks.
    pub set: VoterSet,
    /// Number of the question that is out.
    pub number: u64,
    /// How it ended.
    pub outcome: Option<ChangeOutcome>,
    /// Newest acknowledged version when it began.
    pub floor: u64,
    /// A ballot above which it goes on.
    pub beaten: Option<Ballot>,
    proposal: Option<Proposal>,
    counter: u64,
    tries_left: u64,
    has_proposed: bool,
}

impl Proposer {
    /// A proposer that has not begun.
    pub fn new(id: u64, key: &'static str, change: Change, set: VoterSet, tries: u64) -> Self {
        Self {
            id,
            key,
            change,
            set,
            number: 0,
            outcome: None,
            floor: 0,
            beaten: None,
            proposal: None,
            counter: 0,
            tries_left: tries,
            has_proposed: false,
        }
    }

    /// Whether its change is under way.
    pub fn is_running(&self) -> bool {
        self.proposal.is_some() && self.outcome.is_none()
    }

    /// Whether it may begin now.
    pub fn may_begin(&self) -> bool {
        self.proposal.is_none() && self.outcome.is_none()
    }

    /// Whether it may go on with a higher ballot.
    pub fn may_retry(&self) -> bool {
        self.is_running() && self.beaten.is_some() && self.tries_left > 0
    }

    fn next_ballot(&mut self, above: Ballot) -> Ballot {
        self.counter = self.counter.max(above.counter) + 1;
        Ballot {
            counter: self.counter,
            proposer: self.id,
        }
    }

    fn question(&mut self, ask: VoterOperation) -> Question {
        self.number += 1;
        let number = self.number;
        Question { number, ask }
    }

    /// Begins, or begins anew under another set as the same write.
    pub fn begin(&mut self, set: VoterSet) -> Question {
        if let Some(proposal) = &self.proposal {
            self.has_proposed |= proposal.abandon() == ChangeOutcome::Indeterminate;
        }
        let ballot = self.next_ballot(Ballot::default());
        let (change, voters) = (self.change.clone(), set.voters.len());
        let (proposal, ask) = Proposal::start(self.key, change, self.id, ballot, voters);
        self.proposal = Some(proposal);
        self.set = set;
        self.beaten = None;
        self.question(ask)
    }

    /// Goes on with a higher ballot.
    pub fn retry(&mut self) -> Option<Question> {
        let above = self.beaten.take()?;
        self.tries_left -= 1;
        let ballot = self.next_ballot(above);
        let ask = self.proposal.as_mut()?.retry(ballot);
        Some(self.question(ask))
    }

    /// Takes a voter's answer to the question that is out.
    pub fn answer(&mut self, place: usize, reply: VoterResponse) -> Option<Question> {
        match self.proposal.as_mut()?.on_response(place, reply) {
            ProposalStep::Wait => None,
            ProposalStep::Send(ask) => Some(self.question(ask)),
            ProposalStep::Retry(above) => {
                self.number += 1;
                self.beaten = Some(above);
                None
            }
            ProposalStep::Done(outcome) => {
                self.number += 1;
                self.outcome = Some(outcome);
                None
            }
        }
    }
}
