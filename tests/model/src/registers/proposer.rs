use register::{
    Ballot, Change, ChangeOutcome, Proposal, ProposalStep, VoterOperation, VoterResponse, VoterSet,
};

/// What a proposer sends to the voters next.
pub struct NumberedOperation {
    /// Number that the answers bear.
    pub number: u64,
    /// The request.
    pub operation: VoterOperation,
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
    /// Number of the request that is out.
    pub number: u64,
    /// How it ended.
    pub outcome: Option<ChangeOutcome>,
    /// Newest acknowledged version when it began.
    pub acknowledged_before: u64,
    /// A ballot above which it goes on.
    pub preempted_by: Option<Ballot>,
    proposal: Option<Proposal>,
    counter: u64,
    retries_left: u64,
    has_proposed: bool,
}

impl Proposer {
    /// A proposer that has not begun.
    pub fn new(
        id: u64,
        key: &'static str,
        change: Change,
        set: VoterSet,
        max_retries: u64,
    ) -> Self {
        Self {
            id,
            key,
            change,
            set,
            number: 0,
            outcome: None,
            acknowledged_before: 0,
            preempted_by: None,
            proposal: None,
            counter: 0,
            retries_left: max_retries,
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
        self.is_running() && self.preempted_by.is_some() && self.retries_left > 0
    }

    fn next_ballot(&mut self, above: Ballot) -> Ballot {
        self.counter = self.counter.max(above.counter) + 1;
        Ballot {
            counter: self.counter,
            proposer: self.id,
        }
    }

    fn request(&mut self, operation: VoterOperation) -> NumberedOperation {
        self.number += 1;
        let number = self.number;
        NumberedOperation { number, operation }
    }

    /// Begins, or begins anew under another set as the same write.
    pub fn begin(&mut self, set: VoterSet) -> NumberedOperation {
        if let Some(proposal) = &self.proposal {
            self.has_proposed |= proposal.abandon() == ChangeOutcome::Indeterminate;
        }
        let ballot = self.next_ballot(Ballot::default());
        let (change, voters) = (self.change.clone(), set.voters.len());
        let (proposal, operation) = Proposal::start(self.key, change, self.id, ballot, voters);
        self.proposal = Some(proposal);
        self.set = set;
        self.preempted_by = None;
        self.request(operation)
    }

    /// Goes on with a higher ballot.
    pub fn retry(&mut self) -> Option<NumberedOperation> {
        let above = self.preempted_by.take()?;
        self.retries_left -= 1;
        let ballot = self.next_ballot(above);
        let operation = self.proposal.as_mut()?.retry(ballot);
        Some(self.request(operation))
    }

    /// Takes a voter's answer to the request that is out.
    pub fn answer(&mut self, place: usize, response: VoterResponse) -> Option<NumberedOperation> {
        match self.proposal.as_mut()?.on_response(place, response) {
            ProposalStep::Wait => None,
            ProposalStep::Send(operation) => Some(self.request(operation)),
            ProposalStep::Retry(above) => {
                self.number += 1;
                self.preempted_by = Some(above);
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
