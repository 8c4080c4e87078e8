//! The control plane over non-blocking lines: keeps the description with the other cores, brings it to the fronts,
//! and scales functions by calls to the platform. One thread, and one more for the disk.

mod changes;
mod controller;
mod cores;
mod directory;
mod disk;
mod fronts;
mod guide;
mod jobs;
mod operators;
mod options;
mod recent_changes;
mod scaling;
mod scaling_calls;

pub use controller::run;
pub use directory::MemberDirectory;
pub use guide::{guide, GuideOptions};
pub use options::{Call, ControllerError, ControllerOptions, StartReply, Translator};
