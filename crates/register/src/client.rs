//! A blocking client of the registers, for daemons that can dedicate threads to it.

use crate::message::{VoterOperation, VoterRequest, VoterResponse};
use crate::proposal::{Proposal, ProposalStep};
use crate::round::{Change, ChangeOutcome};
use crate::value::Ballot;
use crate::voter_set::{VoterRef, VoterSet};
use crossbeam::channel::{unbounded, Receiver, Sender};
use rand::Rng;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Maximum random backoff, in milliseconds, before a preempted proposer retries. It lets one of two proposers that keep
/// preempting each other finish.
const MAX_BACKOFF_MS: u64 = 8;

/// A voter's response, with the request and the voter that it belongs to.
#[derive(Clone, Debug, PartialEq)]
pub struct NumberedResponse {
    /// Number of the request.
    pub number: u64,
    /// Index of the voter in its set.
    pub voter: usize,
    /// The voter's response.
    pub response: VoterResponse,
}

/// Sends requests to voters. A response may arrive late, twice or never.
pub trait VoterPort: Send + Sync {
    /// Sends a request to a voter. Its response is delivered to `responses` with the given number and index.
    fn send(
        &self,
        voter: &VoterRef,
        request: VoterRequest,
        number: u64,
        index: usize,
        responses: Sender<NumberedResponse>,
    );
}

/// Drives [`Proposal`]s until they end or time out.
pub struct RegisterClient<P: VoterPort> {
    port: P,
    proposer: u64,
    counter: AtomicU64,
}

impl<P: VoterPort> RegisterClient<P> {
    /// Creates a client with a random proposer id.
    pub fn new(port: P) -> Self {
        Self {
            port,
            proposer: rand::rng().random(),
            counter: AtomicU64::new(0),
        }
    }

    fn next_ballot(&self, above: Ballot) -> Ballot {
        self.counter.fetch_max(above.counter, Ordering::SeqCst);
        Ballot {
            counter: self.counter.fetch_add(1, Ordering::SeqCst) + 1,
            proposer: self.proposer,
        }
    }

    /// Reads or writes a key within the timeout. Blocks the calling thread.
    pub fn change(
        &self,
        set: &VoterSet,
        key: &str,
        change: Change,
        timeout: Duration,
    ) -> ChangeOutcome {
        let deadline = Instant::now() + timeout;
        let ballot = self.next_ballot(Ballot::default());
        let tag = rand::rng().random();
        let (mut proposal, mut operation) =
            Proposal::start(key, change, tag, ballot, set.voters.len());
        loop {
            match self.run_operation(set, operation, &mut proposal, deadline) {
                ProposalStep::Send(next) => operation = next,
                ProposalStep::Done(outcome) => return outcome,
                ProposalStep::Retry(above) if Instant::now() < deadline => {
                    let backoff_ms = rand::rng().random_range(1..=MAX_BACKOFF_MS);
                    std::thread::sleep(Duration::from_millis(backoff_ms));
                    operation = proposal.retry(self.next_ballot(above));
                }
                ProposalStep::Retry(_) | ProposalStep::Wait => return proposal.abandon(),
            }
        }
    }

    /// Sends one operation to all voters, and passes their responses to the proposal until it has a next step. Returns
    /// [`ProposalStep::Wait`] if the deadline passes first.
    fn run_operation(
        &self,
        set: &VoterSet,
        operation: VoterOperation,
        proposal: &mut Proposal,
        deadline: Instant,
    ) -> ProposalStep {
        let number = self.counter.fetch_add(1, Ordering::SeqCst);
        let responses = self.broadcast(set, operation, number);
        while let Ok(answer) = responses.recv_deadline(deadline) {
            if answer.number != number {
                continue;
            }
            match proposal.on_response(answer.voter, answer.response) {
                ProposalStep::Wait => {}
                step => return step,
            }
        }
        ProposalStep::Wait
    }

    fn broadcast(
        &self,
        set: &VoterSet,
        operation: VoterOperation,
        number: u64,
    ) -> Receiver<NumberedResponse> {
        let (sender, receiver) = unbounded();
        for (index, voter) in set.voters.iter().enumerate() {
            let request = VoterRequest {
                set_version: set.version(),
                operation: operation.clone(),
            };
            self.port
                .send(voter, request, number, index, sender.clone());
        }
        receiver
    }
}
