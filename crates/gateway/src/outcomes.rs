//! How requests end: answered by a runner, tried again, or given up.

use crate::gateway::Gateway;
use crate::runner_connection::{judge, RunnerAnswer, Verdict};
use crate::tickets::{Stage, Ticket};
use http1::{end_to_end, Response};
use protocol::{JobResult, LeaseOutcome};
use seat_leases::RetryBudget;

/// Functions whose pace is remembered.
const PACES_MAX: usize = 65_536;
/// Answers over which a function's pace is taken.
const PACE_SPAN: f64 = 16.0;
/// Milliseconds after which clients come back, at least.
const RETRY_AFTER_MS: u64 = 150;

impl Gateway {
    /// The keeper has no seat in time: the request has not run, and the client is told at once.
    pub fn refused(&mut self, number: u64, after_ms: u32) {
        let Some(ticket) = self.tickets.get(number) else {
            return;
        };
        if !matches!(ticket.stage, Stage::Waiting { .. }) {
            return;
        }
        self.give_up(number, u64::from(after_ms), "no seat in time");
    }

    /// Ends a request that no runner answered: 503 where none can have run it, 502 where one may have.
    pub fn give_up(&mut self, number: u64, after_ms: u64, reason: &str) {
        let Some(ticket) = self.tickets.remove(number) else {
            return;
        };
        let conventions = self.options.conventions;
        let after = format!("{:.3}", after_ms.max(RETRY_AFTER_MS) as f64 / 1_000.0);
        let mut headers: Vec<(&str, &[u8])> = vec![(conventions.request_id, &ticket.id)];
        let status = if ticket.may_have_run { 502 } else { 503 };
        if status == 503 {
            headers.push((conventions.retry_after, after.as_bytes()));
        }
        let result = if ticket.may_have_run {
            JobResult::Lost
        } else {
            JobResult::NotRun
        };
        self.end_job(number, &ticket, result);
        self.note_refusal(&ticket, status, reason);
        self.answer(&ticket, status, &headers, reason.as_bytes());
    }

    pub fn note_refusal(&mut self, ticket: &Ticket, status: u16, reason: &str) {
        self.refusals += 1;
        // Told one by one while there are few, then one in a hundred.
        if self.refusals < 50 || self.refusals.is_multiple_of(100) {
            let held = self.now - ticket.began_at;
            log::info!(
                "gateway: refused {status} for {} after {held} ms: {reason} ({} so far)",
                ticket.function,
                self.refusals
            );
        }
    }

    /// The time of a request is over.
    pub fn ticket_is_over(&mut self, number: u64) {
        let Some(ticket) = self.tickets.get(number) else {
            return;
        };
        if let Stage::Sent(sent) = &ticket.stage {
            let (line, lender, runner) = (sent.line, sent.lender.clone(), sent.runner.clone());
            let has_left = sent.has_left;
            let function = ticket.function.clone();
            ticket.may_have_run |= has_left;
            let outcome = if has_left {
                LeaseOutcome::Lost
            } else if ticket.is_gated() {
                LeaseOutcome::Unused
            } else {
                LeaseOutcome::Unreachable
            };
            self.drop_runner_line(line, &runner);
            self.give_back(&lender, &function, number, outcome, 0);
        } else {
            self.withdraw(number);
        }
        let Some(ticket) = self.tickets.get(number) else {
            return;
        };
        if !ticket.may_have_run && !ticket.is_unsure() {
            self.give_up(
                number,
                RETRY_AFTER_MS,
                "the time is over, and it was not run",
            );
            return;
        }
        let Some(ticket) = self.tickets.remove(number) else {
            return;
        };
        let id = self.options.conventions.request_id;
        let (result, text) = if ticket.may_have_run {
            (JobResult::Lost, "the runner did not answer in time")
        } else {
            (
                JobResult::NotRun,
                "another copy may have run, and did not end in time",
            )
        };
        self.end_job(number, &ticket, result);
        self.note_refusal(&ticket, 504, text);
        self.answer(&ticket, 504, &[(id, &ticket.id)], text.as_bytes());
    }

    /// A runner answered this request.
    pub fn answered(&mut self, number: u64, answer: &RunnerAnswer) {
        let response = &answer.response;
        match judge(response, &self.options.conventions) {
            Verdict::Answered => self.ran(number, response),
            Verdict::TurnedAway => self.not_run(number, answer, LeaseOutcome::Rejected),
            Verdict::Misdirected => self.not_run(number, answer, LeaseOutcome::Gone),
            Verdict::Doubtful(reason) => self.lost(number, reason),
        }
    }

    /// A runner says that it did not run a request.
    fn not_run(&mut self, number: u64, answer: &RunnerAnswer, outcome: LeaseOutcome) {
        let now = self.now;
        let Some(ticket) = self.tickets.get(number) else {
            return;
        };
        let Stage::Sent(sent) = &ticket.stage else {
            return;
        };
        let took = now - sent.at;
        let (lender, runner) = (sent.lender.clone(), sent.runner.clone());
        let function = ticket.function.clone();
        // What may be another request's refusal promises nothing for this one.
        ticket.may_have_run |= !answer.is_certain;
        ticket.avoid.push(runner);
        self.give_back(&lender, &function, number, outcome, took);
        if !self.try_again(number, true) {
            self.give_up(number, RETRY_AFTER_MS, "the runner turned it away");
        }
    }

    /// A runner ran a request, and this is its answer.
    fn ran(&mut self, number: u64, response: &Response) {
        let now = self.now;
        let Some(ticket) = self.tickets.get(number) else {
            return;
        };
        let Stage::Sent(sent) = &ticket.stage else {
            return;
        };
        let took = now - sent.at;
        let (lender, runner) = (sent.lender.clone(), sent.runner.clone());
        let function = ticket.function.clone();
        ticket.may_have_run = true;
        self.learn_pace(&function, took);
        self.give_back(&lender, &function, number, LeaseOutcome::Succeeded, took);
        if response.status >= 500 && self.fails_over(number, runner) {
            return;
        }
        let Some(ticket) = self.tickets.remove(number) else {
            return;
        };
        let headers: Vec<(&str, &[u8])> = end_to_end(&response.headers).collect();
        self.answer(&ticket, response.status, &headers, &response.body);
        self.job_answered(number, &ticket, response);
    }

    /// Whether a request that a runner failed is tried at another.
    fn fails_over(&mut self, number: u64, runner: String) -> bool {
        let ticket = self.tickets.get(number);
        let Some(ticket) = ticket.filter(|ticket| !ticket.is_once) else {
            return false;
        };
        ticket.avoid.push(runner);
        self.try_again(number, true)
    }

    fn learn_pace(&mut self, function: &str, took_ms: u64) {
        if let Some(pace) = self.paces.get_mut(function) {
            *pace += (took_ms as f64 - *pace) / PACE_SPAN;
            return;
        }
        if self.paces.len() >= PACES_MAX {
            self.paces.clear();
        }
        self.paces.insert(function.into(), took_ms as f64);
    }

    /// A repeatable request has waited for its answer for many times as long as answers take.
    pub fn answer_is_overdue(&mut self, number: u64, sends: u32) {
        let Some(ticket) = self.tickets.get(number) else {
            return;
        };
        let Stage::Sent(sent) = &ticket.stage else {
            return;
        };
        let is_due = sent.has_left && ticket.sends == sends && ticket.client.is_some();
        let has_credit = self
            .credits
            .get(&ticket.function)
            .is_some_and(RetryBudget::has_balance);
        if !is_due || !has_credit {
            return;
        }
        let (line, runner) = (sent.line, sent.runner.clone());
        self.drop_runner_line(line, &runner);
        self.lost(number, "the runner's answer is overdue");
    }

    /// A request's runner may have run it, and no good answer came.
    pub fn lost(&mut self, number: u64, reason: &str) {
        let Some(ticket) = self.tickets.get(number) else {
            return;
        };
        let Stage::Sent(sent) = &ticket.stage else {
            return;
        };
        let lender = sent.lender.clone();
        let runner = sent.runner.clone();
        let function = ticket.function.clone();
        ticket.may_have_run = true;
        if !ticket.avoid.contains(&runner) {
            ticket.avoid.push(runner);
        }
        self.give_back(&lender, &function, number, LeaseOutcome::Lost, 0);
        if !self.try_again(number, true) {
            self.give_up(number, RETRY_AFTER_MS, reason);
        }
    }
}
