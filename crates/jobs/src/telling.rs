use crate::claim::RunnerId;
use crate::job::{Copy, Job};
use crate::jobs::Jobs;
use crate::JobAction;
use protocol::JobVerdict;

impl Jobs {
    pub(crate) fn seat(&mut self, now: u64, copy: &Copy) {
        let gateway = copy.id.gateway.clone();
        let action = JobAction::Seat(gateway, copy.district.clone(), copy.bid_now(now));
        self.actions.push(action);
    }

    pub(crate) fn unseat(&mut self, copy: &Copy) {
        let action = JobAction::Withdraw(copy.id.gateway.clone(), copy.id.ticket);
        self.actions.push(action);
    }

    pub(crate) fn join(&mut self, copy: &Copy) {
        let gateway = copy.id.gateway.clone();
        let action = JobAction::Joined(gateway, copy.id.ticket, copy.attempt);
        self.actions.push(action);
    }

    /// Tells a copy what came of the job; it waits no more.
    pub(crate) fn tell(&mut self, copy: &Copy, verdict: JobVerdict) {
        let gateway = copy.id.gateway.clone();
        let action = JobAction::Tell(gateway, copy.id.ticket, copy.attempt, verdict);
        self.actions.push(action);
    }

    /// Tells all copies that wait.
    pub(crate) fn tell_all(&mut self, job: &mut Job, verdict: &JobVerdict) {
        for copy in std::mem::take(&mut job.copies) {
            self.unlist(&copy.id);
            self.tell(&copy, verdict.clone());
        }
    }

    pub(crate) fn unlist(&mut self, id: &RunnerId) {
        self.tickets.remove(&(id.gateway.clone(), id.ticket));
    }
}
