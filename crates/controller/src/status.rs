//! What a controller publishes about itself, to gateways and to operators.

use crate::committed_configuration::CommittedConfiguration;
use crate::options::ControllerOptions;
use autoscaler::FunctionStatus;
use consensus::Consensus;
use protocol::Message;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// What a controller's heartbeat and status are made of.
pub(crate) struct ControllerStatus<'a> {
    /// Milliseconds since the start.
    pub now: u64,
    /// Settings.
    pub options: &'a ControllerOptions,
    /// The consensus.
    pub consensus: &'a Consensus,
    /// Configuration and evacuations in force.
    pub configuration: &'a CommittedConfiguration,
}

impl ControllerStatus<'_> {
    /// Whether this controller is in contact with a majority, so that what it knows is current.
    pub fn is_current(&self) -> bool {
        self.consensus.is_current(self.now)
    }

    /// Addresses at which the controllers listen for gateways.
    pub fn controller_addresses(&self) -> Vec<String> {
        let controllers = self.consensus.known_controllers();
        let addresses = controllers.iter().filter_map(|address| {
            let address: SocketAddr = address.parse().ok()?;
            let address = SocketAddr::new(address.ip(), self.options.gateway_port);
            Some(address.to_string())
        });
        addresses.collect()
    }

    /// The heartbeat to gateways: which versions are in force, and these addresses of controllers. One that goes to a gateway that was
    /// told them before needs none.
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

    /// The state as JSON text, with the number of gateways that have a link, and what the scaler thinks of each function in
    /// use; it thinks of none at a controller that does not scale.
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
