//! Explores a model in a test.

use model::{explore, Limits, Model, Report};

/// Explores a model to a depth. Fails if an invariant is violated or if the state limit is reached before every state within the
/// depth was visited.
pub fn explored(model: &impl Model, depth: usize, states: usize) -> Report {
    let limits = Limits {
        depth,
        states,
        threads: 2,
    };
    let report = explore(model, limits);
    println!("{report}");
    assert!(report.counterexample.is_none(), "{report}");
    assert!(report.is_exhausted, "{report}");
    report
}
