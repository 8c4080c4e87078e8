//! The control plane of a machine: keeps the configuration with the other controllers, brings it to the gateways, and scales
//! functions by requests to the platform. One thread, and one more for the disk.
#![warn(missing_docs)]

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
mod membership_publisher;
mod operator_inbox;
mod operator_requests;
mod operator_response;
mod operator_routing;
mod operator_service;
mod options;
mod outbox;
mod peer_links;
mod platform_client;
mod platform_lists;
mod recent_changes;
mod redirector;
mod scaler;
mod signals;
mod status;

pub use codec::{
    CommandParseError, FencingToken, OperatorCodec, PlatformCodec, PlatformRequest, RunnerPage,
    StartResult,
};
pub use controller::run;
pub use error::ControllerError;
pub use member_directory::MemberDirectory;
pub use options::{ControllerOptions, SeedReloader};
pub use redirector::{run_redirector, RedirectorOptions};
