use crate::unresolved_claims::UnresolvedClaim;
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

/// Largest response body that is stored with a claim, in bytes.
const MAX_STORED_BODY_BYTES: usize = 32 * 1024;
/// Most claims that may wait to be resolved.
const MAX_UNRESOLVED_CLAIMS: usize = 10_000;
/// Number of unresolved claims from which on response bodies are no longer kept with them.
const MAX_UNRESOLVED_WITH_BODY: usize = 500;
/// Timeout of each register access when resolving a claim, and the wait after a failed attempt.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(2);
const RESOLVE_RETRY_WAIT: Duration = Duration::from_millis(200);
/// While the voter set changes, a claim is retried after its time budget divided by this number.
const SET_CHANGE_RETRIES: u32 = 50;
/// Most claims that a front remembers.
const MAX_REMEMBERED_CLAIMS: usize = 20_000;
/// Most remembered claims in one message.
const REMEMBERED_PER_MESSAGE: usize = 100;

/// Result of an attempt to claim a key.
pub enum ClaimResult {
    /// The request holds the claim, and only it may be sent.
    Acquired(HeldClaim),
    /// Another request holds or held the key.
    Existing(Claim),
    /// The key is older than the claims that the voters still keep, so it cannot be claimed.
    Expired,
    /// No majority of voters accepted the claim, so nothing may be sent.
    NoQuorum,
}

/// A committed claim of this front.
pub struct HeldClaim {
    version: u64,
    proposed: Claim,
}

/// Recent claims of this front, kept for voters that lose their state.
#[derive(Default)]
struct RememberedClaims {
    claims: BTreeMap<String, (u64, Vec<u8>)>,
}

impl RememberedClaims {
    fn record(&mut self, register: &str, version: u64, bytes: Vec<u8>) {
        self.claims.insert(register.to_string(), (version, bytes));
        // Keys start with their time of issue, so the first is the oldest.
        if self.claims.len() > MAX_REMEMBERED_CLAIMS {
            self.claims.pop_first();
        }
    }

    fn register_states(&self, proposer: u64) -> Vec<(String, RegisterState)> {
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

/// Claims on idempotency keys, stored at the voters in one register for each key.
pub struct ClaimStore {
    client: RegisterClient<WireVoters>,
    set: ArcSwap<VoterSet>,
    me: PeerRef,
    remembered: Mutex<RememberedClaims>,
    links: Arc<Links>,
    unresolved: (Sender<UnresolvedClaim>, Receiver<UnresolvedClaim>),
    /// Number of unresolved claims, including the one being resolved.
    unresolved_count: AtomicUsize,
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
            unresolved: bounded(MAX_UNRESOLVED_CLAIMS),
            unresolved_count: AtomicUsize::new(0),
        }
    }

    /// Replaces the known voter set if this one is newer. Voters of a new epoch are sent the claims that this
    /// front remembers.
    pub fn update_set(&self, set: &VoterSet) {
        let known = self.set.load_full();
        if set.version() <= known.version() {
            return;
        }
        self.set.store(Arc::new(set.clone()));
        if known.epoch == 0 || set.epoch == known.epoch {
            return;
        }
        let held = self.remembered.lock().register_states(self.me.incarnation);
        log::warn!(
            "front: epoch {} began; its voters are notified {} claims",
            set.epoch,
            held.len()
        );
        for part in held.chunks(REMEMBERED_PER_MESSAGE) {
            for voter in &set.voters {
                let message = PeerMessage::RememberedClaims(part.to_vec());
                self.links.cast(&voter.address, message);
            }
        }
    }

    /// Addresses of the voters in the known set.
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
                remembered.record(key, stored.version, stored.bytes);
            }
        }
        if let ChangeOutcome::SetMismatch(set) = &outcome {
            self.update_set(set);
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
    ) -> ClaimResult {
        let claim = Claim::Taken {
            by: self.me.clone(),
            slot,
            digest: digest.to_string(),
        };
        let mut expected = 0;
        let deadline = Instant::now() + budget;
        while Instant::now() < deadline {
            let remaining = deadline.saturating_duration_since(Instant::now());
            match self.write(&key.register, expected, &claim, remaining) {
                ChangeOutcome::Committed(stored) => {
                    return ClaimResult::Acquired(HeldClaim {
                        version: stored.version,
                        proposed: claim,
                    });
                }
                ChangeOutcome::Conflict(stored) => match Claim::read_from_buffer(&stored.bytes) {
                    Ok(Claim::Free) => expected = stored.version,
                    Ok(claim) => return ClaimResult::Existing(claim),
                    Err(_) => return ClaimResult::NoQuorum,
                },
                // During a change of the set, some voters are in the old one and some in the new one.
                ChangeOutcome::SetMismatch(_) => thread::sleep(budget / SET_CHANGE_RETRIES),
                ChangeOutcome::Expired => return self.lookup_remembered(&key.register),
                ChangeOutcome::Indeterminate => {
                    self.resolve_later(&key.register, claim, Claim::Free);
                    return ClaimResult::NoQuorum;
                }
                _ => return ClaimResult::NoQuorum,
            }
        }
        ClaimResult::NoQuorum
    }

    /// Looks up a key that the voters no longer know in the claims that this front remembers.
    fn lookup_remembered(&self, register: &str) -> ClaimResult {
        let remembered = self.remembered.lock();
        let known = remembered.claims.get(register);
        match known.map(|(_, bytes)| Claim::read_from_buffer(bytes)) {
            Some(Ok(claim)) if claim != Claim::Free => ClaimResult::Existing(claim),
            _ => ClaimResult::Expired,
        }
    }

    /// Queues a claim whose outcome could not be written. If many are queued, response bodies are dropped.
    fn resolve_later(&self, register: &str, proposed: Claim, mut replacement: Claim) {
        if self.unresolved_count.load(Ordering::SeqCst) >= MAX_UNRESOLVED_WITH_BODY {
            drop_body(&mut replacement);
        }
        let unresolved = UnresolvedClaim {
            register: register.to_string(),
            proposed,
            replacement,
        };
        self.unresolved_count.fetch_add(1, Ordering::SeqCst);
        self.enqueue_unresolved(unresolved);
    }

    fn enqueue_unresolved(&self, unresolved: UnresolvedClaim) {
        if self.unresolved.0.try_send(unresolved).is_err() {
            self.unresolved_count.fetch_sub(1, Ordering::SeqCst);
            log::warn!("front: too many claims are to be settled, one is left to its age");
        }
    }

    /// Releases a claim for which nothing was sent, so that the caller may retry at another front.
    /// If the voters do not answer, this is done later.
    pub fn release(&self, key: &IdempotencyKey, held: HeldClaim, budget: Duration) {
        self.finish(key, held, Claim::Free, budget);
    }

    /// Whether any claim is unresolved.
    pub fn has_unresolved(&self) -> bool {
        self.unresolved_count.load(Ordering::SeqCst) > 0
    }

    /// Records the response, or that it was lost. If the voters do not answer, this is done later.
    pub fn record_outcome(
        &self,
        key: &IdempotencyKey,
        held: HeldClaim,
        mut claim: Claim,
        budget: Duration,
    ) {
        if let Claim::Done {
            body: Some(bytes), ..
        } = &claim
        {
            if bytes.len() > MAX_STORED_BODY_BYTES {
                drop_body(&mut claim);
            }
        }
        self.finish(key, held, claim, budget);
    }

    fn finish(&self, key: &IdempotencyKey, held: HeldClaim, replacement: Claim, budget: Duration) {
        let outcome = self.write(&key.register, held.version, &replacement, budget);
        if !matches!(outcome, ChangeOutcome::Committed(_)) {
            log::warn!("front: the end of a claim was not taken, it is settled later: {outcome:?}");
            self.resolve_later(&key.register, held.proposed, replacement);
        }
    }

    /// Resolves queued claims until the process exits.
    pub fn resolve_claims(&self) {
        for unresolved in &self.unresolved.1 {
            let register = &unresolved.register;
            if unresolved.resolve(|change| self.change(register, change, RESOLVE_TIMEOUT)) {
                self.unresolved_count.fetch_sub(1, Ordering::SeqCst);
                continue;
            }
            self.enqueue_unresolved(unresolved);
            thread::sleep(RESOLVE_RETRY_WAIT);
        }
    }
}

fn drop_body(claim: &mut Claim) {
    if let Claim::Done { body, .. } = claim {
        *body = None;
    }
}
