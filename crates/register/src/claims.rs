//! Claims: registers whose key contains its time of issue, so that a voter can delete old ones permanently.

use speedy::{Readable, Writable};
use std::ops::Range;

/// Prefix of the keys of claims, followed by the time of issue and another `/`.
const CLAIM_KEY_PREFIX: &str = "once/";
/// Upper bound of the keys of claims: the prefix, with `/` replaced by the next character.
const CLAIM_KEY_END: &str = "once0";

/// Times of issue, in milliseconds of the wall clock, below which a voter rejects claims. They never decrease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ClaimFloors {
    /// Claims issued before this time have expired and were deleted; all of them are rejected.
    pub expired_before: u64,
    /// Claims issued before this time are rejected unless the voter has them.
    pub refused_before: u64,
}

impl ClaimFloors {
    /// The later of each of the two voters' floors.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            expired_before: self.expired_before.max(other.expired_before),
            refused_before: self.refused_before.max(other.refused_before),
        }
    }

    /// Whether the key belongs to a claim that must be rejected because its value may have been deleted.
    pub(crate) fn refuses(&self, key: &str, is_held: bool) -> bool {
        claim_time(key).is_some_and(|time| {
            time < self.expired_before || (time < self.refused_before && !is_held)
        })
    }
}

/// Time of issue of a claim's key, in milliseconds; `None` for other keys.
pub(crate) fn claim_time(key: &str) -> Option<u64> {
    key.strip_prefix(CLAIM_KEY_PREFIX)?
        .split('/')
        .next()?
        .parse()
        .ok()
}

/// Range of the keys of all claims. They sort by time of issue as long as all times have the same number of digits.
pub(crate) fn claim_keys() -> Range<String> {
    CLAIM_KEY_PREFIX.to_string()..CLAIM_KEY_END.to_string()
}
