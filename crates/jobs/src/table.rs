use crate::job::Job;
use crate::jobs::Jobs;

/// Most jobs that one keeper knows.
const JOBS_MAX: usize = 50_000;
/// Most bytes of answers that one keeper holds.
const BYTES_MAX: usize = 32 << 20;

impl Jobs {
    pub(crate) fn take_out(&mut self, name: &str) -> Option<Job> {
        let job = self.jobs.remove(name)?;
        self.bytes -= job.packed_len();
        Some(job)
    }

    pub(crate) fn put(&mut self, name: &str, job: Job) {
        if job.is_busy() {
            self.busy.insert(name.to_string());
        } else {
            self.busy.remove(name);
        }
        self.bytes += job.packed_len();
        self.jobs.insert(name.to_string(), job);
        while self.bytes > BYTES_MAX && self.evict() {}
    }

    /// A new job, where there is room for one.
    pub(crate) fn begin(&mut self, now: u64, name: &str) -> Option<Job> {
        if self.jobs.len() >= JOBS_MAX && !self.evict() {
            return None;
        }
        self.queue.push_back((now, name.to_string()));
        Some(Job {
            touched: now,
            ..Job::default()
        })
    }

    /// Forgets the oldest job that is over. Once-work is known again from its register.
    fn evict(&mut self) -> bool {
        let jobs = &self.jobs;
        let mut queue = self.queue.iter();
        let is_over = |name: &String| jobs.get(name).is_some_and(Job::is_over);
        let Some(place) = queue.position(|(_, name)| is_over(name)) else {
            return false;
        };
        let Some((_, name)) = self.queue.remove(place) else {
            return false;
        };
        self.take_out(&name).is_some()
    }

    /// Forgets what was not touched for as long as jobs are remembered.
    pub(crate) fn age_out(&mut self, now: u64) {
        while let Some((at, name)) = self.queue.front().cloned() {
            if now < at + self.remembered_ms {
                return;
            }
            self.queue.pop_front();
            let Some(job) = self.jobs.get(&name) else {
                continue;
            };
            if job.is_busy() || now < job.touched + self.remembered_ms {
                let again = if job.is_busy() { now } else { job.touched };
                self.queue.push_back((again, name));
                continue;
            }
            if let Some(copy) = job.runner() {
                let id = copy.id.clone();
                self.unlist(&id);
            }
            self.take_out(&name);
        }
    }
}
