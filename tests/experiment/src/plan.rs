//! Which days are played, and how.

use std::path::PathBuf;

/// One day of a deployment under one seed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Day {
    /// File of the deployment.
    pub site: PathBuf,
    /// Name of the day.
    pub day: String,
    /// Seed of its luck.
    pub seed: u64,
}

impl Day {
    /// A name for tables: the deployment, the day and the seed.
    #[must_use]
    pub fn label(&self) -> String {
        let site = self.site.file_stem().unwrap_or_default();
        format!("{} {} {}", site.to_string_lossy(), self.day, self.seed)
    }
}

/// How days are played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The program that plays days.
    pub bench: PathBuf,
    /// The days; each arm plays all of them.
    pub days: Vec<Day>,
    /// Days that are played at the same time.
    pub jobs: usize,
    /// Whether the processor time of daemons is left out, so that a day repeats.
    pub ignores_cpu: bool,
    /// Why they are played, for the journal.
    pub why: String,
}

impl Plan {
    /// All days of these deployments under all seeds.
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

/// Reads seeds: numbers and ranges such as `1-5`, separated by commas.
///
/// # Errors
///
/// A part that is neither, or a range that ends before it begins.
pub fn parse_seeds(text: &str) -> Result<Vec<u64>, String> {
    let mut seeds = Vec::new();
    for part in text.split(',') {
        let (first, last) = part.split_once('-').unwrap_or((part, part));
        let number = |text: &str| {
            let parsed = text.trim().parse::<u64>();
            parsed.map_err(|_| format!("'{text}' is no seed"))
        };
        let (first, last) = (number(first)?, number(last)?);
        if last < first {
            return Err(format!("'{part}' ends before it begins"));
        }
        seeds.extend(first..=last);
    }
    Ok(seeds)
}
