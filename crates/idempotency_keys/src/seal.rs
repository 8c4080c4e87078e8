//! Digests, and the seal by which a runner proves that a response is its own.

use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};
use std::fmt::Write;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// SHA-256 in hex.
pub fn digest_hex(bytes: &[u8]) -> String {
    hex(&Sha256::digest(bytes))
}

/// The seal of an answer: HMAC-SHA256 in hex, under the runner's key, over request, runner, status,
/// content type and the body's digest, one a line.
pub fn seal(
    key: &[u8],
    queued_request: &str,
    runner: &str,
    status: u16,
    content_type: &str,
    body: &[u8],
) -> String {
    let digest = digest_hex(body);
    let sealed = format!("{queued_request}\n{runner}\n{status}\n{content_type}\n{digest}");
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(sealed.as_bytes());
    hex(&mac.finalize().into_bytes())
}
