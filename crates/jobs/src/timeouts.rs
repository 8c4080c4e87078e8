//! Timer-driven transitions: retries of register requests, checks of running jobs, and expiry.

use crate::coordinator::{JobCoordinator, RETRY_AFTER_MS};
use crate::job::{register_timeout_ms, Job, JobState};
use process_pause::ProcessPause;

/// Interval in milliseconds at which the register of a running job is checked while other requests wait for the job.
const CHECK_INTERVAL_MS: u64 = 250;
/// Milliseconds after which a claim holder's gateway that is missing from the membership is considered gone. The delay is
/// needed because the known membership may be older than the gateway.
const GONE_AFTER_MS: u64 = 2_000;

impl JobCoordinator {
    /// Runs all timers that are due; must be called frequently. `is_gone` returns whether a gateway's incarnation is known to
    /// have ended.
    pub fn advance_clock(&mut self, now: u64, is_gone: impl Fn(&str, u64) -> bool) {
        self.registers.expire(now);
        for key in self.table.busy_keys() {
            let Some(mut job) = self.table.take_busy(&key) else {
                continue;
            };
            self.expire_waiting(now, &mut job);
            self.advance_job(now, &key, &mut job, &is_gone);
            self.table.put(&key, job);
        }
        self.table.expire(now);
    }

    /// Restarts the waits for missing gateways after a pause of the process: the known membership may be older than a gateway
    /// that runs a job, just as if that gateway had only been learned of now.
    pub fn process_paused(&mut self, pause: ProcessPause) {
        for key in self.table.busy_keys() {
            let Some(mut job) = self.table.take_busy(&key) else {
                continue;
            };
            if let JobState::RunningElsewhere { since, .. } = &mut job.state {
                *since = pause.restart_wait(*since);
            }
            self.table.put(&key, job);
        }
    }

    fn expire_waiting(&mut self, now: u64, job: &mut Job) {
        let expired = job.waiting.iter().filter(|request| request.deadline <= now);
        for request in expired {
            self.table.forget_request(&request.holder);
        }
        job.waiting.retain(|request| request.deadline > now);
    }

    fn advance_job(
        &mut self,
        now: u64,
        key: &str,
        job: &mut Job,
        is_gone: &impl Fn(&str, u64) -> bool,
    ) {
        let has_waiting = !job.waiting.is_empty();
        match &job.state {
            JobState::Idle => self.retry_release(now, key, job),
            JobState::Claiming { .. } => self.retry_claim(now, key, job),
            JobState::Running { .. } if has_waiting => self.check_running(now, key, job),
            JobState::RunningElsewhere { .. } if has_waiting => {
                self.check_running_elsewhere(now, key, job, is_gone);
            }
            JobState::Completed { .. } => self.retry_store(now, key, job),
            JobState::Running { .. } | JobState::RunningElsewhere { .. } | JobState::Lost => {}
        }
    }

    fn retry_release(&mut self, now: u64, key: &str, job: &mut Job) {
        let Some(retry) = &mut job.release else {
            return;
        };
        if retry.is_expired(now) {
            job.release = None;
        } else if retry.is_due(now) {
            self.release_claim(now, key, job);
        }
    }

    fn retry_claim(&mut self, now: u64, key: &str, job: &mut Job) {
        let JobState::Claiming {
            request,
            sent_at,
            retries,
            ..
        } = &mut job.state
        else {
            return;
        };
        if now >= request.claim_deadline {
            let request = request.clone();
            self.reject(&request, RETRY_AFTER_MS);
            self.admit_next(now, key, job);
        } else if now >= *sent_at + register_timeout_ms(*retries) {
            *sent_at = now;
            *retries += 1;
            self.write_claim(now, key, job);
        }
    }

    fn retry_store(&mut self, now: u64, key: &str, job: &mut Job) {
        let JobState::Completed { unpersisted, .. } = &mut job.state else {
            return;
        };
        let Some(result) = unpersisted else {
            return;
        };
        if result.retry.is_expired(now) {
            *unpersisted = None;
        } else if result.retry.is_due(now) {
            self.store_result(now, key, job);
        }
    }

    fn check_running(&mut self, now: u64, key: &str, job: &mut Job) {
        let JobState::Running {
            request,
            checked_at,
        } = &mut job.state
        else {
            return;
        };
        if !job.at_most_once {
            if now >= request.deadline + CHECK_INTERVAL_MS {
                self.admit_next(now, key, job);
            }
        } else if now >= *checked_at + CHECK_INTERVAL_MS {
            *checked_at = now;
            self.check_register(now, key, false);
        }
    }

    fn check_running_elsewhere(
        &mut self,
        now: u64,
        key: &str,
        job: &mut Job,
        is_gone: &impl Fn(&str, u64) -> bool,
    ) {
        let JobState::RunningElsewhere {
            holder,
            since,
            checked_at,
            ..
        } = &mut job.state
        else {
            return;
        };
        if now < *checked_at + CHECK_INTERVAL_MS {
            return;
        }
        *checked_at = now;
        let may_be_gone = now >= *since + GONE_AFTER_MS;
        let is_holder_gone = may_be_gone && is_gone(&holder.gateway, holder.incarnation);
        self.check_register(now, key, is_holder_gone);
    }
}
