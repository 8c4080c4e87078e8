//! What a job's register holds: the claim of the request that runs the job, and its result.

use protocol::RequestId;
use sha2::{Digest, Sha256};
use speedy::{Readable, Writable};

/// Most characters of an idempotency key; part of the public interface.
pub const MAX_KEY_CHARS: usize = 200;
/// Most bytes of a deflated response that is stored in a register. Larger ones reach only the requests that wait
/// for them.
pub const MAX_STORED_RESPONSE_BYTES: usize = 32 << 10;

/// The request that holds a job's claim.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ClaimHolder {
    /// Name of its gateway.
    pub gateway: String,
    /// Incarnation of the gateway.
    pub incarnation: u64,
    /// The request's id in that incarnation.
    pub request_id: RequestId,
}

/// The coordinator that wrote a claim.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ClaimWriter {
    /// Incarnation of its gateway.
    pub incarnation: u64,
    /// Number of the claim in that incarnation; 0 for a value that is no claim.
    pub claim_number: u64,
}

/// How far a job is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub enum ClaimState {
    /// Nobody ran it under this claim, and nobody will.
    #[default]
    Free,
    /// The holder may be running it.
    Taken,
    /// It ran; its deflated response, none where it was too large.
    Done(Option<Vec<u8>>),
}

/// The value of a job's register.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Claim {
    /// Digest of the request.
    pub digest: [u8; 16],
    /// The request that runs the job.
    pub holder: ClaimHolder,
    /// The coordinator that wrote this value.
    pub writer: ClaimWriter,
    /// How far the job is.
    pub state: ClaimState,
}

/// A claim as its register holds it. Registers that were written before claims named attempts read as attempt 0.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct StoredClaim {
    /// The claim.
    pub claim: Claim,
    /// Number of the holder's attempt that the claim was written for; 0 where it was not told.
    #[speedy(default_on_eof)]
    pub attempt: u32,
}

/// Half a SHA-256 of several parts, each preceded by its length so that no two lists of parts look alike.
fn digest_of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> [u8; 16] {
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

/// Digest of what a request asks for.
#[must_use]
pub fn request_digest(method: &str, target: &str, body: &[u8]) -> [u8; 16] {
    digest_of([method.as_bytes(), target.as_bytes(), body])
}

/// What names a job within its function: the client's idempotency key, within the client's tenant. No text is a key of two tenants, since
/// a key has no line break.
#[must_use]
pub fn job_key(tenant: Option<&str>, idempotency_key: &str) -> String {
    match tenant {
        Some(tenant) => format!("{idempotency_key}\n{tenant}"),
        None => idempotency_key.to_string(),
    }
}

/// Key of a job's register.
#[must_use]
pub fn register_key(function: &str, idempotency_key: &str) -> String {
    let digest = digest_of([function.as_bytes(), idempotency_key.as_bytes()]);
    format!("job/{:032x}", u128::from_be_bytes(digest))
}

/// Whether a text may be an idempotency key: visible ASCII characters, up to [`MAX_KEY_CHARS`].
#[must_use]
pub fn is_valid_idempotency_key(text: &[u8]) -> bool {
    (1..=MAX_KEY_CHARS).contains(&text.len()) && text.iter().all(u8::is_ascii_graphic)
}
