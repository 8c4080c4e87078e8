//! The daemons of the control plane. A controller replicates the configuration with the other controllers, distributes it to
//! the gateways, and scales functions by sending requests to the platform. A redirector runs on a machine without a disk and
//! redirects operators to controllers.
//!
//! # Parts of a controller
//!
//! A controller runs on one thread, plus one for the disk. Each part owns the state listed here, which changes only through the
//! part's methods. `controller` connects the parts: no part imports it, and none accesses another part's state.
//!
//! | module | owns | decides |
//! |---|---|---|
//! | `peer_links` | links to the other controllers, connection attempts | when to reconnect |
//! | `gateway_table` | links to gateways, when each was last seen, the heartbeat schedule | which gateways have timed out |
//! | `operator_service` | operators' connections (`operator_inbox`), commands (`operator_requests`) | how a request is handled (`operator_routing`), when a command times out |
//! | `job_registers` | reads and writes of job registers in progress | how many run concurrently, when old jobs expire |
//! | `committed_configuration` | the committed configuration, its recent changes, the evacuated zones | which updates a gateway needs |
//! | `scaler` | the autoscaler of the term, incarnations of reporting gateways | how to handle reports, platform responses and a new term |
//! | `ownership_publisher` | the published ownership table, and which gateways still lack it | when it changes |
//! | `platform_client` | queued and in-flight platform requests, idle connections | which connection carries which request |
//! | `platform_lists` | pages of the runner list, when each list was last requested | when to request them again |
//! | `metrics_service` | connections to the metrics endpoint | when such a connection is closed |
//! | `disk_thread` | the voter's disk, on a thread of its own | which writes share one sync |
//! | `connections` | the event loop, and the kind of each connection | which connections' events are handled |
//! | `shutdown_deadline` | the forced exit of a process that does not stop in time | when it happens |
//! | `clock`, `daemon_loop` | time and ticks | the order of the steps of a loop iteration |
//!
//! The crate `consensus` decides who votes, what is committed and which controller holds the scaler role; `operator_commands`
//! decides the outcome of a command, and `autoscaler` which runners are started and stopped.
//!
//! # How a configuration change propagates
//!
//! 1. `operator_inbox` reads the request from its connection; `operator_routing` parses its command. A controller that is not in
//!    contact with a majority redirects the operator to one that is.
//! 2. `operator_requests` begins a `CommandExecution`, and the consensus reads the register from a majority.
//! 3. The execution evaluates what was read: it either replies, or requests a write conditional on the version that was read.
//! 4. The consensus reports that the value is committed; `operator_service` acknowledges the command.
//! 5. `committed_configuration` takes the committed value, here and at every other controller that learns of it.
//! 6. The scaler applies it, and `gateway_table` sends a heartbeat with the new version to all gateways immediately.
//! 7. Each gateway requests what it lacks, and receives the changes or, if it is too far behind, the complete configuration.
//!
//! # The redirector
//!
//! It shares `operator_inbox`, `operator_response`, `connections`, `clock` and `daemon_loop` with the controller.
//! `member_directory` tracks which controllers are alive and in contact with a majority.

mod clock;
mod codec;
mod committed_configuration;
mod connections;
mod controller;
mod controller_connections;
mod daemon_loop;
mod disk_thread;
mod error;
mod gateway_table;
mod job_registers;
mod member_directory;
mod metrics_service;
mod operator_inbox;
mod operator_requests;
mod operator_response;
mod operator_routing;
mod operator_service;
mod options;
mod outbox;
mod ownership_publisher;
mod peer_links;
mod platform_client;
mod platform_lists;
mod recent_changes;
mod redirector;
mod regional_configuration;
mod scaler;
mod shutdown_deadline;
mod status;
mod term_check;

pub use codec::{
    CommandParseError, FencingToken, OperatorCodec, PlatformCodec, PlatformRequest, RunnerPage,
    StartResult, UnreadableResponse,
};
pub use controller::run;
pub use error::ControllerError;
pub use member_directory::MemberDirectory;
pub use options::{ControllerOptions, SeedReloader};
pub use peer_links::PeerFrame;
pub use redirector::{run_redirector, RedirectorOptions};

#[cfg(test)]
#[path = "../tests/unit/broken_invariants.rs"]
mod broken_invariants_tests;
#[cfg(test)]
#[path = "../tests/unit/operator_reads/mod.rs"]
mod operator_reads_tests;
#[cfg(test)]
#[path = "../tests/unit/ownership_publisher.rs"]
mod ownership_publisher_tests;
#[cfg(test)]
#[path = "../tests/unit/peer_links.rs"]
mod peer_links_tests;
#[cfg(test)]
#[path = "../tests/unit/platform_client.rs"]
mod platform_client_tests;
#[cfg(test)]
#[path = "../tests/unit/platform_lists.rs"]
mod platform_lists_tests;
#[cfg(test)]
#[path = "../tests/unit/process_pauses.rs"]
mod process_pauses_tests;
#[cfg(test)]
#[path = "../tests/unit/scaler_role.rs"]
mod scaler_role_tests;
#[cfg(test)]
#[path = "../tests/unit/shutdown_deadline.rs"]
mod shutdown_deadline_tests;
