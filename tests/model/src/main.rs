//! Command line of the model checker, for scopes that are too large for the test suite.

use clap::{Parser, ValueEnum};
use model::consensus::{Consensus, FaultScope};
use model::ownership::{Ownership, Script};
use model::registers::Registers;
use model::{explore, Limits};
use std::process::ExitCode;

/// The model to explore.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum ModelChoice {
    /// Complete consensus instances under every schedule of a bounded number of faults.
    Consensus,
    /// Every interleaving of messages between proposers, voters and a new member.
    Registers,
    /// Every interleaving of messages between three seat owners, of which one joins and one leaves.
    Ownership,
}

/// Explores the reachable states of a model breadth first.
#[derive(Parser)]
struct Options {
    /// Model to explore.
    #[arg(value_enum)]
    model: ModelChoice,
    /// Maximum number of steps from the initial state.
    #[arg(long, default_value_t = 12)]
    depth: usize,
    /// Maximum number of distinct states.
    #[arg(long, default_value_t = 20_000_000)]
    states: usize,
    /// Number of threads that expand states.
    #[arg(long, default_value_t = 1)]
    threads: usize,
    /// Maximum number of faults in one schedule; for ownership, of lost links.
    #[arg(long, default_value_t = 2)]
    faults: usize,
    /// Excludes faults of single links.
    #[arg(long)]
    no_links: bool,
    /// Proposers that write the register (registers only).
    #[arg(long, default_value_t = 2)]
    writers: u64,
    /// Proposers that read the register (registers), or client requests (ownership).
    #[arg(long, default_value_t = 1)]
    readers: u64,
    /// Retries of a preempted proposer (registers only).
    #[arg(long, default_value_t = 1)]
    tries: u64,
    /// Controllers outside the initial voter set.
    #[arg(long, default_value_t = 1)]
    newcomers: usize,
    /// Durations of an interruption, in rounds.
    #[arg(long, value_delimiter = ',', default_value = "3,9")]
    spans: Vec<u64>,
    /// Number of messages that a controller handles in a round before it crashes.
    #[arg(long, value_delimiter = ',', default_value = "0,3,6")]
    crash_points: Vec<usize>,
}

fn main() -> ExitCode {
    let options = Options::parse();
    let limits = Limits {
        depth: options.depth,
        states: options.states,
        threads: options.threads,
    };
    let report = match options.model {
        ModelChoice::Consensus => explore(
            &Consensus {
                members: 3,
                newcomers: options.newcomers,
                faults: options.faults,
                scope: FaultScope {
                    spans: options.spans,
                    crash_points: options.crash_points,
                    has_links: !options.no_links,
                },
            },
            limits,
        ),
        ModelChoice::Ownership => explore(
            &Ownership {
                gateways: 3,
                script: Script::beginning_with(&[0, 1]).then_joins(2).then_leaves(0),
                requests: options.readers as usize,
                lost_links: options.faults,
            },
            limits,
        ),
        ModelChoice::Registers => explore(
            &Registers {
                writers: options.writers,
                readers: options.readers,
                has_new_member: options.newcomers > 0,
                max_retries: options.tries,
            },
            limits,
        ),
    };
    println!("{report}");
    match report.counterexample {
        None => ExitCode::SUCCESS,
        Some(_) => ExitCode::FAILURE,
    }
}
