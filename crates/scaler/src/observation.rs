use configuration::{Configuration, FunctionSpec, PeerRef, Plan, Version};
use request_queue::FrontReport;
use serde::Serialize;
use std::collections::BTreeMap;

/// A worker from the list of the platform.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Worker {
    /// Unique name of the worker.
    pub name: String,
    /// Zone that the worker is in.
    #[serde(rename = "district")]
    pub zone: String,
    /// IP address at which its runners are reached.
    pub host: String,
    /// Memory available to runners, in megabytes.
    pub memory_mb: u64,
    /// First port of the range for runners.
    pub first_port: u16,
    /// Number of ports in the range for runners.
    pub ports: u16,
    /// Whether the worker is being removed, so that its runners have to drain.
    pub is_leaving: bool,
}

/// State of a runner in the list of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ListedState {
    /// The runner is starting or running.
    Up,
    /// The platform is about to remove the runner.
    Leaving,
}

/// A runner from the list of the platform.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ListedRunner {
    /// Id of the runner, as in the plan.
    pub id: String,
    /// State that the platform reports.
    pub state: ListedState,
    /// Address of the runner, if the platform reports it.
    pub address: Option<String>,
}

/// The latest report received from a front.
#[derive(Clone, Debug)]
pub struct FrontObservation {
    /// Name and incarnation of the front.
    pub peer: PeerRef,
    /// Time of the last message from it, in milliseconds.
    pub heard_at: u64,
    /// Content of its latest report.
    pub report: FrontReport,
}

/// The state of the cluster as seen by the scaler at one moment.
pub struct Observation<'a> {
    /// Current time, in milliseconds.
    pub now: u64,
    /// Version that the next plan gets.
    pub next: Version,
    /// Term in which this scaler holds its role.
    pub term: u64,
    /// The configuration currently in force.
    pub configuration: &'a Configuration,
    /// The plan currently in force.
    pub plan: &'a Plan,
    /// Workers from the platform's list, which lags behind the actual state.
    pub workers: &'a [Worker],
    /// Runners from the platform's list, which lags behind the actual state.
    pub listed: &'a [ListedRunner],
    /// Latest observation of each front, by name.
    pub fronts: &'a BTreeMap<String, FrontObservation>,
}

impl Observation<'_> {
    /// Whether a front has been heard from within the lease duration and is not draining.
    pub fn is_live(&self, front: &FrontObservation) -> bool {
        let lease = self.configuration.bounds.lease_ms();
        self.now < front.heard_at + lease && !front.report.is_draining
    }

    /// Finds a worker by name.
    pub fn worker(&self, name: &str) -> Option<&Worker> {
        self.workers.iter().find(|worker| worker.name == name)
    }

    /// The most urgent priority among a function's request kinds. 0 is the most urgent, `u8::MAX` applies without kinds.
    pub(crate) fn priority_of(&self, function_spec: &FunctionSpec) -> u8 {
        let kinds = function_spec.kinds.iter();
        let priorities = kinds.filter_map(|kind| self.configuration.kind(kind));
        let highest = priorities.map(|(priority, _)| priority).min();
        highest.unwrap_or(u8::MAX)
    }
}
