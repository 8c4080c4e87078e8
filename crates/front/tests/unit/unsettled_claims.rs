//! Claims that are settled late replace themselves and nothing else.

use crate::unsettled_claims::UnsettledClaim;
use configuration::PeerRef;
use idempotency_keys::Claim;
use register::{Change, ChangeOutcome, VersionedValue};
use speedy::{Readable, Writable};

/// A register at voters that may be out of reach.
#[derive(Default)]
struct Register {
    stored: VersionedValue,
    is_unreachable: bool,
    is_write_lost: bool,
}

impl Register {
    fn holding(version: u64, claim: &Claim) -> Self {
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

fn lost() -> Claim {
    Claim::Unknown {
        digest: "digest".into(),
    }
}

fn unsettled(end: Claim) -> UnsettledClaim {
    UnsettledClaim {
        register: "key".into(),
        taken: taken("front-0", 7),
        end,
    }
}

#[test]
fn the_own_claim_is_replaced() {
    for end in [Claim::Free, lost()] {
        let mut register = Register::holding(3, &taken("front-0", 7));
        assert!(unsettled(end.clone()).settle(|change| register.change(change)));
        assert_eq!((register.stored.version, register.claim()), (4, Some(end)));
    }
}

#[test]
fn the_claim_of_another_request_stays_though_its_version_is_the_expected_one() {
    for other in [taken("front-1", 7), taken("front-0", 8), lost()] {
        let mut register = Register::holding(1, &other);
        assert!(unsettled(Claim::Free).settle(|change| register.change(change)));
        assert_eq!(
            (register.stored.version, register.claim()),
            (1, Some(other))
        );
    }
}

#[test]
fn a_claim_that_was_never_committed_cannot_be_any_more() {
    let mut register = Register::default();
    assert!(unsettled(Claim::Free).settle(|change| register.change(change)));
    assert_eq!(register.claim(), Some(Claim::Free));
    let late = Change::Write {
        expected: 0,
        bytes: taken("front-0", 7).write_to_vec().unwrap(),
    };
    assert!(matches!(register.change(late), ChangeOutcome::Conflict(_)));
}

#[test]
fn a_claim_that_the_voters_lost_is_not_written_by_its_end() {
    let mut register = Register::default();
    assert!(unsettled(lost()).settle(|change| register.change(change)));
    assert_eq!(register.stored.version, 0);
}

#[test]
fn it_is_tried_again_until_it_is_known_to_be_settled() {
    let claim = unsettled(lost());
    let mut register = Register::holding(1, &taken("front-0", 7));
    register.is_unreachable = true;
    assert!(!claim.settle(|change| register.change(change)));
    register.is_unreachable = false;
    register.is_write_lost = true;
    assert!(!claim.settle(|change| register.change(change)));
    assert!(claim.settle(|change| register.change(change)));
    assert_eq!(
        (register.stored.version, register.claim()),
        (2, Some(lost()))
    );
}

#[test]
fn a_claim_that_came_between_read_and_write_is_looked_at_again() {
    let claim = unsettled(Claim::Free);
    let mut register = Register::default();
    let is_settled = claim.settle(|change| {
        if matches!(change, Change::Write { .. }) {
            register = Register::holding(1, &taken("front-1", 1));
        }
        register.change(change)
    });
    assert!(!is_settled);
    assert!(claim.settle(|change| register.change(change)));
    assert_eq!(register.claim(), Some(taken("front-1", 1)));
}
