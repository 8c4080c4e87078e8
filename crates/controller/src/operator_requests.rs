//! Operators' commands in progress: who waits for each, and until when. A command's `CommandExecution` decides on it.

use consensus::{CONFIGURATION_KEY, EVACUATIONS_KEY};
use event_loop::ConnectionId;
use operator_commands::{Command, CommandExecution, CommandReply, ExecutionStep};
use register::ChangeOutcome;
use routing::ConfigurationFormat;
use std::collections::HashMap;

/// Most commands in progress; each holds its body and a place among the consensus's rounds.
const REQUESTS_MAX: usize = 32;
/// Milliseconds after which a command gets its answer, so that an operator who waits for a second hears it.
const ANSWER_TIMEOUT_MS: u64 = 800;
/// Bytes of a command for which an operator waits a millisecond longer.
const BYTES_PER_MS: u64 = 250;

/// Who waits for an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OperatorCaller {
    /// Its connection.
    pub connection: ConnectionId,
    /// Whether the connection is kept for the next request.
    pub keeps_alive: bool,
}

/// A read of a register at a majority of the voters.
pub(crate) struct RegisterRead {
    /// Names the command when the read is done.
    pub token: u64,
    /// The register.
    pub key: &'static str,
}

/// What follows on a read or write that is done.
pub(crate) enum RequestProgress {
    /// Write the register where it still has the expected version.
    Write {
        /// The register.
        key: &'static str,
        /// Its expected version.
        expected: u64,
        /// The new value.
        bytes: Vec<u8>,
    },
    /// The command has ended with this answer.
    Reply {
        /// Who waits for it.
        caller: OperatorCaller,
        /// The answer.
        reply: CommandReply,
    },
}

struct OperatorRequest {
    caller: OperatorCaller,
    execution: CommandExecution,
    ends_at: u64,
    is_writing: bool,
}

/// Operators' commands in progress, by the token of their work at the consensus.
#[derive(Default)]
pub(crate) struct OperatorRequests {
    in_progress: HashMap<u64, OperatorRequest>,
    last_token: u64,
}

impl OperatorRequests {
    /// Number of commands in progress.
    pub fn len(&self) -> usize {
        self.in_progress.len()
    }

    /// Whether no further command can begin now.
    pub fn is_full(&self) -> bool {
        self.in_progress.len() >= REQUESTS_MAX
    }

    /// Begins a command. What is in force is read at a majority first, so that a controller which missed it rejects nothing
    /// wrongly. A large command gets more time, up to the bound on changes.
    pub fn begin(
        &mut self,
        now: u64,
        caller: OperatorCaller,
        command: Command,
        timeout_max_ms: u64,
    ) -> RegisterRead {
        self.last_token += 1;
        let timeout_ms = ANSWER_TIMEOUT_MS + command.body.len() as u64 / BYTES_PER_MS;
        let timeout_ms = timeout_ms.min(timeout_max_ms.max(ANSWER_TIMEOUT_MS));
        let key = register_of(&command);
        let request = OperatorRequest {
            caller,
            execution: CommandExecution::new(command),
            ends_at: now + timeout_ms,
            is_writing: false,
        };
        let token = self.last_token;
        self.in_progress.insert(token, request);
        RegisterRead { token, key }
    }

    /// The consensus is done with a read or a write. None where nobody waits for it any more.
    pub fn handle_outcome(
        &mut self,
        token: u64,
        outcome: ChangeOutcome,
        documents: &dyn ConfigurationFormat,
    ) -> Option<RequestProgress> {
        let mut request = self.in_progress.remove(&token)?;
        Some(match request.execution.on_outcome(outcome, documents) {
            ExecutionStep::Reply(reply) => {
                log_reply(request.execution.command(), &reply);
                let caller = request.caller;
                RequestProgress::Reply { caller, reply }
            }
            ExecutionStep::Write { expected, bytes } => {
                let key = register_of(request.execution.command());
                request.is_writing = true;
                self.in_progress.insert(token, request);
                RequestProgress::Write {
                    key,
                    expected,
                    bytes,
                }
            }
        })
    }

    /// Tokens of the commands whose time is over, or of all where contact with a majority is lost.
    pub fn expired(&self, now: u64, has_contact: bool) -> Vec<u64> {
        let requests = self.in_progress.iter();
        let expired = requests.filter(|(_, request)| !has_contact || request.ends_at <= now);
        expired.map(|(token, _)| *token).collect()
    }

    /// Drops a command, of which it is not known whether it was accepted, and returns its caller.
    pub fn remove(&mut self, token: u64) -> Option<OperatorCaller> {
        let request = self.in_progress.remove(&token)?;
        Some(request.caller)
    }

    /// Drops the commands of a caller that has gone, unless they are being written. The caller sends them again elsewhere,
    /// and a copy that is applied late could undo a newer command.
    pub fn remove_caller(&mut self, connection: ConnectionId) {
        self.in_progress
            .retain(|_, request| request.caller.connection != connection || request.is_writing);
    }
}

fn register_of(command: &Command) -> &'static str {
    if command.is_evacuation() {
        EVACUATIONS_KEY
    } else {
        CONFIGURATION_KEY
    }
}

fn log_reply(command: &Command, reply: &CommandReply) {
    let (kind, version) = (&command.kind, command.version);
    match reply {
        CommandReply::Acknowledged => {
            log::info!("controller: command accepted kind={kind:?} version={version:?}")
        }
        CommandReply::Document(_) => {}
        CommandReply::Rejected(_, reason) => {
            log::info!(
                "controller: command rejected kind={kind:?} version={version:?} reason={reason}"
            );
        }
        CommandReply::Undecided(reason) => {
            log::info!(
                "controller: command undecided kind={kind:?} version={version:?} reason={reason}"
            );
        }
    }
}
