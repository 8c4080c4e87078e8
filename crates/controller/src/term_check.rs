//! Checks that the terms under which a controller scales never decrease.

use invariants::{check, Invariant};

/// Checks a new term against the previous one. They may be equal: a lease that was not confirmed by a majority in time may be
/// confirmed later under the same term.
pub(crate) fn check_term(former: u64, next: u64) {
    check(Invariant::TermsRise, next >= former, || {
        format!("term={next} former={former}")
    });
}
