//! The days that an experiment runs, and the options for running them.

use std::path::PathBuf;

/// One day (workload scenario) on one deployment with one seed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Day {
    /// Deployment file.
    pub site: PathBuf,
    /// Name of the day.
    pub day: String,
    /// Seed of the random number generators.
    pub seed: u64,
}

impl Day {
    /// Label for tables: deployment, day and seed.
    #[must_use]
    pub fn label(&self) -> String {
        let site = self.site.file_stem().unwrap_or_default();
        format!("{} {} {}", site.to_string_lossy(), self.day, self.seed)
    }
}

/// The days of an experiment and how to run them.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Benchmark program that runs the days.
    pub bench: PathBuf,
    /// The days; each arm runs all of them.
    pub days: Vec<Day>,
    /// Number of days that run at the same time.
    pub jobs: usize,
    /// Whether the CPU time of daemons is left out, so that a day is reproducible.
    pub ignores_cpu: bool,
    /// Description of the change, for the journal.
    pub why: String,
}

impl Plan {
    /// All combinations of deployments, days and seeds.
    #[must_use]
    pub fn all_days(sites: &[PathBuf], days: &[String], seeds: &[u64]) -> Vec<Day> {
        let mut all = Vec::new();
        for site in sites {
            for day in days {
                all.extend(seeds.iter().map(|seed| Day {
                    site: site.clone(),
                    day: day.clone(),
                    seed: *seed,
                }));
            }
        }
        all
    }
}

/// Parses seeds: comma-separated numbers and ranges such as `1-5`.
///
/// # Errors
///
/// A part is neither a number nor a range, or a range ends before it begins.
pub fn parse_seeds(text: &str) -> Result<Vec<u64>, String> {
    let mut seeds = Vec::new();
    for part in text.split(',') {
        let (first, last) = part.split_once('-').unwrap_or((part, part));
        let number = |text: &str| {
            let parsed = text.trim().parse::<u64>();
            parsed.map_err(|_| format!("'{text}' is not a seed"))
        };
        let (first, last) = (number(first)?, number(last)?);
        if last < first {
            return Err(format!("'{part}' ends before it begins"));
        }
        seeds.extend(first..=last);
    }
    Ok(seeds)
}
