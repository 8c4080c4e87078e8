//! The explorer visits each state once, finds shortest counterexamples, and gives the same result for any number of threads.

use model::{explore, Limits, Model};

/// Two counters; each step increments one of them.
struct Counters {
    max: u8,
    forbidden: Option<(u8, u8)>,
}

#[derive(Clone, Debug)]
enum Count {
    Left,
    Right,
}

impl Model for Counters {
    type State = (u8, u8);
    type Action = Count;

    fn initial_states(&self) -> Vec<(u8, u8)> {
        vec![(0, 0)]
    }

    fn actions(&self, state: &(u8, u8)) -> Vec<Count> {
        let mut actions = Vec::new();
        if state.0 < self.max {
            actions.push(Count::Left);
        }
        if state.1 < self.max {
            actions.push(Count::Right);
        }
        actions
    }

    fn apply(&self, state: &(u8, u8), action: &Count) -> Result<(u8, u8), String> {
        Ok(match action {
            Count::Left => (state.0 + 1, state.1),
            Count::Right => (state.0, state.1 + 1),
        })
    }

    fn check(&self, state: &(u8, u8)) -> Result<(), String> {
        match self.forbidden {
            Some(forbidden) if forbidden == *state => Err("forbidden".into()),
            _ => Ok(()),
        }
    }

    fn fingerprint(&self, state: &(u8, u8)) -> u128 {
        u128::from(state.0) << 8 | u128::from(state.1)
    }
}

fn limits(depth: usize, threads: usize) -> Limits {
    Limits {
        depth,
        states: 1_000,
        threads,
    }
}

#[test]
fn every_state_is_visited_once_for_any_number_of_threads() {
    let model = Counters {
        max: 9,
        forbidden: None,
    };
    for threads in [1, 3] {
        let report = explore(&model, limits(100, threads));
        assert_eq!(
            (report.states, report.transitions, report.depth),
            (100, 180, 18)
        );
        assert!(report.is_closed && report.is_exhausted);
    }
}

#[test]
fn a_depth_limit_that_leaves_states_unvisited_is_reported() {
    let model = Counters {
        max: 9,
        forbidden: None,
    };
    let report = explore(&model, limits(3, 1));
    assert_eq!(report.states, 10);
    assert!(report.is_exhausted && !report.is_closed);
}

#[test]
fn a_violated_invariant_is_reported_with_a_shortest_list_of_actions() {
    let model = Counters {
        max: 9,
        forbidden: Some((2, 1)),
    };
    let report = explore(&model, limits(100, 2));
    let counterexample = report.counterexample.expect("the state is reachable");
    assert_eq!(counterexample.actions.len(), 3);
    assert!(!report.is_exhausted);
}
