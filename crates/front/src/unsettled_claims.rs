//! Claims whose end no majority of voters took in time, and how they are settled later.
//!
//! A claim that is not settled answers every later request with its key as if the first were still under way. What is written later must
//! not touch another request's claim, which may have the same version where the own one was never committed. So the register is read
//! first, and only the own claim is replaced.

use idempotency_keys::Claim;
use register::{Change, ChangeOutcome, VersionedValue};
use speedy::{Readable, Writable};

/// A claim of this front that is still to be settled.
#[derive(Clone, Debug, PartialEq)]
pub struct UnsettledClaim {
    pub register: String,
    /// The claim as it was proposed; it names the front, its incarnation and the request.
    pub taken: Claim,
    /// What is to stand in its place.
    pub end: Claim,
}

impl UnsettledClaim {
    /// Tries to settle it by changes of its register. False where that has to be tried again.
    pub fn settle(&self, mut change: impl FnMut(Change) -> ChangeOutcome) -> bool {
        let stored = match change(Change::Read) {
            ChangeOutcome::Committed(stored) => stored,
            ChangeOutcome::Expired => return true,
            _ => return false,
        };
        let Some(expected) = self.replaced_version(&stored) else {
            return true;
        };
        let bytes = self.end.write_to_vec().unwrap_or_default();
        let outcome = change(Change::Write { expected, bytes });
        // After a conflict the next read tells whose claim it is.
        matches!(
            outcome,
            ChangeOutcome::Committed(_) | ChangeOutcome::Expired
        )
    }

    /// The version that the end replaces; none where this claim does not stand in the register.
    fn replaced_version(&self, stored: &VersionedValue) -> Option<u64> {
        if stored.version == 0 {
            // A proposal that is still under way is not committed once something else is.
            return (self.end == Claim::Free).then_some(0);
        }
        let is_own = Claim::read_from_buffer(&stored.bytes).is_ok_and(|claim| claim == self.taken);
        is_own.then_some(stored.version)
    }
}
