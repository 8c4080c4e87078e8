//! The fronts of the fleet, by what all cores hear of them.
//!
//! A core that has just started answers before it hears any front, and one whose links are cut hears only some. No single core's list is
//! therefore taken for the fleet's.

use crate::cores::{CliError, CoreAnswer, Cores};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Where a front was heard last.
struct HeardFront {
    http: Option<SocketAddr>,
    heard_ms_ago: u64,
}

/// The fronts that any core hears.
pub struct KnownFronts {
    fronts: BTreeMap<String, HeardFront>,
}

impl KnownFronts {
    /// Asks all cores for the fronts that they hear.
    pub fn ask(cores: &Cores) -> Result<Self, CliError> {
        let statuses = cores.statuses()?;
        Ok(Self::from_statuses(&statuses))
    }

    /// Merges the cores' lists; of a front that several hear, what was heard last counts.
    pub fn from_statuses(statuses: &[CoreAnswer]) -> Self {
        let mut fronts = BTreeMap::new();
        let reported = statuses.iter().filter_map(|(_, status)| status.as_ref());
        for front in reported.flat_map(|status| status["fronts"].as_array().into_iter().flatten()) {
            merge(&mut fronts, front);
        }
        Self { fronts }
    }

    /// The address of a front's operator port.
    pub fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.fronts.get(name)?.http
    }

    /// All fronts by name, each with the address of its operator port.
    pub fn addresses(&self) -> impl Iterator<Item = (&String, Option<SocketAddr>)> {
        self.fronts.iter().map(|(name, front)| (name, front.http))
    }
}

fn merge(fronts: &mut BTreeMap<String, HeardFront>, reported: &Value) {
    let Some(name) = reported["name"].as_str() else {
        return;
    };
    let heard_ms_ago = reported["heard_ms_ago"].as_u64().unwrap_or(u64::MAX);
    let known = fronts.get(name);
    if known.is_some_and(|known| known.heard_ms_ago <= heard_ms_ago) {
        return;
    }
    let http = reported["http"].as_str().and_then(|text| text.parse().ok());
    let front = HeardFront { http, heard_ms_ago };
    fronts.insert(name.to_string(), front);
}
