//! The daemons of the control plane: a controller stores the configuration together with the other controllers, brings it to the
//! gateways, and scales functions by requests to the platform; a redirector, on a machine without a disk, sends operators to
//! controllers.
//!
//! # Parts of a controller
//!
//! A controller runs on one thread, with one more for the disk. Each part owns the state named here and changes it through its
//! methods alone. `controller` wires them: no part imports it, and none reaches into another's state.
//!
//! | module | owns | decides |
//! |---|---|---|
//! | `peer_links` | links to the other controllers, tries to reach them | when to connect again |
//! | `gateway_table` | links of gateways, when each was heard, the schedule of heartbeats | which gateways are silent |
//! | `operator_service` | operators' connections (`operator_inbox`), commands in progress (`operator_requests`) | whether a request is executed, redirected or answered at once (`operator_routing`), and when a command's time is over |
//! | `job_registers` | gateways' reads and writes of job registers in progress | how many run at once, when old jobs are forgotten |
//! | `committed_configuration` | the newest committed configuration, its recent changes, the evacuated zones | what a gateway lacks |
//! | `scaler` | the autoscaler of the role's term, incarnations of gateways that report | what follows on reports, on answers of the platform, and on a new term |
//! | `ownership_publisher` | the published owners of functions, and who does not know them | when they change |
//! | `platform_client` | requests to the platform in flight and waiting, idle connections | which connection carries which request |
//! | `platform_lists` | pages of the list of runners, when lists were last asked for | when to ask again |
//! | `metrics_service` | connections for figures | what is answered there |
//! | `disk_thread` | the voter's disk, on a thread of its own | what is synced together |
//! | `connections` | the event loop, and the kind of each connection | whose events are handled |
//! | `shutdown_deadline` | the end by force of a process that was asked to stop | when it is due |
//! | `clock`, `daemon_loop` | time and ticks | the order of a turn |
//!
//! Who votes, what is committed and which controller has the scaler's role is decided by the crate `consensus`; what is done
//! about a command by `operator_commands`; which runners are started and stopped by `autoscaler`.
//!
//! # The way of a configuration change
//!
//! 1. `operator_inbox` reads the request off its connection; `operator_routing` finds the command in it. A controller that
//!    is not in contact with a majority redirects the operator to one that is.
//! 2. `operator_requests` begins a `CommandExecution`, and the consensus reads the register at a majority.
//! 3. The execution decides by what was read: it answers, or has the register written where it still has that version.
//! 4. The consensus reports that the value is committed; `operator_service` acknowledges the command.
//! 5. `committed_configuration` takes the committed value, here and at every other controller that learns of it.
//! 6. The scaler applies it, and `gateway_table` sends a heartbeat with the new version to all gateways at once.
//! 7. Each gateway asks for what it lacks, and gets the changes, or the complete configuration where it is too far behind.
//!
//! # The redirector
//!
//! It shares `operator_inbox`, `operator_response`, `connections`, `clock` and `daemon_loop` with the controller.
//! `member_directory` knows which controllers are alive and in contact with a majority.

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
