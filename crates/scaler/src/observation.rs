use configuration::{Configuration, FunctionSpec, PeerRef, Plan, Version};
use request_queue::FrontReport;
use serde::Serialize;
use std::collections::BTreeMap;

/// A worker as the platform lists it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Worker {
    /// Its name.
    pub name: String,
    /// Its zone.
    #[serde(rename = "district")]
    pub zone: String,
    /// IP number that its runners are reached at.
    pub host: String,
    /// Memory for runners, in megabytes.
    pub memory_mb: u64,
    /// First port for runners.
    pub first_port: u16,
    /// How many ports there are for runners.
    pub ports: u16,
    /// Whether it is being emptied.
    pub is_leaving: bool,
}

/// State of a runner in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ListedState {
    /// Starting or up.
    Up,
    /// Notified to leave by the platform.
    Leaving,
}

/// A runner in the platform's list.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ListedRunner {
    /// Its id.
    pub id: String,
    /// Its state.
    pub state: ListedState,
    /// Address that it has, where the platform tells.
    pub address: Option<String>,
}

/// A front as the scaler knows it.
#[derive(Clone, Debug)]
pub struct FrontObservation {
    /// Which front, in which of its incarnations.
    pub peer: PeerRef,
    /// When it was last heard.
    pub heard_at: u64,
    /// What it said.
    pub report: FrontReport,
}

/// All that the scaler sees at one moment.
pub struct Observation<'a> {
    /// Now.
    pub now: u64,
    /// Version that a plan written now would have.
    pub next: Version,
    /// Term of the role.
    pub term: u64,
    /// The configuration in force.
    pub configuration: &'a Configuration,
    /// The plan in force.
    pub plan: &'a Plan,
    /// Workers by the platform's list; it lags.
    pub workers: &'a [Worker],
    /// Runners by the platform's list; it lags.
    pub listed: &'a [ListedRunner],
    /// Fronts by name.
    pub fronts: &'a BTreeMap<String, FrontObservation>,
}

impl Observation<'_> {
    /// Whether a front is heard, is the same incarnation and does not drain.
    pub fn is_live(&self, front: &FrontObservation) -> bool {
        let lease = self.configuration.bounds.lease_ms();
        self.now < front.heard_at + lease && !front.report.is_draining
    }

    /// The worker of a name.
    pub fn worker(&self, name: &str) -> Option<&Worker> {
        self.workers.iter().find(|worker| worker.name == name)
    }

    /// The highest priority of a function's kinds of requests; 0 goes first.
    pub(crate) fn priority_of(&self, function_spec: &FunctionSpec) -> u8 {
        let kinds = function_spec.kinds.iter();
        let priorities = kinds.filter_map(|kind| self.configuration.kind(kind));
        let highest = priorities.map(|(priority, _)| priority).min();
        highest.unwrap_or(u8::MAX)
    }
}
