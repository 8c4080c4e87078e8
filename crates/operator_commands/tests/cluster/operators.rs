//! Simulated operators. Each has up to eight commands in flight, and sends each command again, unchanged, to a random member
//! until it is acknowledged or rejected.

use super::documents::{body, body_removing, version_of};
use super::{Cluster, CommandAttempt, Envelope, ZONES};
use operator_commands::{BaseVersion, Command, CommandKind, CommandReply};
use rand::Rng;

const IN_FLIGHT_MAX: usize = 8;
/// Steps without a reply after which a command is sent again.
const RETRY_STEPS: u64 = 60;
/// Maximum number of times that an evacuation command is sent.
const EVACUATION_TRIES_MAX: u32 = 6;

pub struct Pending {
    command: u64,
    attempt: u64,
    sent_at: u64,
    tries: u32,
    /// Number of acknowledged commands at which the operator resumes this command.
    resumes_at: u64,
}

#[derive(Default)]
pub struct Operator {
    pending: Vec<Pending>,
}

impl Operator {
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }
}

pub fn read_command() -> Command {
    Command {
        kind: CommandKind::Read,
        base: BaseVersion::Missing,
        version: None,
        body: Vec::new(),
    }
}

impl Cluster {
    pub fn advance_operator(&mut self, index: usize) {
        let is_free = self.operators[index].pending.len() < IN_FLIGHT_MAX;
        if is_free && !self.is_ending && self.random.random_bool(0.6) {
            self.begin_command(index);
        }
        let (now, acknowledged) = (self.now, self.oracle.acknowledged_count());
        let is_ending = self.is_ending;
        let mut due = Vec::new();
        for pending in &mut self.operators[index].pending {
            let has_resumed = is_ending || acknowledged >= pending.resumes_at;
            if has_resumed && now >= pending.sent_at + RETRY_STEPS {
                due.push(pending.command);
            }
        }
        for command in due {
            self.send_command(index, command);
        }
    }

    fn begin_command(&mut self, index: usize) {
        self.last_command += 1;
        let number = self.last_command;
        let command = self.random_command(number);
        self.oracle.record_command(number, command);
        let pauses = self.settings.max_pause > 0 && self.random.random_bool(0.1);
        let pause = if pauses {
            self.random.random_range(0..=self.settings.max_pause)
        } else {
            0
        };
        let resumes_at = self.oracle.acknowledged_count() + pause;
        let pending = Pending {
            command: number,
            attempt: 0,
            sent_at: 0,
            tries: 0,
            resumes_at,
        };
        self.operators[index].pending.push(pending);
        self.send_command(index, number);
    }

    fn random_command(&mut self, number: u64) -> Command {
        if self.random.random_bool(0.15) {
            return self.random_evacuation();
        }
        let known = self.oracle.newest_version();
        let base = match self.random.random_range(0..20) {
            0 => known.saturating_sub(self.random.random_range(0..4)),
            1 => known + self.random.random_range(0..3),
            _ => known,
        };
        // The range is small, so that different operators pick the same version.
        let version =
            base + self.random.random_range(0..3) + u64::from(self.random.random_bool(0.9));
        let item = ["one", "two", "three"][self.random.random_range(0..3)];
        let value = u64::from(!self.random.random_bool(0.05));
        let (kind, body) = match self.random.random_range(0..5) {
            0 => (CommandKind::Update, body_removing(version, number, item)),
            1 | 2 if known > 0 => (CommandKind::Update, body(version, number, item, value)),
            _ => (CommandKind::Replace, body(version, number, item, value)),
        };
        let version = version_of(&body);
        Command {
            kind,
            base: BaseVersion::Given(base),
            version,
            body,
        }
    }

    fn random_evacuation(&mut self) -> Command {
        let zone = ZONES[self.random.random_range(0..ZONES.len())].to_string();
        let kind = if self.random.random_bool(0.5) {
            CommandKind::BeginEvacuation(zone)
        } else {
            CommandKind::FinishEvacuation(zone)
        };
        Command {
            kind,
            ..read_command()
        }
    }

    fn send_command(&mut self, index: usize, command: u64) {
        self.last_attempt += 1;
        let attempt = CommandAttempt {
            command,
            number: self.last_attempt,
        };
        let is_evacuation = self.oracle.command(command).is_evacuation();
        let pending = &mut self.operators[index].pending;
        let Some(at) = pending
            .iter()
            .position(|pending| pending.command == command)
        else {
            return;
        };
        if is_evacuation && pending[at].tries >= EVACUATION_TRIES_MAX {
            pending.swap_remove(at);
            return;
        }
        pending[at].attempt = attempt.number;
        pending[at].sent_at = self.now;
        pending[at].tries += 1;
        let is_too_old = self.is_ending && pending[at].tries > 200;
        if is_too_old {
            pending.swap_remove(at);
            return;
        }
        let member = self.random.random_range(0..self.members.len());
        self.send(Envelope::Command { member, attempt });
    }

    /// Delivers the reply to an operator's latest attempt. Replies to earlier attempts are lost, as on closed connections.
    pub fn handle_reply(&mut self, attempt: CommandAttempt, reply: &CommandReply) {
        let now = self.now;
        for operator in &mut self.operators {
            let mut pending = operator.pending.iter();
            let awaited = pending.position(|pending| pending.attempt == attempt.number);
            let Some(at) = awaited else {
                continue;
            };
            if let CommandReply::Undecided(_) = reply {
                operator.pending[at].sent_at = now.saturating_sub(RETRY_STEPS / 2);
                continue;
            }
            operator.pending.swap_remove(at);
            self.oracle.check_delivered_reply(attempt.command, reply);
        }
    }
}
