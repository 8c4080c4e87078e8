//! Operators' commands in progress, each with its caller and deadline. The `CommandExecution` of a command decides its outcome.

use consensus::{CONFIGURATION_KEY, EVACUATIONS_KEY};
use event_loop::ConnectionId;
use operator_commands::{Command, CommandExecution, CommandReply, ExecutionStep};
use register::ChangeOutcome;
use routing::ConfigurationFormat;
use std::collections::HashMap;

/// Maximum number of commands in progress; each holds its body in memory and occupies a consensus round.
const REQUESTS_MAX: usize = 32;
/// Milliseconds after which a command is answered in any case, so that an operator with a timeout of one second gets a
/// response.
const ANSWER_TIMEOUT_MS: u64 = 800;
/// A command's timeout is one millisecond longer for each of so many bytes of its body.
const BYTES_PER_MS: u64 = 250;

/// The operator's connection that waits for a response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OperatorCaller {
    /// The connection.
    pub connection: ConnectionId,
    /// Whether the connection is kept alive for the next request.
    pub keeps_alive: bool,
}

/// A read of a register from a majority of the voters.
pub(crate) struct RegisterRead {
    /// Identifies the command when the read completes.
    pub token: u64,
    /// Key of the register.
    pub key: &'static str,
}

/// The next step after a completed read or write.
pub(crate) enum RequestProgress {
    /// Write the register if it still has the expected version.
    Write {
        /// Key of the register.
        key: &'static str,
        /// Expected version of the register.
        expected: u64,
        /// The new value.
        bytes: Vec<u8>,
    },
    /// The command has ended with this reply.
    Reply {
        /// The caller that waits for the reply.
        caller: OperatorCaller,
        /// The reply.
        reply: CommandReply,
    },
}

struct OperatorRequest {
    caller: OperatorCaller,
    execution: CommandExecution,
    deadline: u64,
    is_writing: bool,
}

/// Operators' commands in progress, by the token of their consensus request.
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

    /// Whether the maximum number of commands is in progress.
    pub fn is_full(&self) -> bool {
        self.in_progress.len() >= REQUESTS_MAX
    }

    /// Begins a command by reading the current value from a majority, so that a controller with a stale copy does not reject it
    /// wrongly. A large command has a longer timeout, up to the propagation bound.
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
        let key = register_key(&command);
        let request = OperatorRequest {
            caller,
            execution: CommandExecution::new(command),
            deadline: now + timeout_ms,
            is_writing: false,
        };
        let token = self.last_token;
        self.in_progress.insert(token, request);
        RegisterRead { token, key }
    }

    /// Handles a read or write that the consensus has completed. None if the command has already been dropped.
    pub fn handle_outcome(
        &mut self,
        token: u64,
        outcome: ChangeOutcome,
        format: &dyn ConfigurationFormat,
    ) -> Option<RequestProgress> {
        let mut request = self.in_progress.remove(&token)?;
        Some(match request.execution.on_outcome(outcome, format) {
            ExecutionStep::Reply(reply) => {
                log_reply(request.execution.command(), &reply);
                let caller = request.caller;
                RequestProgress::Reply { caller, reply }
            }
            ExecutionStep::Write { expected, bytes } => {
                let key = register_key(request.execution.command());
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

    /// Tokens of the commands that have timed out, or of all commands if contact with a majority is lost.
    pub fn expired(&self, now: u64, has_contact: bool) -> Vec<u64> {
        let requests = self.in_progress.iter();
        let expired = requests.filter(|(_, request)| !has_contact || request.deadline <= now);
        expired.map(|(token, _)| *token).collect()
    }

    /// Drops a command without knowing whether it was accepted, and returns its caller.
    pub fn remove(&mut self, token: u64) -> Option<OperatorCaller> {
        let request = self.in_progress.remove(&token)?;
        Some(request.caller)
    }

    /// Drops the commands of a caller that has disconnected, unless their write has begun. The caller retries them elsewhere,
    /// and a copy that is applied late could undo a newer command.
    pub fn remove_caller(&mut self, connection: ConnectionId) {
        self.in_progress
            .retain(|_, request| request.caller.connection != connection || request.is_writing);
    }
}

fn register_key(command: &Command) -> &'static str {
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
