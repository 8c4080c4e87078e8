//! The value of a job's register: the claim of the request that runs the job, and its result.

use protocol::RequestId;
use sha2::{Digest, Sha256};
use speedy::{Readable, Writable};

/// Maximum length of an idempotency key in characters; part of the public interface.
pub const MAX_KEY_CHARS: usize = 200;
/// Maximum size in bytes of a deflated response that is stored in a register. A larger one is returned only to the requests
/// that are waiting when the job completes.
pub const MAX_STORED_RESPONSE_BYTES: usize = 32 << 10;

/// Identifies the request that holds a job's claim.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ClaimHolder {
    /// Name of the gateway that received the request.
    pub gateway: String,
    /// Incarnation of that gateway.
    pub incarnation: u64,
    /// Id of the request within that incarnation.
    pub request_id: RequestId,
}

/// Identifies the coordinator that wrote a claim, and the claim among those it wrote.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ClaimWriter {
    /// Incarnation of the coordinator's gateway.
    pub incarnation: u64,
    /// Number of the claim within that incarnation; 0 for a value that is not a claim, such as a result.
    pub claim_number: u64,
}

/// Progress of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub enum ClaimState {
    /// No request has run the job under this claim, and none will.
    #[default]
    Free,
    /// The holder may be running the job.
    Taken,
    /// The job ran. Holds its deflated response, or `None` if that was too large.
    Done(Option<Vec<u8>>),
}

/// The value of a job's register.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Claim {
    /// Digest of the request, see [`RequestIdentity::digest`](crate::RequestIdentity::digest).
    pub digest: [u8; 16],
    /// The request that runs the job, or ran it.
    pub holder: ClaimHolder,
    /// The coordinator that wrote this value.
    pub writer: ClaimWriter,
    /// Progress of the job.
    pub state: ClaimState,
}

/// A claim as stored in its register. Values from versions that did not store the attempt are read as attempt 0.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct StoredClaim {
    /// The claim.
    pub claim: Claim,
    /// Number of the holder's attempt that the claim was written for; 0 if unknown.
    #[speedy(default_on_eof)]
    pub attempt: u32,
}

/// Returns the first half of the SHA-256 hash of several parts. Each part is preceded by its length, so that different lists
/// of parts never have the same input to the hash.
pub(crate) fn digest_of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> [u8; 16] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let whole: [u8; 32] = hasher.finalize().into();
    let mut half = [0; 16];
    half.copy_from_slice(&whole[..16]);
    half
}

/// Returns the key that identifies a job within its function: the client's idempotency key, scoped to the client's tenant.
/// Keys of different tenants never coincide, since an idempotency key contains no line break.
#[must_use]
pub fn job_key(tenant: Option<&str>, idempotency_key: &str) -> String {
    match tenant {
        Some(tenant) => format!("{idempotency_key}\n{tenant}"),
        None => idempotency_key.to_string(),
    }
}

/// Returns the key of a job's register.
#[must_use]
pub fn register_key(function: &str, idempotency_key: &str) -> String {
    let digest = digest_of([function.as_bytes(), idempotency_key.as_bytes()]);
    format!("job/{:032x}", u128::from_be_bytes(digest))
}

/// Whether a text is a valid idempotency key: 1 to [`MAX_KEY_CHARS`] visible ASCII characters.
#[must_use]
pub fn is_valid_idempotency_key(text: &[u8]) -> bool {
    (1..=MAX_KEY_CHARS).contains(&text.len()) && text.iter().all(u8::is_ascii_graphic)
}
