use crate::claim::RunnerId;
use crate::job::{Copy, Job};
use crate::jobs::Jobs;
use crate::JobErrand;
use dispatch::JobVerdict;

impl Jobs {
    pub(crate) fn seat(&mut self, now: u64, copy: &Copy) {
        let front = copy.id.front.clone();
        let errand = JobErrand::Seat(front, copy.district.clone(), copy.bid_now(now));
        self.errands.push(errand);
    }

    pub(crate) fn unseat(&mut self, copy: &Copy) {
        let errand = JobErrand::Withdraw(copy.id.front.clone(), copy.id.ticket);
        self.errands.push(errand);
    }

    pub(crate) fn join(&mut self, copy: &Copy) {
        let front = copy.id.front.clone();
        let errand = JobErrand::Joined(front, copy.id.ticket, copy.attempt);
        self.errands.push(errand);
    }

    /// Tells a copy what came of the job; it waits no more.
    pub(crate) fn tell(&mut self, copy: &Copy, verdict: JobVerdict) {
        let front = copy.id.front.clone();
        let errand = JobErrand::Tell(front, copy.id.ticket, copy.attempt, verdict);
        self.errands.push(errand);
    }

    /// Tells all copies that wait.
    pub(crate) fn tell_all(&mut self, job: &mut Job, verdict: &JobVerdict) {
        for copy in std::mem::take(&mut job.copies) {
            self.unlist(&copy.id);
            self.tell(&copy, verdict.clone());
        }
    }

    pub(crate) fn unlist(&mut self, id: &RunnerId) {
        self.tickets.remove(&(id.front.clone(), id.ticket));
    }
}
