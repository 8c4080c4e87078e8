//! Operators' orders that are being worked on: connections and time-outs round the pure executions of `orders`.

use crate::controller::Controller;
use consensus::{CONFIGURATION_KEY, EVACUATIONS_KEY};
use event_loop::ConnectionId;
use operator_commands::{
    BaseVersion, Command, CommandExecution, CommandKind, CommandReply, ExecutionStep, RejectionKind,
};
use register::Outcome;
use std::collections::HashMap;

/// Most orders that are worked on at once.
const CHANGES_MAX: usize = 32;

/// Milliseconds after which an order gets its answer, so that an operator who waits for a second hears it.
const ANSWER_MS: u64 = 800;
/// Bytes of an order for which an operator waits a millisecond longer.
const BYTES_EACH_MS: u64 = 250;

/// One operator's order that is being worked on.
struct Change {
    line: ConnectionId,
    keeps_alive: bool,
    execution: CommandExecution,
    ends_at: u64,
    is_writing: bool,
}

/// Operators' orders that wait for a majority.
#[derive(Default)]
pub(crate) struct Changes {
    pending: HashMap<u64, Change>,
    last: u64,
}

impl Changes {
    /// Drops the orders of a caller that has gone, unless they are being written. The caller sends them again
    /// elsewhere, and a copy that is applied late could undo a newer order.
    pub fn caller_left(&mut self, line: ConnectionId) {
        self.pending
            .retain(|_, change| change.line != line || change.is_writing);
    }
}

fn key_of(order: &Command) -> &'static str {
    if order.is_evacuation() {
        EVACUATIONS_KEY
    } else {
        CONFIGURATION_KEY
    }
}

/// Status and body of a reply.
fn response(reply: CommandReply) -> (u16, Vec<u8>) {
    match reply {
        CommandReply::Acknowledged => (200, b"{}".to_vec()),
        CommandReply::Document(document) => (200, document),
        CommandReply::Rejected(RejectionKind::Invalid, reason) => (400, reason.into_bytes()),
        CommandReply::Rejected(RejectionKind::Stale, reason) => (412, reason.into_bytes()),
        CommandReply::Rejected(RejectionKind::NotFound, reason) => (404, reason.into_bytes()),
        CommandReply::Undecided(reason) => (503, reason.into_bytes()),
    }
}

impl Controller {
    pub fn begin_change(
        &mut self,
        line: ConnectionId,
        kind: CommandKind,
        base: BaseVersion,
        body: Vec<u8>,
        keeps_alive: bool,
    ) {
        if self.changes.pending.len() >= CHANGES_MAX {
            self.reply(line, 503, b"too many changes at once", keeps_alive);
            return;
        }
        self.changes.last += 1;
        let token = self.changes.last;
        let order = Command {
            version: self.options.operator_codec.version_of(&body),
            kind,
            base,
            body,
        };
        let answer_ms = ANSWER_MS + order.body.len() as u64 / BYTES_EACH_MS;
        let answer_ms = answer_ms.min(self.options.propagation_timeout_ms.max(ANSWER_MS));
        let key = key_of(&order);
        let change = Change {
            line,
            keeps_alive,
            execution: CommandExecution::new(order),
            ends_at: self.now + answer_ms,
            is_writing: false,
        };
        self.changes.pending.insert(token, change);
        // What is in force is read at a majority first, so that a controller which missed it refuses nothing wrongly.
        self.consensus.read(self.now, token, key);
    }

    /// Changes whose time is over, or that lost contact with a majority on the way, get no clear answer.
    pub fn tend_changes(&mut self) {
        let late = self.changes.pending.iter();
        let has_contact = self.consensus.is_in_contact(self.now);
        let late = late.filter(|(_, change)| !has_contact || change.ends_at <= self.now);
        let late: Vec<u64> = late.map(|(token, _)| *token).collect();
        for token in late {
            if let Some(change) = self.changes.pending.remove(&token) {
                let text =
                    b"it is not known whether it was taken: no majority of controllers answered in time";
                self.reply(change.line, 503, text, change.keeps_alive);
            }
        }
    }

    /// The consensus is done with a read or a write.
    pub fn change_done(&mut self, token: u64, outcome: Outcome) {
        let Some(mut change) = self.changes.pending.remove(&token) else {
            return;
        };
        let documents = self.options.operator_codec.documents();
        match change.execution.on_outcome(outcome, documents) {
            ExecutionStep::Reply(reply) => self.end_change(&change, reply),
            ExecutionStep::Write { expected, bytes } => {
                let key = key_of(change.execution.command());
                change.is_writing = true;
                self.changes.pending.insert(token, change);
                self.consensus.write(self.now, token, key, expected, bytes);
            }
        }
    }

    fn end_change(&mut self, change: &Change, reply: CommandReply) {
        let order = change.execution.command();
        let (kind, version) = (&order.kind, order.version);
        match &reply {
            CommandReply::Acknowledged => log::info!("controller: {kind:?} of {version:?} taken"),
            CommandReply::Document(_) => {}
            CommandReply::Rejected(_, reason) => {
                log::info!("controller: {kind:?} of {version:?} refused: {reason}");
            }
            CommandReply::Undecided(reason) => {
                log::info!("controller: {kind:?} of {version:?} got no clear answer: {reason}");
            }
        }
        let (status, body) = response(reply);
        self.reply(change.line, status, &body, change.keeps_alive);
    }
}
