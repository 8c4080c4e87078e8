//! Connections to runners: requests leave on them, and what comes back goes to the request that is on it.

use crate::gateway::{Due, Gateway, Role};
use crate::runner_connection::{
    Outstanding, Reading, RunnerAnswer, RunnerConnection, ANSWER_MAX, HEAD_MAX,
};
use crate::tickets::{Sent, Stage};
use event_loop::{CloseReason, ConnectionId};
use http1::{end_to_end, idle_seconds, write_request};
use protocol::{LeaseOutcome, SeatLease};

/// Most bytes of a runner that wait to be read.
pub(crate) const INBOX_MAX: usize = ANSWER_MAX + HEAD_MAX;
/// Milliseconds for which an idle line is kept where the runner does not tell.
pub(crate) const IDLE_MS: u64 = 5_000;
/// Paces of a function after which an answer is overdue, and least milliseconds.
const OVERDUE_PACES: f64 = 16.0;
const OVERDUE_MIN_MS: f64 = 400.0;
/// Milliseconds of an answer that are assumed until one was seen.
const PACE_PRIOR_MS: f64 = 100.0;
/// Most milliseconds for which an idle line is kept, and how much earlier than its runner it is closed here.
const IDLE_MAX_MS: u64 = 30_000;
const IDLE_MARGIN_MS: u64 = 500;

/// A connection to a runner.
pub(crate) struct RunnerLine {
    pub runner: String,
    pub ticket: Option<u64>,
    connection: RunnerConnection,
    pub expires_at: u64,
}

impl Gateway {
    /// A seat was lent: the request goes to its runner.
    pub fn granted(&mut self, lender: &str, grant: SeatLease) {
        let number = grant.request_id;
        let closed = self.control.is_closed(&grant.zone);
        let waits = self.tickets.get(number).is_some_and(|ticket| {
            let is_meant = matches!(&ticket.stage,
                Stage::Waiting { lender: asked, .. } if asked == lender);
            is_meant && ticket.client.is_some()
        });
        if !waits || closed {
            self.unused(lender, number);
            if waits {
                self.rest_and_bid(number);
            }
            return;
        }
        let is_once = self.tickets.get(number).is_some_and(|one| one.is_once);
        let line = self.pool.take(&grant.runner);
        let line = line.filter(|line| self.is_clean(*line, is_once));
        let is_reused = line.is_some();
        let line = line.or_else(|| self.open_runner(&grant));
        let Some(line) = line else {
            self.unused(lender, number);
            self.give_up(number, 0, "no line to a runner could be opened");
            return;
        };
        let now = self.now;
        if let Some(ticket) = self.tickets.get(number) {
            ticket.stage = Stage::Sent(Sent {
                lender: lender.into(),
                runner: grant.runner,
                address: grant.address,
                district: grant.zone,
                line,
                at: now,
                has_left: false,
            });
        }
        if let Some(Role::Runner(runner)) = self.roles.get_mut(&line) {
            runner.ticket = Some(number);
        }
        if is_reused {
            self.send_to_runner(line);
        }
    }

    fn unused(&mut self, lender: &str, number: u64) {
        let release = protocol::LeaseRelease {
            request_id: number,
            outcome: LeaseOutcome::Unused,
            duration_ms: 0,
        };
        self.release_at(lender, &release);
    }

    fn rest_and_bid(&mut self, number: u64) {
        if let Some(ticket) = self.tickets.get(number) {
            ticket.stage = Stage::Resting;
            self.timers.schedule(self.now + 20, Due::Rest(number));
        }
    }

    // Nothing may lie unread on a line that is used again: it would be no answer to the next request. For work that may
    // run once the system is asked too, since a line whose runner has ended it would take the request and lose it.
    fn is_clean(&mut self, line: ConnectionId, is_once: bool) -> bool {
        let has_nothing = |inbox: &mut Vec<u8>| inbox.is_empty();
        let is_clean = self.event_loop.is_open(line)
            && self.event_loop.read_buffer(line).is_some_and(has_nothing)
            && (!is_once || self.event_loop.has_nothing_to_read(line));
        if !is_clean {
            self.roles.remove(&line);
            self.event_loop.close(line);
        }
        is_clean
    }

    fn open_runner(&mut self, grant: &SeatLease) -> Option<ConnectionId> {
        let address = grant.address.parse().ok()?;
        let line = self.event_loop.connect(address, INBOX_MAX).ok()?;
        self.roles.insert(line, runner_role(&grant.runner));
        let wait = self.options.connect_ms();
        self.event_loop.set_user_timeout(line, wait * 2);
        self.timers.schedule(self.now + wait, Due::Connect(line));
        Some(line)
    }

    pub fn runner_connected(&mut self, line: ConnectionId) {
        self.send_to_runner(line);
    }

    /// The last step: a request leaves for its runner, where nothing holds it back.
    pub fn send_to_runner(&mut self, line: ConnectionId) {
        let Some(Role::Runner(runner)) = self.roles.get_mut(&line) else {
            return;
        };
        let Some(number) = runner.ticket else {
            return;
        };
        let Some(ticket) = self.tickets.get(number) else {
            self.roles.remove(&line);
            self.event_loop.close(line);
            return;
        };
        if ticket.is_gated() {
            // It leaves when its job is claimed.
            if let Some(pass) = &mut ticket.job {
                pass.is_ready = true;
            }
            return;
        }
        let Stage::Sent(sent) = &mut ticket.stage else {
            return;
        };
        sent.at = self.now;
        runner.connection.sends(Outstanding {
            id: ticket.id.clone(),
            is_head: ticket.request.method == "HEAD",
            is_once: ticket.is_once,
        });
        let out = self.request_bytes(number);
        // Where nothing was taken the line's end is told next, and the request has not left.
        if self.event_loop.send(line, &out) {
            self.has_left(number);
        }
    }

    fn request_bytes(&mut self, number: u64) -> Vec<u8> {
        let conventions = &self.options.conventions;
        let Some(ticket) = self.tickets.get(number) else {
            return Vec::new();
        };
        let Stage::Sent(sent) = &ticket.stage else {
            return Vec::new();
        };
        let request = &ticket.request;
        let left = ticket.ends_at.saturating_sub(self.now).max(1).to_string();
        let kept = end_to_end(&request.headers).filter(|(name, _)| {
            !name.eq_ignore_ascii_case(conventions.timeout)
                && !name.eq_ignore_ascii_case(conventions.runner)
        });
        let own: [(&str, &[u8]); 2] = [
            (conventions.timeout, left.as_bytes()),
            (conventions.runner, sent.runner.as_bytes()),
        ];
        let mut out = Vec::with_capacity(request.body.len() + 512);
        let headers = kept.chain(own);
        write_request(
            &mut out,
            &request.method,
            &request.target,
            headers,
            &request.body,
        );
        out
    }

    /// The first byte of a request may be at its runner: from here on it may have run.
    fn has_left(&mut self, number: u64) {
        let Some(ticket) = self.tickets.get(number) else {
            return;
        };
        if let Stage::Sent(sent) = &mut ticket.stage {
            sent.has_left = true;
        }
        ticket.sends += 1;
        if ticket.is_once || ticket.sends >= ticket.tries {
            return;
        }
        // Repeatable work whose answer is long overdue is tried elsewhere.
        let pace = self.paces.get(&ticket.function).copied();
        let pace = pace.unwrap_or(PACE_PRIOR_MS);
        let patience = (pace * OVERDUE_PACES).max(OVERDUE_MIN_MS) as u64;
        let due = Due::Overdue(number, ticket.sends);
        self.timers.schedule(self.now + patience, due);
    }

    /// Bytes of a runner arrived.
    pub fn runner_arrived(&mut self, line: ConnectionId) {
        let Some(Role::Runner(runner)) = self.roles.get_mut(&line) else {
            return;
        };
        let Some(inbox) = self.event_loop.read_buffer(line) else {
            return;
        };
        let reading = runner.connection.received(inbox, &self.options.conventions);
        self.take_reading(line, reading);
    }

    /// A runner's line ended.
    pub fn runner_ended(&mut self, line: ConnectionId, end: CloseReason) {
        let Some(Role::Runner(runner)) = self.roles.get_mut(&line) else {
            return;
        };
        let reading = runner.connection.ended();
        let (number, name) = (runner.ticket, runner.runner.clone());
        self.drop_runner_line(line, &name);
        let Some(number) = number else {
            return;
        };
        match reading {
            Reading::Failed(reason) if self.has_left_on(number, line) => self.lost(number, reason),
            _ => self.runner_failed(number, end == CloseReason::ConnectFailed),
        }
    }

    /// Whether a request has left on this very line.
    fn has_left_on(&mut self, number: u64, line: ConnectionId) -> bool {
        let ticket = self.tickets.get(number);
        let sent = ticket.and_then(|ticket| match &ticket.stage {
            Stage::Sent(sent) => Some(sent),
            _ => None,
        });
        sent.is_some_and(|sent| sent.line == line && sent.has_left)
    }

    /// Does what a line's bytes mean for its request.
    fn take_reading(&mut self, line: ConnectionId, reading: Reading) {
        let Some(Role::Runner(runner)) = self.roles.get_mut(&line) else {
            return;
        };
        let (number, name) = (runner.ticket, runner.runner.clone());
        let is_on_it = number.is_some_and(|number| self.has_left_on(number, line));
        match reading {
            Reading::Incomplete => {}
            Reading::Answer(answer) if is_on_it => {
                self.release_line(line, &answer);
                if let Some(number) = number {
                    self.answered(number, &answer);
                }
            }
            Reading::Failed(reason) if is_on_it => {
                self.drop_runner_line(line, &name);
                if let Some(number) = number {
                    self.lost(number, reason);
                }
            }
            // Bytes without a request on its way belong to nobody; one that has not left yet finds another line.
            Reading::Answer(_) | Reading::Failed(_) | Reading::Unasked => {
                self.drop_runner_line(line, &name);
                if let Some(number) = number {
                    self.runner_failed(number, false);
                }
            }
        }
    }

    /// A line's request is answered: the line is kept for others where nothing speaks against it.
    fn release_line(&mut self, line: ConnectionId, answer: &RunnerAnswer) {
        let Some(Role::Runner(runner)) = self.roles.get_mut(&line) else {
            return;
        };
        let number = runner.ticket.take();
        let idle = idle_seconds(&answer.response.headers);
        let wait = idle.map_or(IDLE_MS, |seconds| {
            seconds.saturating_mul(1_000).saturating_sub(IDLE_MARGIN_MS)
        });
        runner.expires_at = self.now + wait.min(IDLE_MAX_MS);
        let name = runner.runner.clone();
        let ticket = number.and_then(|number| self.tickets.get(number));
        let function = ticket.map(|ticket| ticket.function.clone());
        let most = function.map_or(0, |function| self.control.idle_lines(&function));
        // An answer that came before its whole request had left leaves a rest that would look like the next request.
        let is_sent = self.event_loop.unsent_bytes(line) == 0;
        let is_kept = answer.is_reusable
            && is_sent
            && self.event_loop.is_open(line)
            && wait > 0
            && self.pool.put(&name, line, most);
        if !is_kept {
            self.roles.remove(&line);
            self.event_loop.close(line);
        }
    }

    fn runner_failed(&mut self, number: u64, nobody_there: bool) {
        let Some(ticket) = self.tickets.get(number) else {
            return;
        };
        let Stage::Sent(sent) = &ticket.stage else {
            return;
        };
        if sent.has_left {
            self.lost(number, "the runner broke off");
            return;
        }
        let (lender, runner) = (sent.lender.clone(), sent.runner.clone());
        let function = ticket.function.clone();
        // An open line that ends before its request may leave says nothing of the runner.
        let was_ready = ticket.job.as_ref().is_some_and(|pass| pass.is_ready);
        ticket.unreached += 1;
        ticket.avoid.push(runner);
        let outcome = if was_ready {
            LeaseOutcome::Unused
        } else if nobody_there {
            LeaseOutcome::Gone
        } else {
            LeaseOutcome::Unreachable
        };
        self.give_back(&lender, &function, number, outcome, 0);
        if !self.try_again(number, false) {
            self.give_up(number, 0, "no runner could be reached");
        }
    }

    /// The time for a connection to come up is over.
    pub fn connect_is_over(&mut self, line: ConnectionId) {
        match self.roles.get(&line) {
            Some(Role::Probe { function, runner }) => {
                let (function, runner) = (function.clone(), runner.clone());
                self.roles.remove(&line);
                self.event_loop.close(line);
                self.keeper
                    .record_probe(self.now, &function, &runner, false);
            }
            Some(Role::Runner(runner)) if runner.connection.requests() == 0 => {
                let Some(number) = runner.ticket else {
                    return;
                };
                let pass = self.tickets.get(number).and_then(|one| one.job.as_ref());
                if pass.is_some_and(|pass| pass.is_ready) {
                    return;
                }
                self.roles.remove(&line);
                self.event_loop.close(line);
                self.runner_failed(number, false);
            }
            _ => {}
        }
    }

    pub fn drop_runner_line(&mut self, line: ConnectionId, runner: &str) {
        self.pool.forget(runner, line);
        self.roles.remove(&line);
        self.event_loop.close(line);
    }
}

pub(crate) fn runner_role(runner: &str) -> Role {
    Role::Runner(RunnerLine {
        runner: runner.into(),
        ticket: None,
        connection: RunnerConnection::default(),
        expires_at: 0,
    })
}
