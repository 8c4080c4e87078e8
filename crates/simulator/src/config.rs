use crate::faults::Fault;
use std::collections::BTreeMap;

/// Sizes, rates and durations of a simulated run.
#[derive(Clone, Debug)]
pub struct Config {
    /// Number of fronts.
    pub fronts: usize,
    /// Number of functions.
    pub functions: usize,
    /// Caller requests per second over all functions.
    pub requests_per_s: f64,
    /// Nominal duration of a run in milliseconds; actual durations vary between half and twice this.
    pub response_time_ms: u64,
    /// Share of runs whose responses are lost.
    pub response_loss: f64,
    /// Share of responses that are truncated, carry no valid seal or belong to another request.
    pub runner_fault_share: f64,
    /// Slowdown factor of each worker's runners, by worker number; empty if all run at the same speed.
    pub slowness: Vec<u64>,
    /// How long claims of idempotency keys are kept, in milliseconds.
    pub claim_ms: u64,
    /// Faults to inject at fixed times (ms) instead of random ones.
    pub scripted_faults: Option<Vec<(u64, Fault)>>,
    /// Random faults start and end within this interval, in milliseconds.
    pub fault_window_ms: (u64, u64),
    /// Virtual time at which the run ends, in milliseconds.
    pub end_ms: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            fronts: 5,
            functions: 6,
            requests_per_s: 60.0,
            response_time_ms: 60,
            response_loss: 0.01,
            runner_fault_share: 0.01,
            slowness: Vec::new(),
            claim_ms: 600_000,
            scripted_faults: None,
            fault_window_ms: (6_000, 16_000),
            end_ms: 32_000,
        }
    }
}

/// Result of a simulated run.
#[derive(Debug)]
pub struct Verdict {
    /// Seed of the run.
    pub seed: u64,
    /// Violated invariants, with the time of each.
    pub violations: Vec<String>,
    /// Requests that runners executed.
    pub runs: usize,
    /// Configuration puts that were acknowledged.
    pub puts: usize,
    /// Number of caller requests by the outcome reported to the caller.
    pub outcomes: BTreeMap<&'static str, usize>,
    /// Faults that were injected, with their times in milliseconds.
    pub faults: Vec<(u64, Fault)>,
    /// How many cases each of the oracle's checks examined.
    pub case_counts: BTreeMap<&'static str, usize>,
    /// Time and duration of each response, in milliseconds.
    pub took_ms: Vec<(u64, u64)>,
}
