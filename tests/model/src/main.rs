//! Command line of the model checks, for scopes that are too large for each run of the tests.

use clap::{Parser, ValueEnum};
use model::councils::{Councils, FaultScope};
use model::{explore, Limits};
use std::process::ExitCode;

/// Which model is explored.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Which {
    /// Whole councils under every schedule of a few faults.
    Councils,
}

/// Explores a model's reachable states, breadth first.
#[derive(Parser)]
struct Options {
    /// The model.
    #[arg(value_enum)]
    model: Which,
    /// Most steps from the initial state.
    #[arg(long, default_value_t = 12)]
    depth: usize,
    /// Most distinct states.
    #[arg(long, default_value_t = 20_000_000)]
    states: usize,
    /// Threads.
    #[arg(long, default_value_t = 1)]
    threads: usize,
    /// Most faults of one schedule.
    #[arg(long, default_value_t = 2)]
    faults: usize,
    /// Leaves out faults of single links.
    #[arg(long)]
    no_links: bool,
    /// Controllers outside the first set.
    #[arg(long, default_value_t = 1)]
    newcomers: usize,
    /// Rounds for which an interruption lasts.
    #[arg(long, value_delimiter = ',', default_value = "3,9")]
    spans: Vec<u64>,
    /// Messages that a controller handles in a round before it crashes.
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
        Which::Councils => explore(
            &Councils {
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
    };
    println!("{report}");
    match report.counterexample {
        None => ExitCode::SUCCESS,
        Some(_) => ExitCode::FAILURE,
    }
}
