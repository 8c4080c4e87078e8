use crate::unsettled_claims::UnsettledClaim;
use arc_swap::ArcSwap;
use configuration::PeerRef;
use crossbeam::channel::{bounded, Receiver, Sender};
use idempotency_keys::{Claim, IdempotencyKey};
use parking_lot::Mutex;
use register::{
    Ballot, Change, ChangeOutcome, RegisterClient, RegisterState, VersionedValue, VoterSet,
};
use speedy::{Readable, Writable};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use transport::{Links, PeerMessage, WireVoters};

/// Largest answer that is kept with a claim, in bytes.
const MAX_STORED_BODY_BYTES: usize = 32 * 1024;
/// Claims of which the end is still to be written.
const MAX_UNSETTLED_CLAIMS: usize = 10_000;
/// Unsettled claims up to which answers are kept with them.
const MAX_UNSETTLED_BODIES: usize = 500;
/// Longest time for one try to settle a claim, and the pause before the next one where it failed.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(2);
const SETTLE_PAUSE: Duration = Duration::from_millis(200);
/// Pauses within a claim's time while the set of voters changes.
const SET_PAUSES: u32 = 50;
/// Claims that a front remembers.
const MAX_REMEMBERED_CLAIMS: usize = 20_000;
/// Remembered claims in one message.
const REMEMBERED_PART: usize = 100;

/// What asking for a claim gave.
pub enum Claimed {
    /// This request alone may send the work.
    Ours(HeldClaim),
    /// Another request has or had the key.
    Theirs(Claim),
    /// The key is older than what the ledger knows, so it is not claimed any more.
    AgedOut,
    /// No majority of voters took the claim: nothing may be sent.
    Shut,
}

/// A claim that is committed.
pub struct HeldClaim {
    version: u64,
    taken: Claim,
}

/// Claims of this front that it still knows, for voters that lose theirs.
#[derive(Default)]
struct RememberedClaims {
    claims: BTreeMap<String, (u64, Vec<u8>)>,
}

impl RememberedClaims {
    fn note(&mut self, register: &str, version: u64, bytes: Vec<u8>) {
        self.claims.insert(register.to_string(), (version, bytes));
        // Keys begin with the time at which they were issued, so the first is the oldest.
        if self.claims.len() > MAX_REMEMBERED_CLAIMS {
            self.claims.pop_first();
        }
    }

    fn held(&self, proposer: u64) -> Vec<(String, RegisterState)> {
        let ballot = Ballot {
            counter: 1,
            proposer,
        };
        let claims = self.claims.iter();
        claims
            .map(|(register, (version, bytes))| {
                let stored = VersionedValue {
                    version: *version,
                    tag: proposer,
                    bytes: bytes.clone(),
                };
                let held = RegisterState {
                    promised: ballot,
                    accepted: ballot,
                    value: stored,
                };
                (register.clone(), held)
            })
            .collect()
    }
}

/// The ledger of once-work, kept at the voters: one register for each key.
pub struct ClaimStore {
    client: RegisterClient<WireVoters>,
    set: ArcSwap<VoterSet>,
    me: PeerRef,
    remembered: Mutex<RememberedClaims>,
    links: Arc<Links>,
    unsettled: (Sender<UnsettledClaim>, Receiver<UnsettledClaim>),
    /// Unsettled claims, also the one that is being settled.
    unsettled_count: AtomicUsize,
}

fn bytes_of(claim: &Claim) -> Vec<u8> {
    claim.write_to_vec().unwrap_or_default()
}

impl ClaimStore {
    pub fn new(links: Arc<Links>) -> Self {
        Self {
            me: links.me().clone(),
            client: RegisterClient::new(WireVoters::new(links.clone())),
            remembered: Mutex::default(),
            links,
            set: ArcSwap::default(),
            unsettled: bounded(MAX_UNSETTLED_CLAIMS),
            unsettled_count: AtomicUsize::new(0),
        }
    }

    /// Learns which voters count; an older set is ignored. Voters of a new epoch are sent the claims
    /// that this front still knows.
    pub fn learn_set(&self, set: &VoterSet) {
        let known = self.set.load_full();
        if set.version() <= known.version() {
            return;
        }
        self.set.store(Arc::new(set.clone()));
        if known.epoch == 0 || set.epoch == known.epoch {
            return;
        }
        let held = self.remembered.lock().held(self.me.incarnation);
        log::warn!(
            "front: epoch {} began; its voters are notified {} claims",
            set.epoch,
            held.len()
        );
        for part in held.chunks(REMEMBERED_PART) {
            for voter in &set.voters {
                let message = PeerMessage::RememberedClaims(part.to_vec());
                self.links.cast(&voter.address, message);
            }
        }
    }

    /// Addresses of the voters that count.
    pub fn voters(&self) -> Vec<String> {
        let set = self.set.load();
        set.voters
            .iter()
            .map(|voter| voter.address.clone())
            .collect()
    }

    fn write(&self, key: &str, expected: u64, claim: &Claim, budget: Duration) -> ChangeOutcome {
        let bytes = bytes_of(claim);
        self.change(key, Change::Write { expected, bytes }, budget)
    }

    fn change(&self, key: &str, change: Change, budget: Duration) -> ChangeOutcome {
        let set = self.set.load_full();
        if set.epoch == 0 {
            return ChangeOutcome::NoQuorum("no voters are known yet".into());
        }
        let is_write = matches!(change, Change::Write { .. });
        let outcome = self.client.change(&set, key, change, budget);
        if let ChangeOutcome::Committed(stored) = outcome.clone() {
            if is_write {
                let mut remembered = self.remembered.lock();
                remembered.note(key, stored.version, stored.bytes);
            }
        }
        if let ChangeOutcome::SetMismatch(set) = &outcome {
            self.learn_set(set);
        }
        outcome
    }

    /// Claims a key for a request.
    pub fn claim(
        &self,
        key: &IdempotencyKey,
        slot: u64,
        digest: &str,
        budget: Duration,
    ) -> Claimed {
        let claim = Claim::Taken {
            by: self.me.clone(),
            slot,
            digest: digest.to_string(),
        };
        let mut expected = 0;
        let end = Instant::now() + budget;
        while Instant::now() < end {
            let left = end.saturating_duration_since(Instant::now());
            match self.write(&key.register, expected, &claim, left) {
                ChangeOutcome::Committed(stored) => {
                    return Claimed::Ours(HeldClaim {
                        version: stored.version,
                        taken: claim,
                    });
                }
                ChangeOutcome::Conflict(stored) => match Claim::read_from_buffer(&stored.bytes) {
                    Ok(Claim::Free) => expected = stored.version,
                    Ok(claim) => return Claimed::Theirs(claim),
                    Err(_) => return Claimed::Shut,
                },
                // While the set changes, some voters are in the old one and some in the next.
                ChangeOutcome::SetMismatch(_) => thread::sleep(budget / SET_PAUSES),
                ChangeOutcome::Expired => return self.recall(&key.register),
                ChangeOutcome::Indeterminate => {
                    self.settle_later(&key.register, claim, Claim::Free);
                    return Claimed::Shut;
                }
                _ => return Claimed::Shut,
            }
        }
        Claimed::Shut
    }

    /// What this front itself remembers of a key that the voters do not know any more.
    fn recall(&self, register: &str) -> Claimed {
        let remembered = self.remembered.lock();
        let known = remembered.claims.get(register);
        match known.map(|(_, bytes)| Claim::read_from_buffer(bytes)) {
            Some(Ok(claim)) if claim != Claim::Free => Claimed::Theirs(claim),
            _ => Claimed::AgedOut,
        }
    }

    /// Keeps a claim whose end could not be written. Where many wait, their answers are not kept.
    fn settle_later(&self, register: &str, taken: Claim, mut end: Claim) {
        if self.unsettled_count.load(Ordering::SeqCst) >= MAX_UNSETTLED_BODIES {
            drop_body(&mut end);
        }
        let unsettled = UnsettledClaim {
            register: register.to_string(),
            taken,
            end,
        };
        self.unsettled_count.fetch_add(1, Ordering::SeqCst);
        self.keep_unsettled(unsettled);
    }

    fn keep_unsettled(&self, unsettled: UnsettledClaim) {
        if self.unsettled.0.try_send(unsettled).is_err() {
            self.unsettled_count.fetch_sub(1, Ordering::SeqCst);
            log::warn!("front: too many claims are to be settled, one is left to its age");
        }
    }

    /// Gives a claim back, of which nothing was sent, so that the caller may ask elsewhere as soon as
    /// it is known. Where voters do not answer now it is done later.
    pub fn free(&self, key: &IdempotencyKey, held: HeldClaim, budget: Duration) {
        self.end(key, held, Claim::Free, budget);
    }

    /// Whether claims are still to be settled.
    pub fn has_unsettled(&self) -> bool {
        self.unsettled_count.load(Ordering::SeqCst) > 0
    }

    /// Notes the answer, or that it was lost. Where voters do not answer now it is done later.
    pub fn note(&self, key: &IdempotencyKey, held: HeldClaim, mut claim: Claim, budget: Duration) {
        if let Claim::Done {
            body: Some(bytes), ..
        } = &claim
        {
            if bytes.len() > MAX_STORED_BODY_BYTES {
                drop_body(&mut claim);
            }
        }
        self.end(key, held, claim, budget);
    }

    fn end(&self, key: &IdempotencyKey, held: HeldClaim, end: Claim, budget: Duration) {
        let outcome = self.write(&key.register, held.version, &end, budget);
        if !matches!(outcome, ChangeOutcome::Committed(_)) {
            log::warn!("front: the end of a claim was not taken, it is settled later: {outcome:?}");
            self.settle_later(&key.register, held.taken, end);
        }
    }

    /// Settles claims whose end could not be written, until the process ends.
    pub fn settle_claims(&self) {
        for unsettled in &self.unsettled.1 {
            let register = &unsettled.register;
            if unsettled.settle(|change| self.change(register, change, SETTLE_TIMEOUT)) {
                self.unsettled_count.fetch_sub(1, Ordering::SeqCst);
                continue;
            }
            self.keep_unsettled(unsettled);
            thread::sleep(SETTLE_PAUSE);
        }
    }
}

fn drop_body(claim: &mut Claim) {
    if let Claim::Done { body, .. } = claim {
        *body = None;
    }
}
