//! The execution of one command: read at a majority, decide, write with the expected version.

use crate::command::{Command, CommandKind};
use crate::decision::{decide, CommandReply, Decision};
use crate::evacuations::Evacuations;
use register::{ChangeOutcome, VersionedValue};
use routing::ConfigurationFormat;

/// Times that a command is decided on, the first one included. It is decided anew where another command was committed
/// between its read and its write, and left undecided once that has happened too often.
pub const DECISION_ATTEMPTS_MAX: u32 = 8;

/// What the driver does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutionStep {
    /// Write this value where the register still has the expected version.
    Write {
        /// Expected version of the register.
        expected: u64,
        /// The new value.
        bytes: Vec<u8>,
    },
    /// The command has ended with this answer.
    Reply(CommandReply),
}

/// A command that is worked on. The driver first reads the command's register at a majority, then feeds each outcome and
/// does the step that comes back, until that is a reply.
#[derive(Clone, Debug)]
pub struct CommandExecution {
    command: Command,
    attempts: u32,
    has_written: bool,
    /// Changes of the command's zone when the command was first decided on.
    zone_changes: Option<u64>,
}

impl CommandExecution {
    /// Begins a command.
    pub fn new(command: Command) -> Self {
        Self {
            command,
            attempts: 0,
            has_written: false,
            zone_changes: None,
        }
    }

    /// The command.
    pub fn command(&self) -> &Command {
        &self.command
    }

    /// Takes how the read or the write ended.
    pub fn on_outcome(
        &mut self,
        outcome: ChangeOutcome,
        documents: &dyn ConfigurationFormat,
    ) -> ExecutionStep {
        let has_written = std::mem::take(&mut self.has_written);
        let stored = match outcome {
            ChangeOutcome::Committed(_) if has_written => {
                return ExecutionStep::Reply(CommandReply::Acknowledged)
            }
            ChangeOutcome::Committed(stored) | ChangeOutcome::Conflict(stored) => stored,
            // A value that was proposed may or may not be chosen later: neither an acknowledgement nor a rejection.
            _ => return undecided("it is not known whether it was taken; send it again"),
        };
        self.attempts += 1;
        if self.attempts > DECISION_ATTEMPTS_MAX {
            return undecided("other changes kept winning; send it again");
        }
        self.step(stored, documents)
    }

    fn step(
        &mut self,
        stored: VersionedValue,
        documents: &dyn ConfigurationFormat,
    ) -> ExecutionStep {
        match decide(&self.command, &stored.bytes, documents) {
            Decision::Reply(reply) => ExecutionStep::Reply(reply),
            Decision::Write(_) if !self.may_write(&stored) => {
                undecided("the zone was changed meanwhile; send it again")
            }
            Decision::Write(bytes) => {
                self.has_written = true;
                let expected = stored.version;
                ExecutionStep::Write { expected, bytes }
            }
        }
    }

    /// An evacuation command is applied only to the zone's state that it first met. Otherwise one whose caller was
    /// answered by another member long ago could undo a newer, acknowledged command of the same zone. A configuration
    /// command needs no such check: its base pins the one state that it applies to.
    fn may_write(&mut self, stored: &VersionedValue) -> bool {
        let (CommandKind::BeginEvacuation(zone) | CommandKind::FinishEvacuation(zone)) =
            &self.command.kind
        else {
            return true;
        };
        let Some(evacuations) = Evacuations::read(&stored.bytes) else {
            return false;
        };
        let changes = evacuations.change_count(zone);
        *self.zone_changes.get_or_insert(changes) == changes
    }
}

fn undecided(reason: &str) -> ExecutionStep {
    ExecutionStep::Reply(CommandReply::undecided(reason))
}
