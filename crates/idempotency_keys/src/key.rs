//! The idempotency key of a request, as a caller writes it and as its register is named.

use crate::seal::digest_hex;
use std::fmt;

const MAX_KEY_BYTES: usize = 200;

/// An idempotency key: the time at which the caller made it, and the caller's own text.
#[derive(Clone, Debug, PartialEq)]
pub struct IdempotencyKey {
    /// Milliseconds since 1970, as in the key.
    pub issued_ms: u64,
    /// Key of its register.
    pub register: String,
}

/// What is wrong with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyKeyError {
    /// It is not `<milliseconds since 1970>-<text>`.
    Malformed,
    /// It was issued longer ago than keys are remembered.
    TooOld,
    /// It was issued in the future.
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
    /// Reads a key for a function, from a caller whose clock may be `ahead_ms` ahead. Keys older than half of what voters remember are refused, so
    /// that none is taken while its claim may be ageing out.
    pub fn read(
        text: &str,
        function: &str,
        now_ms: u64,
        remembered_ms: u64,
        ahead_ms: u64,
    ) -> Result<Self, IdempotencyKeyError> {
        let (digits, own_text) = text.split_once('-').ok_or(IdempotencyKeyError::Malformed)?;
        let is_time =
            (1..=14).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit());
        if !is_time || own_text.is_empty() || text.len() > MAX_KEY_BYTES {
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
