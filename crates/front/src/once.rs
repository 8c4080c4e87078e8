use arc_swap::ArcSwap;
use blueprint::PeerRef;
use claims::{Claim, OnceKey};
use crossbeam::channel::{bounded, Receiver, Sender};
use register::{Change, Outcome, RegisterClient, VoterSet};
use speedy::{Readable, Writable};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use wire::{Links, WireVoters};

/// Largest answer that is kept with a claim, in bytes.
const KEPT_BODY_MAX: usize = 32 * 1024;
const LEFTOVERS_MAX: usize = 10_000;

/// What asking for a claim gave.
pub enum Claimed {
    /// This ticket alone may send the work; the version of its claim goes with it.
    Ours(u64),
    /// Another ticket has or had the key.
    Theirs(Claim),
    /// No majority of voters took the claim: nothing may be sent.
    Shut,
}

/// The ledger of once-work, kept at the voters: one register for each key.
pub struct Ledger {
    client: RegisterClient<WireVoters>,
    set: ArcSwap<VoterSet>,
    me: PeerRef,
    leftovers: (Sender<Leftover>, Receiver<Leftover>),
}

/// Register and version of a claim of which nothing was sent.
type Leftover = (String, u64);

fn bytes_of(claim: &Claim) -> Vec<u8> {
    claim.write_to_vec().unwrap_or_default()
}

impl Ledger {
    pub fn new(links: Arc<Links>) -> Self {
        Self {
            me: links.me().clone(),
            client: RegisterClient::new(WireVoters::new(links)),
            set: ArcSwap::default(),
            leftovers: bounded(LEFTOVERS_MAX),
        }
    }

    /// Learns which voters count; an older set is ignored.
    pub fn learn_set(&self, set: &VoterSet) {
        if set.mark() > self.set.load().mark() {
            self.set.store(Arc::new(set.clone()));
        }
    }

    fn write(&self, key: &str, expected: u64, claim: &Claim, budget: Duration) -> Outcome {
        let set = self.set.load_full();
        if set.era == 0 {
            return Outcome::Unreached("no voters are known yet".into());
        }
        let change = Change::Write {
            expected,
            bytes: bytes_of(claim),
        };
        let outcome = self.client.change(&set, key, change, budget);
        if let Outcome::OtherSet(set) = &outcome {
            self.learn_set(set);
        }
        outcome
    }

    /// Claims a key for a ticket.
    pub fn claim(&self, key: &OnceKey, slot: u64, digest: &str, budget: Duration) -> Claimed {
        let claim = Claim::Taken {
            by: self.me.clone(),
            slot,
            digest: digest.to_string(),
        };
        let mut expected = 0;
        for _ in 0..3 {
            match self.write(&key.register, expected, &claim, budget) {
                Outcome::Settled(stored) => return Claimed::Ours(stored.version),
                Outcome::Stale(stored) => match Claim::read_from_buffer(&stored.bytes) {
                    Ok(Claim::Free) => expected = stored.version,
                    Ok(claim) => return Claimed::Theirs(claim),
                    Err(_) => return Claimed::Shut,
                },
                Outcome::OtherSet(_) => {}
                Outcome::Undecided => {
                    self.leave_over(&key.register, expected + 1);
                    return Claimed::Shut;
                }
                _ => return Claimed::Shut,
            }
        }
        Claimed::Shut
    }

    fn leave_over(&self, register: &str, version: u64) {
        let _ = self.leftovers.0.try_send((register.to_string(), version));
    }

    /// Gives a claim back, of which nothing was sent. Where voters do not answer now it is done
    /// later.
    pub fn free(&self, key: &OnceKey, version: u64) {
        self.leave_over(&key.register, version);
    }

    /// Notes the answer, or that it was lost.
    pub fn note(&self, key: &OnceKey, version: u64, mut claim: Claim, budget: Duration) {
        if let Claim::Done { body, .. } = &mut claim {
            if body
                .as_ref()
                .is_some_and(|bytes| bytes.len() > KEPT_BODY_MAX)
            {
                *body = None;
            }
        }
        let outcome = self.write(&key.register, version, &claim, budget);
        if !matches!(outcome, Outcome::Settled(_)) {
            log::warn!("front: the answer under a key was not noted: {outcome:?}");
        }
    }

    /// Frees claims of which nothing was sent, until the process ends.
    pub fn free_leftovers(&self) {
        for (register, version) in &self.leftovers.1 {
            let patience = Duration::from_secs(2);
            match self.write(&register, version, &Claim::Free, patience) {
                Outcome::Settled(_) | Outcome::Stale(_) => {}
                _ => {
                    self.leave_over(&register, version);
                    thread::sleep(Duration::from_millis(200));
                }
            }
        }
    }
}
