//! Decisions on operators' commands, without I/O and without a clock, so that daemons and tests run the same code.
//!
//! A command is accepted, acknowledged again, rejected, or left undecided:
//!
//! - *accepted*: the new value was committed as the direct successor of the value that the decision was based on. The command
//!   is acknowledged.
//! - *acknowledged again*: a copy of an accepted command arrived. Operators send a command to any controller, and repeat it
//!   until they get an answer, so copies are common.
//! - *rejected*: neither the command nor any copy of it was or will be applied.
//! - *left undecided*: the command can currently be neither acknowledged nor rejected. The operator sends it again.
//!
//! | module | content |
//! |---|---|
//! | `command` | operators' commands |
//! | `configuration`, `evacuations` | the values of the two replicated registers, and how commands change them |
//! | `accepted_commands` | history of accepted commands, used to recognise copies |
//! | `decision` | the decision on one command, given the value of its register |
//! | `execution` | the reads and writes of one command's register, until it is answered |

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
