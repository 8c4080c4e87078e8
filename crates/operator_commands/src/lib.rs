//! Decisions on operators' commands. A pure machine reads the replicated register, decides, and writes with the
//! register's expected version; it has no I/O and no clock, so the daemon and the tests run the same code.
#![warn(missing_docs)]

mod accepted_commands;
mod command;
mod configuration;
mod decision;
mod evacuations;
mod execution;

pub use accepted_commands::{
    AcceptanceLookup, AcceptedCommand, AcceptedCommands, CommandDigest, ACCEPTED_COMMANDS_MAX,
};
pub use command::{BaseVersion, Command, CommandKind};
pub use configuration::ConfigurationRecord;
pub use decision::{decide, CommandReply, Decision, RejectionKind};
pub use evacuations::{Evacuations, ZoneChange};
pub use execution::{CommandExecution, ExecutionStep, DECISION_ATTEMPTS_MAX};
