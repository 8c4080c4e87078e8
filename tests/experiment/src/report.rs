//! The benchmark's report of one day.

use crate::error::ExperimentError;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;

/// Name of the metric for the net worth, after prices.
pub const WORTH: &str = "worth";
/// Name of the metric for the share of requests that were served.
pub const SERVED: &str = "served";
/// Name of the metric for the sum of all prices.
pub const PRICES: &str = "prices";

/// The report file of one day; only the fields that are needed.
#[derive(Clone, Debug, Deserialize)]
struct RawDayReport {
    #[serde(rename = "G")]
    worth: f64,
    served: f64,
    fault: Option<String>,
    parts: Vec<(String, f64, f64)>,
    prices: Vec<(String, f64, f64)>,
    breaks: BTreeMap<String, serde_json::Value>,
}

/// The metrics of one day.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DayReport {
    /// Net worth, share of requests served, parts of the worth, each price and their sum.
    pub metrics: BTreeMap<String, f64>,
    /// Names of the violated rules, and the fault, if any.
    pub violations: Vec<String>,
}

impl DayReport {
    /// Reads a report file.
    ///
    /// # Errors
    ///
    /// The file cannot be read or is not a valid report.
    pub fn read(path: &Path) -> Result<Self, ExperimentError> {
        let text = std::fs::read_to_string(path).map_err(ExperimentError::io(path))?;
        Self::parse(&text).map_err(|error| ExperimentError::Report {
            path: path.to_path_buf(),
            reason: error.to_string(),
        })
    }

    /// Parses the JSON text of a report.
    ///
    /// # Errors
    ///
    /// The text is not a valid report.
    pub fn parse(text: &str) -> Result<Self, serde_json::Error> {
        let raw: RawDayReport = serde_json::from_str(text)?;
        let mut metrics = BTreeMap::new();
        metrics.insert(WORTH.to_owned(), raw.worth);
        metrics.insert(SERVED.to_owned(), raw.served);
        for (name, _, value) in raw.parts {
            metrics.insert(format!("part: {name}"), value);
        }
        let total: f64 = raw.prices.iter().map(|(_, _, price)| price).sum();
        metrics.insert(PRICES.to_owned(), total);
        for (name, _, price) in raw.prices {
            metrics.insert(format!("price: {name}"), price);
        }
        let violations = raw.breaks.into_keys().chain(raw.fault).collect();
        Ok(Self {
            metrics,
            violations,
        })
    }
}
