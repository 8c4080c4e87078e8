use crate::action::{Refusal, Ticket};
use crate::desk::Desk;

/// Tries of one ticket that may end before a runner was reached.
const UNSENT_MAX: u32 = 4;

impl Desk {
    /// Counts the first try of a ticket, which is sent now. What waits for credit may go then.
    pub fn count_first(&mut self, now: u64) {
        let bounds = &self.blueprint.bounds;
        let floor = f64::from(bounds.retry_floor) / self.plan.roster.len().max(1) as f64;
        self.allowance.first(bounds.retry_share, floor);
        self.resend_deferred(now);
    }

    fn resend_deferred(&mut self, now: u64) {
        while self.allowance.has_credit() {
            let Some(ticket) = self.deferred.pop_front() else {
                return;
            };
            self.allowance.take();
            self.hold(now, ticket);
        }
    }

    /// A repeatable ticket whose try failed asks to be tried again; it is held or refused.
    pub fn retry(&mut self, now: u64, ticket: Ticket) -> bool {
        if now >= ticket.budget_end || !self.allowance.take() {
            return false;
        }
        self.hold(now, ticket);
        self.settle(now);
        true
    }

    /// A ticket whose seat was no longer good before anything was sent is held again, a few times
    /// at most.
    pub fn hold_again(&mut self, now: u64, ticket: Ticket) {
        if let Some(ticket) = self.count_unsent(ticket) {
            self.hold(now, ticket);
            self.settle(now);
        }
    }

    /// A ticket whose runner was not there is sent again, as one of the retries: at once where
    /// there is credit, and otherwise as soon as first tries have earned it.
    pub fn send_again(&mut self, now: u64, ticket: Ticket) {
        let Some(ticket) = self.count_unsent(ticket) else {
            return;
        };
        if self.deferred.len() >= self.blueprint.bounds.holding_max as usize {
            return self.refuse(ticket, Refusal::Unreachable);
        }
        self.deferred.push_back(ticket);
        self.resend_deferred(now);
        self.settle(now);
    }

    fn count_unsent(&mut self, mut ticket: Ticket) -> Option<Ticket> {
        ticket.unsent += 1;
        if ticket.unsent > UNSENT_MAX {
            self.refuse(ticket, Refusal::Unreachable);
            return None;
        }
        Some(ticket)
    }

    pub(crate) fn refuse_late_deferred(&mut self, now: u64) {
        let (over, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.deferred)
            .into_iter()
            .partition(|ticket| ticket.budget_end <= now);
        self.deferred = kept.into();
        for ticket in over {
            self.refuse(ticket, Refusal::Unreachable);
        }
    }
}
