//! Checks that a controller scales under ascending terms.

use invariants::{check, Invariant};

/// Checks the term under which scaling begins against the one before. The same may come again: a lease that was not backed in
/// time may be backed once more.
pub(crate) fn check_term(former: u64, next: u64) {
    check(Invariant::TermsRise, next >= former, || {
        format!("term={next} former={former}")
    });
}
