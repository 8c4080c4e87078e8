//! Decisions on operators' commands, without I/O and without a clock, so that the daemon and the tests run the same code.
//!
//! A command is accepted, acknowledged again, rejected, or left undecided:
//!
//! - *accepted*: the new value was committed on top of the one that the decision was made on; acknowledged.
//! - *acknowledged again*: a copy of an accepted command arrived. Operators send a command again until it is answered, to
//!   any controller, so copies are common.
//! - *rejected*: it is not in force and no copy of it ever will be.
//! - *left undecided*: neither can be promised now; the operator sends it again.
//!
//! | module | owns |
//! |---|---|
//! | `command` | what an operator asks for |
//! | `configuration`, `evacuations` | the values of the two replicated registers, and the value that follows on each |
//! | `accepted_commands` | memory of accepted commands, by which copies are recognised |
//! | `decision` | the decision on one command by one value of its register |
//! | `execution` | one command over reads and writes of its register, until it has an answer |

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
