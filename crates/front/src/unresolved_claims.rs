//! Claims whose outcome could not be committed at a majority of voters in time, and how they are resolved later.
//!
//! Until a claim is resolved, every later request with its key is answered as if the first were still in progress.
//! Resolving it must not overwrite the claim of another request, which may have the same version if this front's
//! claim was never committed. So the register is read first, and only this front's own claim is replaced.

use idempotency_keys::Claim;
use register::{Change, ChangeOutcome, VersionedValue};
use speedy::{Readable, Writable};

/// A claim of this front whose outcome has yet to be committed.
#[derive(Clone, Debug, PartialEq)]
pub struct UnresolvedClaim {
    pub register: String,
    /// The claim as proposed. It identifies the front, its incarnation and the request.
    pub proposed: Claim,
    /// The value that replaces it.
    pub replacement: Claim,
}

impl UnresolvedClaim {
    /// Tries to replace the claim in its register. Returns false if this has to be retried.
    pub fn resolve(&self, mut change: impl FnMut(Change) -> ChangeOutcome) -> bool {
        let stored = match change(Change::Read) {
            ChangeOutcome::Committed(stored) => stored,
            ChangeOutcome::Expired => return true,
            _ => return false,
        };
        let Some(expected) = self.replaced_version(&stored) else {
            return true;
        };
        let bytes = self.replacement.write_to_vec().unwrap_or_default();
        let outcome = change(Change::Write { expected, bytes });
        // After a conflict, the read of the next attempt shows whose claim it is.
        matches!(
            outcome,
            ChangeOutcome::Committed(_) | ChangeOutcome::Expired
        )
    }

    /// The version to replace; none if the register does not hold this claim, so that nothing is to be done.
    fn replaced_version(&self, stored: &VersionedValue) -> Option<u64> {
        if stored.version == 0 {
            // Writing a free claim as the first version prevents a proposal still in flight from being committed.
            return (self.replacement == Claim::Free).then_some(0);
        }
        let is_own =
            Claim::read_from_buffer(&stored.bytes).is_ok_and(|claim| claim == self.proposed);
        is_own.then_some(stored.version)
    }
}
