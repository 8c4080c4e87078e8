//! Counts violations, logs the first one of each invariant, and panics if violations are fatal.

use crate::invariant::Invariant;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

static VIOLATIONS: [AtomicU64; Invariant::ALL.len()] =
    [const { AtomicU64::new(0) }; Invariant::ALL.len()];
static IS_FATAL: AtomicBool = AtomicBool::new(cfg!(debug_assertions));

/// Makes violations fatal: from now on each one panics.
pub fn make_fatal() {
    IS_FATAL.store(true, Ordering::Relaxed);
}

/// Whether a violation panics.
#[must_use]
pub fn is_fatal() -> bool {
    IS_FATAL.load(Ordering::Relaxed)
}

/// Checks an invariant and returns whether it holds. `context` describes the state that explains a violation; it is only called
/// if there is one.
///
/// # Panics
/// If the invariant does not hold and violations are fatal.
pub fn check(invariant: Invariant, holds: bool, context: impl FnOnce() -> String) -> bool {
    if !holds {
        record_violation(invariant, &context());
    }
    holds
}

#[cold]
fn record_violation(invariant: Invariant, context: &str) {
    let name = invariant.name();
    let earlier = VIOLATIONS[invariant as usize].fetch_add(1, Ordering::Relaxed);
    if earlier == 0 {
        log::error!("invariant violated name={name} context={context}");
    }
    assert!(!is_fatal(), "invariant violated: {name}: {context}");
}

/// Number of violations of an invariant since the start of the process.
#[must_use]
pub fn violations(invariant: Invariant) -> u64 {
    VIOLATIONS[invariant as usize].load(Ordering::Relaxed)
}

/// Number of violations of all invariants since the start of the process.
#[must_use]
pub fn total_violations() -> u64 {
    Invariant::ALL.iter().copied().map(violations).sum()
}
