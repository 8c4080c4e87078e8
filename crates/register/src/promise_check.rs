//! Checks that a voter keeps its earlier promises.

use crate::value::RegisterState;
use invariants::{check, Invariant};

/// Checks a register's next state against the former one: ballots never decrease, and none is accepted above the promise.
pub(crate) fn check_promise(key: &str, former: Option<&RegisterState>, next: &RegisterState) {
    let (promised, accepted) = former.map_or_else(Default::default, |former| {
        (former.promised, former.accepted)
    });
    let is_kept =
        next.promised >= promised && next.accepted >= accepted && next.accepted <= next.promised;
    check(Invariant::PromisesAreKept, is_kept, || {
        format!(
            "key={key} promised={:?} accepted={:?} former_promised={promised:?} former_accepted={accepted:?}",
            next.promised, next.accepted
        )
    });
}
