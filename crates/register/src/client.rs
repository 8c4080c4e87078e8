use crate::message::{Ballot, Stored, VoterAsk, VoterMessage, VoterRef, VoterReply, VoterSet};
use crate::round::{Change, Outcome, Round, Step};
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
        message: VoterMessage,
        number: u64,
        place: usize,
        replies: Sender<(u64, usize, VoterReply)>,
    );
}

/// Drives [`Round`]s against the voters until they end or the budget is over.
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
    pub fn change(&self, set: &VoterSet, key: &str, change: Change, budget: Duration) -> Outcome {
        let end = Instant::now() + budget;
        let tag: u64 = rand::rng().random();
        let mut above = Ballot::default();
        let mut has_proposed = false;
        loop {
            let ballot = self.next_ballot(above);
            let (round, ask) = Round::start(key, change.clone(), ballot, tag, set.voters.len());
            let (outcome, proposed) = self.drive(set, round, ask, end);
            has_proposed |= proposed;
            match outcome {
                Outcome::Beaten(ballot) if Instant::now() < end => {
                    above = ballot;
                    let pause = rand::rng().random_range(1..=8);
                    std::thread::sleep(Duration::from_millis(pause));
                }
                Outcome::Beaten(_) | Outcome::Unreached(_) if has_proposed => {
                    return Outcome::Undecided
                }
                Outcome::Beaten(_) => {
                    return Outcome::Unreached("other writers kept winning".into())
                }
                Outcome::Settled(stored) => return judge(stored, &change, tag, has_proposed),
                outcome => return outcome,
            }
        }
    }

    fn drive(
        &self,
        set: &VoterSet,
        mut round: Round,
        first: VoterAsk,
        end: Instant,
    ) -> (Outcome, bool) {
        let mut ask = first;
        loop {
            let number = self.counter.fetch_add(1, Ordering::SeqCst);
            let replies = self.ask_all(set, ask, number);
            ask = loop {
                let Ok((reply_number, place, reply)) = replies.recv_deadline(end) else {
                    return (round.give_up(), round.has_proposed());
                };
                if reply_number != number {
                    continue;
                }
                match round.on_reply(place, reply) {
                    Step::Ask(ask) => break ask,
                    Step::Wait => {}
                    Step::Done(outcome) => return (outcome, round.has_proposed()),
                }
            };
        }
    }

    fn ask_all(
        &self,
        set: &VoterSet,
        ask: VoterAsk,
        number: u64,
    ) -> Receiver<(u64, usize, VoterReply)> {
        let (sender, receiver) = unbounded();
        for (place, voter) in set.voters.iter().enumerate() {
            let message = VoterMessage {
                mark: set.mark(),
                ask: ask.clone(),
            };
            self.port.ask(voter, message, number, place, sender.clone());
        }
        receiver
    }
}

// A settled value answers a write only where it is the writer's own.
fn judge(stored: Stored, change: &Change, tag: u64, has_proposed: bool) -> Outcome {
    let Change::Write { expected, .. } = change else {
        return Outcome::Settled(stored);
    };
    if stored.version == expected + 1 && stored.tag == tag {
        return Outcome::Settled(stored);
    }
    if has_proposed && stored.version > expected + 1 {
        return Outcome::Undecided;
    }
    Outcome::Stale(stored)
}
