use dispatch::{pack, unpack};
use speedy::{Readable, Writable};
use std::collections::VecDeque;

/// Key of the register that holds the description.
pub(crate) const DESCRIPTION: &str = council::DESCRIPTION_KEY;
/// Key of the register that holds the closed districts.
pub(crate) const CLOSURES: &str = council::CLOSURES_KEY;
/// Taken orders that are remembered, so that a resent one is answered as before.
const TAKEN_MAX: usize = 64;
/// Largest document, in bytes.
const DOCUMENT_MAX: u64 = 64 << 20;
/// Changes that are kept for fronts that lack only these.
const CHANGES_KEPT: usize = 64;

/// What the description's register holds.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub(crate) struct Kept {
    /// The operator's version.
    pub version: u64,
    /// The whole document, deflated.
    pub packed: Vec<u8>,
    /// The change that led here from the version of the register before, deflated; empty where a whole document did.
    pub change: Vec<u8>,
    /// Versions that were taken and digests of the orders that made them, the newest last.
    pub taken: Vec<(u64, u64)>,
}

/// The changes that led to the description in force, by the register's versions, without a gap.
#[derive(Default)]
pub(crate) struct Steps {
    first: u64,
    changes: VecDeque<Vec<u8>>,
}

impl Steps {
    /// A description came into force at a version of the register.
    pub fn note(&mut self, version: u64, kept: &Kept) {
        let follows = version == self.first + self.changes.len() as u64;
        if !follows || kept.change.is_empty() {
            self.changes.clear();
            self.first = version + 1;
            return;
        }
        self.changes.push_back(kept.change.clone());
        if self.changes.len() > CHANGES_KEPT {
            self.changes.pop_front();
            self.first += 1;
        }
    }

    /// The changes that lead from a version to the newest; none where they are not all known.
    pub fn since(&self, version: u64) -> Option<Vec<Vec<u8>>> {
        let behind = (version + 1).checked_sub(self.first)? as usize;
        let changes: Vec<Vec<u8>> = self.changes.iter().skip(behind).cloned().collect();
        (!changes.is_empty()).then_some(changes)
    }
}

/// What the closures' register holds.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub(crate) struct Closures {
    pub districts: Vec<String>,
}

impl Kept {
    pub fn document(&self) -> Vec<u8> {
        unpack(&self.packed, DOCUMENT_MAX).unwrap_or_default()
    }

    /// The next value.
    pub fn next(&self, version: u64, document: &[u8], order: &[u8], is_change: bool) -> Self {
        let mut taken = self.taken.clone();
        taken.push((version, digest(order)));
        let surplus = taken.len().saturating_sub(TAKEN_MAX);
        taken.drain(..surplus);
        Self {
            version,
            packed: pack(document),
            change: if is_change { pack(order) } else { Vec::new() },
            taken,
        }
    }

    pub fn has_taken(&self, version: u64, order: u64) -> bool {
        self.taken.contains(&(version, order))
    }
}

/// Digest of an order's body, by which a resent one is known again (FNV-1a).
pub(crate) fn digest(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3)
    })
}
