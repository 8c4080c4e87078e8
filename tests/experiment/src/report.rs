//! What the bench reports of one day.

use crate::error::ExperimentError;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;

/// Metric of the worth after prices.
pub const WORTH: &str = "worth";
/// Metric of the share of requests that were served.
pub const SERVED: &str = "served";
/// Metric of all prices together.
pub const PRICES: &str = "prices";

/// One day as the bench reports it; fields that are not needed are left out.
#[derive(Clone, Debug, Deserialize)]
struct DayForm {
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
    /// Worth, the share served, the parts of the worth, and each price.
    pub metrics: BTreeMap<String, f64>,
    /// Names of the rules that were broken, and the fault, if any.
    pub violations: Vec<String>,
}

impl DayReport {
    /// Reads a report.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or is no report.
    pub fn read(path: &Path) -> Result<Self, ExperimentError> {
        let text = std::fs::read_to_string(path).map_err(ExperimentError::io(path))?;
        Self::parse(&text).map_err(|error| ExperimentError::Report {
            path: path.to_path_buf(),
            reason: error.to_string(),
        })
    }

    /// Parses the text of a report.
    ///
    /// # Errors
    ///
    /// The text is no report.
    pub fn parse(text: &str) -> Result<Self, serde_json::Error> {
        let form: DayForm = serde_json::from_str(text)?;
        let mut metrics = BTreeMap::new();
        metrics.insert(WORTH.to_owned(), form.worth);
        metrics.insert(SERVED.to_owned(), form.served);
        for (name, _, value) in form.parts {
            metrics.insert(format!("part: {name}"), value);
        }
        let total: f64 = form.prices.iter().map(|(_, _, price)| price).sum();
        metrics.insert(PRICES.to_owned(), total);
        for (name, _, price) in form.prices {
            metrics.insert(format!("price: {name}"), price);
        }
        let violations = form.breaks.into_keys().chain(form.fault).collect();
        Ok(Self {
            metrics,
            violations,
        })
    }
}
