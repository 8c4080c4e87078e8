//! The state that a controller publishes about itself: heartbeats to gateways, and the status page.

use crate::committed_configuration::CommittedConfiguration;
use crate::options::ControllerOptions;
use autoscaler::FunctionStatus;
use consensus::Consensus;
use protocol::Message;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// The sources of a controller's heartbeat and status.
pub(crate) struct ControllerStatus<'a> {
    /// Milliseconds since the start.
    pub now: u64,
    /// Settings.
    pub options: &'a ControllerOptions,
    /// The consensus.
    pub consensus: &'a Consensus,
    /// The committed configuration and evacuations.
    pub configuration: &'a CommittedConfiguration,
}

impl ControllerStatus<'_> {
    /// Whether this controller is in contact with a majority, so that its state is up to date.
    pub fn is_current(&self) -> bool {
        self.consensus.is_current(self.now)
    }

    /// Addresses on which the controllers listen for gateways.
    pub fn controller_addresses(&self) -> Vec<String> {
        let controllers = self.consensus.known_controllers();
        let addresses = controllers.iter().filter_map(|address| {
            let address: SocketAddr = address.parse().ok()?;
            let address = SocketAddr::new(address.ip(), self.options.gateway_port);
            Some(address.to_string())
        });
        addresses.collect()
    }

    /// Builds the heartbeat to gateways, with the versions in force and the given controller addresses. The addresses may be
    /// left out for gateways that have already been sent them.
    pub fn heartbeat(&self, controllers: Vec<String>) -> Message {
        Message::ControllerHeartbeat {
            configuration_version: self.configuration.version(),
            evacuations_version: self.configuration.evacuations_version(),
            term: self.consensus.role_term(self.now).unwrap_or(0),
            controllers,
            zone: self.options.zone.clone(),
            is_current: self.is_current(),
        }
    }

    /// The state as JSON text, with the number of linked gateways and the autoscaler's view of each function in use.
    /// `functions` is empty at a controller that is not the scaler.
    pub fn to_json(&self, gateway_count: usize, functions: &[FunctionStatus]) -> String {
        let consensus = self.consensus;
        let configuration = self.configuration;
        let functions: Vec<Value> = functions.iter().map(function_json).collect();
        json!({
            "name": self.options.name,
            "version": configuration.record().version,
            "marks": [configuration.version(), configuration.evacuations_version()],
            "term": consensus.role_term(self.now).unwrap_or(0),
            "consensus": consensus.status(),
            "controllers": consensus.known_controllers(),
            "current": self.is_current(),
            "invariant_violations": invariants::total_violations(),
            "gateways": gateway_count,
            "closed": configuration.evacuated_zones(),
            "functions": functions,
        })
        .to_string()
    }
}

fn function_json(status: &FunctionStatus) -> Value {
    json!({
        "function": status.function,
        "measured": status.measured_rate,
        "forecast": status.forecast_rate,
        "waiting": status.waiting,
        "demand": status.demand,
        "capacity": status.capacity,
        "pace_ms": status.service_time_ms,
        "runners": status.runners,
        "seats": status.seats,
        "reason": status.last_decision,
    })
}
