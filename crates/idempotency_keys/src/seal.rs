//! Digests, and the seal (a MAC) with which a runner authenticates its responses.

use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};
use std::fmt::Write;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// SHA-256 digest in lower-case hex.
pub fn digest_hex(bytes: &[u8]) -> String {
    hex(&Sha256::digest(bytes))
}

/// Seal of a response: HMAC-SHA256 in hex with the runner's key over attempt id, runner, status, content type
/// and digest of the body, separated by line breaks.
pub fn seal(
    key: &[u8],
    attempt_id: &str,
    runner: &str,
    status: u16,
    content_type: &str,
    body: &[u8],
) -> String {
    let digest = digest_hex(body);
    let sealed = format!("{attempt_id}\n{runner}\n{status}\n{content_type}\n{digest}");
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(sealed.as_bytes());
    hex(&mac.finalize().into_bytes())
}
