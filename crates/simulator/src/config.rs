use crate::faults::Fault;
use std::collections::BTreeMap;

/// Sizes and times of a simulated run.
#[derive(Clone, Debug)]
pub struct Config {
    /// Fronts.
    pub fronts: usize,
    /// Functions.
    pub functions: usize,
    /// Wishes a second over all functions.
    pub requests_per_s: f64,
    /// Milliseconds that a run takes, within a factor of two.
    pub response_time_ms: u64,
    /// Share of runs whose answers are lost.
    pub response_loss: f64,
    /// Share of answers that are cut, unsealed, or another request's.
    pub runner_fault_share: f64,
    /// How many times slower than others each worker's runners are; empty where all are alike.
    pub slowness: Vec<u64>,
    /// How long once-keys are remembered, in milliseconds.
    pub claim_ms: u64,
    /// Failures in place of random ones.
    pub scripted_faults: Option<Vec<(u64, Fault)>>,
    /// Failures come between these times, in milliseconds.
    pub fault_window_ms: (u64, u64),
    /// The run ends at this time.
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

/// What came of a run.
#[derive(Debug)]
pub struct Verdict {
    /// Seed of the run.
    pub seed: u64,
    /// What must never happen and did.
    pub violations: Vec<String>,
    /// Runs on runners.
    pub runs: usize,
    /// Puts that were acknowledged.
    pub puts: usize,
    /// Wishes by the outcome that their callers got.
    pub outcomes: BTreeMap<&'static str, usize>,
    /// The failures that were brought about.
    pub faults: Vec<(u64, Fault)>,
    /// What the oracle's checks looked at.
    pub case_counts: BTreeMap<&'static str, usize>,
    /// When answers came and how long they took, in milliseconds.
    pub took_ms: Vec<(u64, u64)>,
}
