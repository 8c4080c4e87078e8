use protocol::RequestId;
use sha2::{Digest, Sha256};
use speedy::{Readable, Writable};

/// Most characters of a caller's key.
pub const KEY_MAX: usize = 200;
/// Most bytes of a packed answer that is kept.
pub const KEPT_MAX: usize = 32 << 10;

/// The request that has a job's claim.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct RunnerId {
    /// Its gateway.
    pub gateway: String,
    /// Life of the gateway.
    pub incarnation: u64,
    /// Its ticket in that life.
    pub ticket: RequestId,
}

/// How far the job is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub enum ClaimState {
    /// Nobody ran it under this claim, and nobody will.
    #[default]
    Free,
    /// The request may be running.
    Taken,
    /// It ran; its packed answer, none where it was too large.
    Done(Option<Vec<u8>>),
}

/// What a job's register holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Claim {
    /// Digest of the request.
    pub digest: [u8; 16],
    /// The request that runs it.
    pub runner: RunnerId,
    /// Life of the keeper that wrote the claim, and its number there.
    pub by: (u64, u64),
    /// How far it is.
    pub state: ClaimState,
}

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
pub fn digest(method: &str, target: &str, body: &[u8]) -> [u8; 16] {
    digest_of([method.as_bytes(), target.as_bytes(), body])
}

/// Key of a job's register.
pub fn register_key(function: &str, key: &str) -> String {
    let digest = digest_of([function.as_bytes(), key.as_bytes()]);
    format!("job/{:032x}", u128::from_be_bytes(digest))
}

/// Whether a text may name a job: up to 200 visible ASCII characters.
pub fn is_key(text: &[u8]) -> bool {
    (1..=KEY_MAX).contains(&text.len()) && text.iter().all(u8::is_ascii_graphic)
}
