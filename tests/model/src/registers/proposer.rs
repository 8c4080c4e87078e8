use register::{
    Ballot, Change, ChangeOutcome, Proposal, ProposalStep, VoterOperation, VoterResponse, VoterSet,
};

/// A request from a proposer to the voters.
pub struct NumberedOperation {
    /// Request number; responses carry the same number.
    pub number: u64,
    /// The requested operation.
    pub operation: VoterOperation,
}

/// A client's read or write, driven by the production `Proposal`.
#[derive(Clone, Debug)]
pub struct Proposer {
    /// Id of the proposer; part of its ballots, and the tag of its writes.
    pub id: u64,
    /// Key of the register.
    pub key: &'static str,
    /// The requested read or write.
    pub change: Change,
    /// The voter set under which it sends requests.
    pub set: VoterSet,
    /// Number of the outstanding request.
    pub number: u64,
    /// Outcome; `None` until the proposal has ended.
    pub outcome: Option<ChangeOutcome>,
    /// Newest version acknowledged to any client when the proposer started.
    pub acknowledged_before: u64,
    /// The ballot that preempted it; a retry uses a higher one.
    pub preempted_by: Option<Ballot>,
    proposal: Option<Proposal>,
    counter: u64,
    retries_left: u64,
    has_proposed: bool,
}

impl Proposer {
    /// Creates a proposer that has not started.
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

    /// Whether its proposal is in progress.
    pub fn is_running(&self) -> bool {
        self.proposal.is_some() && self.outcome.is_none()
    }

    /// Whether it may start now.
    pub fn may_start(&self) -> bool {
        self.proposal.is_none() && self.outcome.is_none()
    }

    /// Whether it may retry with a higher ballot.
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

    /// Starts the proposal, or restarts it under another set with the same tag.
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

    /// Retries with a higher ballot.
    pub fn retry(&mut self) -> Option<NumberedOperation> {
        let above = self.preempted_by.take()?;
        self.retries_left -= 1;
        let ballot = self.next_ballot(above);
        let operation = self.proposal.as_mut()?.retry(ballot);
        Some(self.request(operation))
    }

    /// Handles a voter's response to the outstanding request and returns the next request, if any.
    pub fn on_response(
        &mut self,
        voter_index: usize,
        response: VoterResponse,
    ) -> Option<NumberedOperation> {
        match self.proposal.as_mut()?.on_response(voter_index, response) {
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
