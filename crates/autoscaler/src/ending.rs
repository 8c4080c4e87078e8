//! Timeouts of runners that are being taken out of service, and of starts that take too long.

use crate::draining::is_drained;
use crate::runner::{Runner, RunnerState};
use crate::state::ClusterState;

/// Stops or removes runners whose drain is complete or whose timeout has expired, and stops runners whose start timed out.
pub(crate) fn expire_runners(state: &mut ClusterState) {
    for serial in state.runners.ending() {
        expire_ending(state, serial);
    }
    for serial in timed_out_starts(state) {
        let runner = state.runners.get(serial);
        let id = runner.and_then(|runner| runner.id.clone());
        log::warn!("scaler: runner start timed out runner={id:?}");
        state.set_runner_state(serial, RunnerState::STOP_NOW);
    }
}

/// Serials of runners that were started and are still not up after the start timeout.
fn timed_out_starts(state: &ClusterState) -> Vec<u64> {
    let has_timed_out = |runner: &Runner| {
        let function = state.functions.get(&runner.function);
        function.is_some_and(|function| {
            let limit_ms = state
                .options
                .start_limit_ms(function.configuration().start_ms);
            state.now >= runner.id_known_at + limit_ms
        })
    };
    let starting = state.runners.starting();
    let late = starting.filter(|(_, runner)| has_timed_out(runner));
    late.map(|(serial, _)| serial).collect()
}

/// What to do with a runner whose state has expired.
enum Expiry {
    /// Stop it. If it no longer exists, the stop has no effect.
    Stop,
    /// Remove it from the state: if the start had succeeded, a list would show the runner by now.
    Forget,
}

fn expire_ending(state: &mut ClusterState, serial: u64) {
    let Some(runner) = state.runners.get(serial) else {
        return;
    };
    match expiry_of(state, runner) {
        Some(Expiry::Stop) => state.set_runner_state(serial, RunnerState::STOP_NOW),
        Some(Expiry::Forget) => state.forget_runner(serial),
        None => {}
    }
}

fn expiry_of(state: &ClusterState, runner: &Runner) -> Option<Expiry> {
    let options = &state.options;
    let start_limit_ms = options.start_limit_ms(state.functions.start_ms(&runner.function));
    let has_passed = |since: u64, limit_ms: u64| state.now >= since + limit_ms;
    match runner.state {
        RunnerState::Draining { since, .. } => {
            is_drained(state, runner, since).then_some(Expiry::Stop)
        }
        RunnerState::Unreachable { since } => {
            let limit_ms = start_limit_ms.max(options.unlisted_ms());
            has_passed(since, limit_ms).then_some(Expiry::Stop)
        }
        RunnerState::Terminating { since } => {
            let longest_ms = state.functions.longest_timeout_ms();
            let limit_ms = options.drain_ms + longest_ms + start_limit_ms;
            // A runner that was listed before is removed once lists no longer show it.
            (!runner.was_listed && has_passed(since, limit_ms)).then_some(Expiry::Stop)
        }
        RunnerState::StartUnconfirmed { since } => {
            has_passed(since, start_limit_ms).then_some(Expiry::Forget)
        }
        _ => None,
    }
}
