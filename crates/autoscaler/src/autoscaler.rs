//! The coordinator: takes messages and time, and gives commands and updates.

use crate::configuration;
use crate::ending::expire_runners;
use crate::evaluation::evaluate;
use crate::function_status::{self, FunctionStatus};
use crate::listings;
use crate::options::AutoscalerOptions;
use crate::platform::{RunnerCommand, RunnerListing, StartError, StartedRunner, WorkerListing};
use crate::reports;
use crate::runner_commands;
use crate::scaling_decision::decide_due;
use crate::state::ClusterState;
use crate::updates;
use protocol::{FunctionReport, FunctionUpdate, UpdateVersion};
use routing::RoutingConfiguration;
use std::collections::BTreeSet;

/// Milliseconds between two evaluations of a function of which nothing new was reported: the interval at which arrivals
/// are sampled.
const EVALUATION_INTERVAL_MS: u64 = 250;

/// Decides how many runners exist, where each starts and what each may hold. It has no clock and no threads, and does
/// nothing itself: the caller passes milliseconds of a clock of its own, carries out [`Autoscaler::take_commands`] and
/// sends [`Autoscaler::take_updates`].
pub struct Autoscaler {
    state: ClusterState,
    evaluated_at: u64,
}

impl Autoscaler {
    /// An autoscaler that knows nothing yet. It decides nothing before it has the configuration and both lists.
    #[must_use]
    pub fn new(options: AutoscalerOptions, now: u64) -> Self {
        Self {
            state: ClusterState::new(options, now),
            evaluated_at: now,
        }
    }

    /// Does what is due. To be called every 50 to 100 ms.
    pub fn tick(&mut self, now: u64) {
        let state = &mut self.state;
        state.advance_clock(now);
        if now >= self.evaluated_at + EVALUATION_INTERVAL_MS {
            self.evaluated_at = now;
            for name in state.functions.active().clone() {
                evaluate(state, &name);
            }
        }
        decide_due(state);
        expire_runners(state);
    }

    /// Takes the operator's configuration in force.
    pub fn apply_configuration(&mut self, now: u64, configuration: &RoutingConfiguration) {
        self.state.advance_clock(now);
        configuration::apply_configuration(&mut self.state, configuration);
    }

    /// Takes the zones to evacuate: nothing is placed there, and what is there drains.
    pub fn set_evacuated_zones(&mut self, now: u64, zones: &BTreeSet<String>) {
        self.state.advance_clock(now);
        configuration::set_evacuated_zones(&mut self.state, zones);
    }

    /// Takes the platform's whole list of workers. A worker that it lacks is down.
    pub fn update_workers(&mut self, now: u64, listings: Vec<WorkerListing>) {
        self.state.advance_clock(now);
        listings::update_workers(&mut self.state, listings);
    }

    /// Takes the platform's whole list of runners. Runners that are unknown are adopted.
    pub fn update_runners(&mut self, now: u64, listings: Vec<RunnerListing>) {
        self.state.advance_clock(now);
        listings::update_runners(&mut self.state, listings);
    }

    /// Takes what an owner reports of a function. Where requests wait it is decided at once.
    pub fn handle_report(&mut self, now: u64, owner: &str, report: &FunctionReport) {
        self.state.advance_clock(now);
        reports::handle_report(&mut self.state, owner, report);
    }

    /// Forgets an owner that is gone, or whose counters begin anew.
    pub fn remove_owner(&mut self, owner: &str) {
        self.state.functions.remove_owner(owner);
    }

    /// Commands to give to the platform now, in this order. Each is to be answered by a result.
    #[must_use]
    pub fn take_commands(&mut self) -> Vec<RunnerCommand> {
        runner_commands::take_commands(&mut self.state)
    }

    /// Takes the platform's answer to a start.
    pub fn handle_start_result(
        &mut self,
        now: u64,
        nonce: &str,
        result: Result<StartedRunner, StartError>,
    ) {
        self.state.advance_clock(now);
        runner_commands::handle_start_result(&mut self.state, nonce, result);
    }

    /// Takes the platform's answer to a stop: done (or unknown there), or to be repeated.
    pub fn handle_stop_result(&mut self, now: u64, id: &str, is_done: bool) {
        self.state.advance_clock(now);
        runner_commands::handle_stop_result(&mut self.state, id, is_done);
    }

    /// Updates for the owners of the functions whose runners changed since the last call.
    pub fn take_updates(&mut self) -> Vec<FunctionUpdate> {
        updates::take_updates(&mut self.state)
    }

    /// The present update of a function, for an owner that lacks it. Until the lists were seen once it is empty, with a
    /// version that supersedes no other.
    #[must_use]
    pub fn update_for(&self, function: &str, now: u64) -> FunctionUpdate {
        updates::update_for(&self.state, function, now)
    }

    /// Version of what [`Autoscaler::update_for`] gives, as term and number; zero until the lists were seen once.
    #[must_use]
    pub fn update_version(&self, function: &str) -> UpdateVersion {
        updates::update_version(&self.state, function)
    }

    /// The status of each function that is not asleep, by name.
    #[must_use]
    pub fn function_statuses(&self) -> Vec<FunctionStatus> {
        function_status::function_statuses(&self.state)
    }
}
