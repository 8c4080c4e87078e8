//! The execution of one command: read from a majority of voters, decide, and write conditionally on the version that was read.

use crate::command::{Command, CommandKind};
use crate::decision::{decide, CommandReply, Decision};
use crate::evacuations::Evacuations;
use register::{ChangeOutcome, VersionedValue};
use routing::ConfigurationFormat;

/// Maximum number of decisions on one command. If another command is committed between the read and the write, the command is
/// decided on again. After this many decisions, it is left undecided.
pub const DECISION_ATTEMPTS_MAX: u32 = 8;

/// The next step for the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutionStep {
    /// Write this value if the register still has the expected version.
    Write {
        /// Expected version of the register.
        expected: u64,
        /// The new value.
        bytes: Vec<u8>,
    },
    /// Send this reply; the execution has ended.
    Reply(CommandReply),
}

/// A command in execution. The driver first reads the command's register from a majority of voters. It then passes each
/// outcome to [`Self::on_outcome`] and performs the returned step, until that step is a reply.
#[derive(Clone, Debug)]
pub struct CommandExecution {
    command: Command,
    attempts: u32,
    has_written: bool,
    /// Change counter of the command's zone at the first decision.
    first_change_count: Option<u64>,
}

impl CommandExecution {
    /// Starts the execution of a command.
    pub fn new(command: Command) -> Self {
        Self {
            command,
            attempts: 0,
            has_written: false,
            first_change_count: None,
        }
    }

    /// The command being executed.
    pub fn command(&self) -> &Command {
        &self.command
    }

    /// Handles the outcome of a read or write, and returns the next step.
    pub fn on_outcome(
        &mut self,
        outcome: ChangeOutcome,
        format: &dyn ConfigurationFormat,
    ) -> ExecutionStep {
        let has_written = std::mem::take(&mut self.has_written);
        let stored = match outcome {
            ChangeOutcome::Committed(_) if has_written => {
                return ExecutionStep::Reply(CommandReply::Acknowledged)
            }
            ChangeOutcome::Committed(stored) | ChangeOutcome::Conflict(stored) => stored,
            // A proposed value may still be committed later, so the command can be neither acknowledged nor rejected.
            _ => return undecided("it is not known whether it was taken; send it again"),
        };
        self.attempts += 1;
        if self.attempts > DECISION_ATTEMPTS_MAX {
            return undecided("other changes kept winning; send it again");
        }
        self.step(stored, format)
    }

    fn step(&mut self, stored: VersionedValue, format: &dyn ConfigurationFormat) -> ExecutionStep {
        match decide(&self.command, &stored.bytes, format) {
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

    /// Whether the command may be written. An evacuation command applies only to the zone state that it found first. Otherwise a
    /// delayed copy of a command that another controller has already answered could undo a newer, acknowledged command for the
    /// same zone. Configuration commands need no such check, because their base version determines the state they apply to.
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
        *self.first_change_count.get_or_insert(changes) == changes
    }
}

fn undecided(reason: &str) -> ExecutionStep {
    ExecutionStep::Reply(CommandReply::undecided(reason))
}
