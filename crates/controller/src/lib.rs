//! The control plane over non-blocking lines: keeps the description with the other controllers, brings it to the gateways,
//! and scales functions by calls to the platform. One thread, and one more for the disk.
#![warn(missing_docs)]

mod changes;
mod controller;
mod controllers;
mod directory;
mod disk;
mod gateways;
mod jobs;
mod operators;
mod options;
mod recent_changes;
mod redirector;
mod scaling;
mod scaling_calls;

pub use controller::run;
pub use directory::MemberDirectory;
pub use options::{
    CommandParseError, ControllerError, ControllerOptions, FencingToken, OperatorCodec,
    PlatformCodec, PlatformRequest, RunnerPage, SeedReloader, StartResult,
};
pub use redirector::{run_redirector, RedirectorOptions};
