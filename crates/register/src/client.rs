use crate::message::{Ballot, VoterOperation, VoterRef, VoterRequest, VoterResponse, VoterSet};
use crate::proposal::{Proposal, ProposalStep};
use crate::round::{Change, ChangeOutcome};
use crossbeam::channel::{unbounded, Receiver, Sender};
use rand::Rng;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Port to the voters. An answer may come late, twice or never.
pub trait VoterPort: Send + Sync {
    /// Sends a message to a voter; its answer goes to `replies` with the given number and place.
    fn ask(
        &self,
        voter: &VoterRef,
        message: VoterRequest,
        number: u64,
        place: usize,
        replies: Sender<(u64, usize, VoterResponse)>,
    );
}

/// Drives [`Proposal`]s against the voters until they end or the budget is over.
pub struct RegisterClient<P: VoterPort> {
    port: P,
    proposer: u64,
    counter: AtomicU64,
}

impl<P: VoterPort> RegisterClient<P> {
    /// A client with a random proposer id of its own.
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

    /// Reads or writes a key within the budget.
    pub fn change(
        &self,
        set: &VoterSet,
        key: &str,
        change: Change,
        budget: Duration,
    ) -> ChangeOutcome {
        let end = Instant::now() + budget;
        let ballot = self.next_ballot(Ballot::default());
        let tag = rand::rng().random();
        let (mut proposal, mut ask) = Proposal::start(key, change, tag, ballot, set.voters.len());
        loop {
            let number = self.counter.fetch_add(1, Ordering::SeqCst);
            let replies = self.ask_all(set, ask, number);
            ask = loop {
                let Ok((reply_number, place, reply)) = replies.recv_deadline(end) else {
                    return proposal.abandon();
                };
                if reply_number != number {
                    continue;
                }
                match proposal.on_response(place, reply) {
                    ProposalStep::Send(ask) => break ask,
                    ProposalStep::Wait => {}
                    ProposalStep::Done(outcome) => return outcome,
                    ProposalStep::Retry(_) if Instant::now() >= end => return proposal.abandon(),
                    ProposalStep::Retry(above) => {
                        let pause = rand::rng().random_range(1..=8);
                        std::thread::sleep(Duration::from_millis(pause));
                        break proposal.retry(self.next_ballot(above));
                    }
                }
            };
        }
    }

    fn ask_all(
        &self,
        set: &VoterSet,
        ask: VoterOperation,
        number: u64,
    ) -> Receiver<(u64, usize, VoterResponse)> {
        let (sender, receiver) = unbounded();
        for (place, voter) in set.voters.iter().enumerate() {
            let message = VoterRequest {
                set_version: set.version(),
                operation: ask.clone(),
            };
            self.port.ask(voter, message, number, place, sender.clone());
        }
        receiver
    }
}
