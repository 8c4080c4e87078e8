use crate::gateway::{Due, Gateway, Role};
use crate::tickets::{Sent, Stage};
use courier::{End, LineId};
use dispatch::{Grant, Outcome};
use exchange::{end_to_end, idle_seconds, write_request, Bounds, Response, ResponseReader};

/// Largest answer of a runner, in bytes.
pub(crate) const ANSWER_MAX: usize = 4 << 20;
pub(crate) const HEAD_MAX: usize = 64 << 10;
/// Milliseconds for which an idle line is kept where the runner does not tell.
pub(crate) const IDLE_MS: u64 = 5_000;
/// Paces of a function after which an answer is overdue, and least milliseconds.
const OVERDUE_PACES: f64 = 16.0;
const OVERDUE_MIN_MS: f64 = 400.0;
/// Milliseconds of an answer that are assumed until one was seen.
const PACE_PRIOR_MS: f64 = 100.0;
/// Answers to other requests that are dropped on one line before it is closed.
const STRAYS_MAX: u32 = 4;

/// A connection to a runner.
pub(crate) struct RunnerLine {
    pub runner: String,
    pub ticket: Option<u64>,
    reader: ResponseReader,
    uses: u32,
    strays: u32,
    pub expires_at: u64,
    is_head: bool,
}

impl Gateway {
    /// A seat was lent: the request goes to its runner.
    pub fn granted(&mut self, lender: &str, grant: Grant) {
        let number = grant.ticket;
        let closed = self.control.is_closed(&grant.district);
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
        let line = self
            .pool
            .take(&grant.runner)
            .filter(|line| self.is_clean(*line));
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
                district: grant.district,
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
        let release = dispatch::Release {
            ticket: number,
            outcome: Outcome::Unused,
            took_ms: 0,
        };
        self.release_at(lender, &release);
    }

    fn rest_and_bid(&mut self, number: u64) {
        if let Some(ticket) = self.tickets.get(number) {
            ticket.stage = Stage::Resting;
            self.timers.set(self.now + 20, Due::Rest(number));
        }
    }

    // Nothing may lie unread on a line that is used again: it would be no answer to the next request.
    fn is_clean(&mut self, line: LineId) -> bool {
        let is_clean = self.courier.is_open(line)
            && self
                .courier
                .inbox(line)
                .is_some_and(|inbox| inbox.is_empty());
        if !is_clean {
            self.roles.remove(&line);
            self.courier.close(line);
        }
        is_clean
    }

    fn open_runner(&mut self, grant: &Grant) -> Option<LineId> {
        let address = grant.address.parse().ok()?;
        let line = self.courier.connect(address, ANSWER_MAX + HEAD_MAX).ok()?;
        self.roles.insert(line, runner_role(&grant.runner));
        let wait = self.options.connect_ms();
        self.courier.allow_silence(line, wait * 2);
        self.timers.set(self.now + wait, Due::Connect(line));
        Some(line)
    }

    pub fn runner_connected(&mut self, line: LineId) {
        self.send_to_runner(line);
    }

    /// The last step: a request leaves for its runner, where nothing holds it back.
    pub fn send_to_runner(&mut self, line: LineId) {
        let Some(Role::Runner(runner)) = self.roles.get_mut(&line) else {
            return;
        };
        let Some(number) = runner.ticket else {
            return;
        };
        let manner = &self.options.manner;
        let Some(ticket) = self.tickets.get(number) else {
            self.roles.remove(&line);
            self.courier.close(line);
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
        sent.has_left = true;
        sent.at = self.now;
        ticket.sends += 1;
        runner.uses += 1;
        // Repeatable work whose answer is long overdue is tried elsewhere.
        if !ticket.is_once && ticket.sends < ticket.tries {
            let pace = self
                .paces
                .get(&ticket.function)
                .copied()
                .unwrap_or(PACE_PRIOR_MS);
            let patience = (pace * OVERDUE_PACES).max(OVERDUE_MIN_MS) as u64;
            let due = Due::Overdue(number, ticket.sends);
            self.timers.set(self.now + patience, due);
        }
        let request = &ticket.request;
        let left = ticket.ends_at.saturating_sub(self.now).max(1).to_string();
        let kept = end_to_end(&request.headers).filter(|(name, _)| {
            !name.eq_ignore_ascii_case(manner.budget) && !name.eq_ignore_ascii_case(manner.runner)
        });
        let own: [(&str, &[u8]); 2] = [
            (manner.budget, left.as_bytes()),
            (manner.runner, sent.runner.as_bytes()),
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
        runner.is_head = request.method == "HEAD";
        runner.reader = ResponseReader::new(runner.is_head);
        self.courier.send(line, &out);
    }

    pub fn runner_arrived(&mut self, line: LineId) {
        let bounds = Bounds {
            header_bytes: HEAD_MAX,
            body_bytes: ANSWER_MAX,
        };
        loop {
            let Some(Role::Runner(runner)) = self.roles.get_mut(&line) else {
                return;
            };
            let Some(inbox) = self.courier.inbox(line) else {
                return;
            };
            let Some(number) = runner.ticket else {
                // Bytes without a request belong to nobody.
                let name = runner.runner.clone();
                self.drop_runner_line(line, &name);
                return;
            };
            if self.tickets.get(number).is_some_and(|one| one.is_gated()) {
                // Nothing was asked yet, so that this is no answer.
                let name = runner.runner.clone();
                self.drop_runner_line(line, &name);
                self.runner_failed(number, false);
                return;
            }
            match runner.reader.read(inbox, &bounds) {
                Ok(None) => return,
                Ok(Some(response)) => {
                    if self.take_response(line, number, &response) {
                        return;
                    }
                }
                Err(_) => {
                    let name = runner.runner.clone();
                    self.drop_runner_line(line, &name);
                    self.lost(number, "the runner sent no answer in the protocol");
                    return;
                }
            }
        }
    }

    /// Takes one whole answer; false where it belonged to another request.
    fn take_response(&mut self, line: LineId, number: u64, response: &Response) -> bool {
        let manner = &self.options.manner;
        let Some(ticket) = self.tickets.get(number) else {
            return true;
        };
        let echoed = response.headers.get(manner.id);
        let is_own = echoed.is_some_and(|id| id == ticket.id.as_slice());
        let says_not_run = response.headers.get(manner.not_run).is_some() || response.status == 421;
        let is_once = ticket.is_once;
        let function = ticket.function.clone();
        let Some(Role::Runner(runner)) = self.roles.get_mut(&line) else {
            return true;
        };
        // A refusal may come without an id; on a line that had another request before, it may be a late one.
        let is_fresh = runner.uses <= 1 && runner.strays == 0;
        let may_be_own = echoed.is_none() && says_not_run && (is_fresh || !is_once);
        if !is_own && !may_be_own {
            runner.strays += 1;
            runner.reader = ResponseReader::new(runner.is_head);
            if runner.strays <= STRAYS_MAX {
                return false;
            }
            let name = runner.runner.clone();
            self.drop_runner_line(line, &name);
            self.lost(number, "the runner's answers belong to other requests");
            return true;
        }
        runner.ticket = None;
        let keep = response.keeps_alive && runner.strays == 0 && response.status != 421;
        let idle = idle_seconds(&response.headers);
        let wait = idle.map_or(IDLE_MS, |seconds| (seconds * 1_000).saturating_sub(500));
        runner.expires_at = self.now + wait.min(30_000);
        let name = runner.runner.clone();
        let is_clean = self
            .courier
            .inbox(line)
            .is_some_and(|inbox| inbox.is_empty());
        let most = self.control.idle_lines(&function);
        if !(keep && is_clean && wait > 0 && self.pool.put(&name, line, most)) {
            self.roles.remove(&line);
            self.courier.close(line);
        }
        self.answered(number, response);
        true
    }

    pub fn runner_ended(&mut self, line: LineId, end: End) {
        let Some(Role::Runner(runner)) = self.roles.get_mut(&line) else {
            return;
        };
        let name = runner.runner.clone();
        let Some(number) = runner.ticket else {
            self.pool.forget(&name, line);
            return;
        };
        if end == End::Closed {
            if let Some(inbox) = self.courier.inbox(line) {
                if let Ok(Some(response)) = runner.reader.at_end(inbox) {
                    if response.headers.get(self.options.manner.id).is_some() {
                        self.take_response(line, number, &response);
                        return;
                    }
                }
            }
        }
        self.roles.remove(&line);
        self.courier.close(line);
        self.runner_failed(number, end == End::Unreached);
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
            Outcome::Unused
        } else if nobody_there {
            Outcome::Gone
        } else {
            Outcome::Unreached
        };
        self.give_back(&lender, &function, number, outcome, 0);
        if !self.try_again(number, false) {
            self.give_up(number, 0, "no runner could be reached");
        }
    }

    /// The time for a connection to come up is over.
    pub fn connect_is_over(&mut self, line: LineId) {
        match self.roles.get(&line) {
            Some(Role::Probe { function, runner }) => {
                let (function, runner) = (function.clone(), runner.clone());
                self.roles.remove(&line);
                self.courier.close(line);
                self.keeper.probed(self.now, &function, &runner, false);
            }
            Some(Role::Runner(runner)) if runner.uses == 0 => {
                let Some(number) = runner.ticket else {
                    return;
                };
                let pass = self.tickets.get(number).and_then(|one| one.job.as_ref());
                if pass.is_some_and(|pass| pass.is_ready) {
                    return;
                }
                self.roles.remove(&line);
                self.courier.close(line);
                self.runner_failed(number, false);
            }
            _ => {}
        }
    }

    pub fn drop_runner_line(&mut self, line: LineId, runner: &str) {
        self.pool.forget(runner, line);
        self.roles.remove(&line);
        self.courier.close(line);
    }
}

pub(crate) fn runner_role(runner: &str) -> Role {
    Role::Runner(RunnerLine {
        runner: runner.into(),
        ticket: None,
        reader: ResponseReader::new(false),
        uses: 0,
        strays: 0,
        expires_at: 0,
        is_head: false,
    })
}
