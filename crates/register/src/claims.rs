//! Claims: registers whose key bears the time at which it was issued, so that a voter may forget old ones for good.

use speedy::{Readable, Writable};
use std::ops::Range;

/// What the keys of claims begin with; the time of issue and another `/` follow.
const CLAIM_KEY_PREFIX: &str = "once/";
/// The first key after all keys of claims: the prefix with the character that follows `/`.
const CLAIM_KEY_END: &str = "once0";

/// Times, in milliseconds of the wall clock, that decide on claims which a voter does not hold. They only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ClaimFloors {
    /// Claims issued before this time have been forgotten; all of them are refused.
    pub forgotten_before: u64,
    /// Claims issued before this time are refused unless they are held.
    pub refused_before: u64,
}

impl ClaimFloors {
    /// The later of both voters' floors, each by itself.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            forgotten_before: self.forgotten_before.max(other.forgotten_before),
            refused_before: self.refused_before.max(other.refused_before),
        }
    }

    /// Whether the key is of a claim that must be refused, since what was under it may have been forgotten.
    pub(crate) fn refuses(&self, key: &str, is_held: bool) -> bool {
        claim_time(key).is_some_and(|time| {
            time < self.forgotten_before || (time < self.refused_before && !is_held)
        })
    }
}

/// The time in milliseconds at which a claim's key was issued; none for other keys.
pub(crate) fn claim_time(key: &str) -> Option<u64> {
    key.strip_prefix(CLAIM_KEY_PREFIX)?
        .split('/')
        .next()?
        .parse()
        .ok()
}

/// The keys of all claims. They sort by their time, as long as its number of digits stays.
pub(crate) fn claim_keys() -> Range<String> {
    CLAIM_KEY_PREFIX.to_string()..CLAIM_KEY_END.to_string()
}
