//! Resolving a claim late replaces that claim only, never the claim of another request.

use crate::unresolved_claims::UnresolvedClaim;
use configuration::PeerRef;
use idempotency_keys::Claim;
use register::{Change, ChangeOutcome, VersionedValue};
use speedy::{Readable, Writable};

/// A register whose voters may be unreachable or whose write responses may be lost.
#[derive(Default)]
struct Register {
    stored: VersionedValue,
    is_unreachable: bool,
    is_write_lost: bool,
}

impl Register {
    fn with_claim(version: u64, claim: &Claim) -> Self {
        let stored = VersionedValue {
            version,
            bytes: claim.write_to_vec().unwrap(),
            ..VersionedValue::default()
        };
        Self {
            stored,
            ..Self::default()
        }
    }

    fn change(&mut self, change: Change) -> ChangeOutcome {
        if self.is_unreachable {
            return ChangeOutcome::NoQuorum("no voter answers".into());
        }
        match change {
            Change::Read => {}
            Change::Write { expected, bytes } if expected == self.stored.version => {
                self.stored.version += 1;
                self.stored.bytes = bytes;
                if self.is_write_lost {
                    return ChangeOutcome::Indeterminate;
                }
            }
            Change::Write { .. } => return ChangeOutcome::Conflict(self.stored.clone()),
        }
        ChangeOutcome::Committed(self.stored.clone())
    }

    fn claim(&self) -> Option<Claim> {
        Claim::read_from_buffer(&self.stored.bytes).ok()
    }
}

fn taken(front: &str, slot: u64) -> Claim {
    let by = PeerRef {
        name: front.into(),
        ..PeerRef::default()
    };
    Claim::Taken {
        by,
        slot,
        digest: "digest".into(),
    }
}

fn unknown() -> Claim {
    Claim::Unknown {
        digest: "digest".into(),
    }
}

fn unresolved(replacement: Claim) -> UnresolvedClaim {
    UnresolvedClaim {
        register: "key".into(),
        proposed: taken("front-0", 7),
        replacement,
    }
}

#[test]
fn the_claim_of_the_same_request_is_replaced() {
    for end in [Claim::Free, unknown()] {
        let mut register = Register::with_claim(3, &taken("front-0", 7));
        assert!(unresolved(end.clone()).resolve(|change| register.change(change)));
        assert_eq!((register.stored.version, register.claim()), (4, Some(end)));
    }
}

#[test]
fn the_claim_of_another_request_with_the_same_version_is_kept() {
    for other in [taken("front-1", 7), taken("front-0", 8), unknown()] {
        let mut register = Register::with_claim(1, &other);
        assert!(unresolved(Claim::Free).resolve(|change| register.change(change)));
        assert_eq!(
            (register.stored.version, register.claim()),
            (1, Some(other))
        );
    }
}

#[test]
fn resolving_an_uncommitted_claim_prevents_its_late_commit() {
    let mut register = Register::default();
    assert!(unresolved(Claim::Free).resolve(|change| register.change(change)));
    assert_eq!(register.claim(), Some(Claim::Free));
    let late = Change::Write {
        expected: 0,
        bytes: taken("front-0", 7).write_to_vec().unwrap(),
    };
    assert!(matches!(register.change(late), ChangeOutcome::Conflict(_)));
}

#[test]
fn the_outcome_of_a_claim_lost_by_the_voters_is_not_written() {
    let mut register = Register::default();
    assert!(unresolved(unknown()).resolve(|change| register.change(change)));
    assert_eq!(register.stored.version, 0);
}

#[test]
fn resolving_is_retried_until_its_result_is_known() {
    let claim = unresolved(unknown());
    let mut register = Register::with_claim(1, &taken("front-0", 7));
    register.is_unreachable = true;
    assert!(!claim.resolve(|change| register.change(change)));
    register.is_unreachable = false;
    register.is_write_lost = true;
    assert!(!claim.resolve(|change| register.change(change)));
    assert!(claim.resolve(|change| register.change(change)));
    assert_eq!(
        (register.stored.version, register.claim()),
        (2, Some(unknown()))
    );
}

#[test]
fn a_claim_written_between_read_and_write_is_read_again() {
    let claim = unresolved(Claim::Free);
    let mut register = Register::default();
    let is_resolved = claim.resolve(|change| {
        if matches!(change, Change::Write { .. }) {
            register = Register::with_claim(1, &taken("front-1", 1));
        }
        register.change(change)
    });
    assert!(!is_resolved);
    assert!(claim.resolve(|change| register.change(change)));
    assert_eq!(register.claim(), Some(taken("front-1", 1)));
}
