//! Idempotency keys: the caller's format and the name of the register that holds the claim.

use crate::seal::digest_hex;
use std::fmt;

const MAX_KEY_BYTES: usize = 200;

/// A valid idempotency key, sent by the caller as `<milliseconds since 1970>-<text>`.
#[derive(Clone, Debug, PartialEq)]
pub struct IdempotencyKey {
    /// Time in the key at which the caller issued it, in milliseconds since 1970.
    pub issued_ms: u64,
    /// Name of the register that holds its claim.
    pub register: String,
}

/// Why an idempotency key was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyKeyError {
    /// It does not have the form `<milliseconds since 1970>-<text>`, or is too long.
    Malformed,
    /// It was issued too long ago: claims of that age may already be expired.
    TooOld,
    /// Its time is in the future by more than the tolerated clock offset.
    TooNew,
}

impl fmt::Display for IdempotencyKeyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Malformed => {
                "Idempotency-Key must be <milliseconds since 1970>-<text>, 200 characters at most"
            }
            Self::TooOld => "Idempotency-Key was issued longer ago than keys are remembered",
            Self::TooNew => "Idempotency-Key was issued in the future",
        })
    }
}

impl IdempotencyKey {
    /// Parses the key of a request for a function, from a caller whose clock may be up to `ahead_ms` ahead. Voters
    /// remember claims for `remembered_ms`; keys older than half of that are rejected, so that no key is accepted
    /// whose claim may be about to expire.
    pub fn read(
        text: &str,
        function: &str,
        now_ms: u64,
        remembered_ms: u64,
        ahead_ms: u64,
    ) -> Result<Self, IdempotencyKeyError> {
        let (digits, suffix) = text.split_once('-').ok_or(IdempotencyKeyError::Malformed)?;
        let is_timestamp =
            (1..=14).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit());
        if !is_timestamp || suffix.is_empty() || text.len() > MAX_KEY_BYTES {
            return Err(IdempotencyKeyError::Malformed);
        }
        let issued_ms: u64 = digits.parse().map_err(|_| IdempotencyKeyError::Malformed)?;
        if issued_ms + remembered_ms / 2 < now_ms {
            return Err(IdempotencyKeyError::TooOld);
        }
        if issued_ms > now_ms + ahead_ms {
            return Err(IdempotencyKeyError::TooNew);
        }
        let digest = digest_hex(text.as_bytes());
        Ok(Self {
            issued_ms,
            register: format!("once/{issued_ms:014}/{function}/{digest}"),
        })
    }
}
