//! The fronts of the fleet, merged from the lists of all cores.
//!
//! One core's list may be incomplete: a core that has just started responds before it has heard from any front, and a
//! partitioned core hears from only some.

use crate::cores::{CliError, CoreResponse, Cores};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A front's address, from the core that heard from it most recently.
struct FrontEntry {
    http: Option<SocketAddr>,
    heard_ms_ago: u64,
}

/// All fronts that at least one core hears from.
pub struct KnownFronts {
    fronts: BTreeMap<String, FrontEntry>,
}

impl KnownFronts {
    /// Requests the status of all cores and merges their lists of fronts.
    pub fn fetch(cores: &Cores) -> Result<Self, CliError> {
        let statuses = cores.statuses()?;
        Ok(Self::from_statuses(&statuses))
    }

    /// Merges the cores' lists; if several list a front, the most recently heard entry is used.
    pub fn from_statuses(statuses: &[CoreResponse]) -> Self {
        let mut fronts = BTreeMap::new();
        let reported = statuses.iter().filter_map(|(_, status)| status.as_ref());
        for front in reported.flat_map(|status| status["fronts"].as_array().into_iter().flatten()) {
            merge(&mut fronts, front);
        }
        Self { fronts }
    }

    /// Address of a front's operator port.
    pub fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.fronts.get(name)?.http
    }

    /// All fronts in the order of their names, each with the address of its operator port.
    pub fn addresses(&self) -> impl Iterator<Item = (&String, Option<SocketAddr>)> {
        self.fronts.iter().map(|(name, front)| (name, front.http))
    }
}

fn merge(fronts: &mut BTreeMap<String, FrontEntry>, reported: &Value) {
    let Some(name) = reported["name"].as_str() else {
        return;
    };
    let heard_ms_ago = reported["heard_ms_ago"].as_u64().unwrap_or(u64::MAX);
    let existing = fronts.get(name);
    if existing.is_some_and(|existing| existing.heard_ms_ago <= heard_ms_ago) {
        return;
    }
    let http = reported["http"].as_str().and_then(|text| text.parse().ok());
    let front = FrontEntry { http, heard_ms_ago };
    fronts.insert(name.to_string(), front);
}
