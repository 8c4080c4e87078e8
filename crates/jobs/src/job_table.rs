//! The jobs that one coordinator knows, within bounds of number, memory and age.

use crate::claim::ClaimHolder;
use crate::job::Job;
use protocol::RequestId;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Most jobs that one coordinator knows.
const MAX_JOBS: usize = 50_000;
/// Most bytes of responses that one coordinator keeps.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// The jobs, by the key of their register. A job is taken out, changed, and put back; the index of busy jobs and the
/// sum of the responses are right whenever all jobs are in.
pub(crate) struct JobTable {
    retention_ms: u64,
    jobs: HashMap<String, Job>,
    /// Key of the job of each request, by gateway and request id.
    keys_by_request: HashMap<(String, RequestId), String>,
    busy: BTreeSet<String>,
    /// Jobs by the time at which they were last seen to be in use, the oldest first.
    expiry_queue: VecDeque<(u64, String)>,
    response_bytes: usize,
}

impl JobTable {
    pub fn new(retention_ms: u64) -> Self {
        Self {
            retention_ms,
            jobs: HashMap::new(),
            keys_by_request: HashMap::new(),
            busy: BTreeSet::new(),
            expiry_queue: VecDeque::new(),
            response_bytes: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    pub fn response_bytes(&self) -> usize {
        self.response_bytes
    }

    /// Takes a job out, to change it.
    pub fn take(&mut self, key: &str) -> Option<Job> {
        let job = self.jobs.remove(key)?;
        self.response_bytes -= job.response_bytes();
        Some(job)
    }

    /// Puts a job back, or a new one in; evicts others where there are too many bytes.
    pub fn put(&mut self, key: &str, job: Job) {
        if job.is_busy() {
            self.busy.insert(key.to_string());
        } else {
            self.busy.remove(key);
        }
        self.response_bytes += job.response_bytes();
        self.jobs.insert(key.to_string(), job);
        while self.response_bytes > MAX_RESPONSE_BYTES && self.evict() {}
    }

    /// A new job, to be put in; none where the table is full of jobs in use.
    pub fn create(&mut self, now: u64, key: &str) -> Option<Job> {
        if self.jobs.len() >= MAX_JOBS && !self.evict() {
            return None;
        }
        self.expiry_queue.push_back((now, key.to_string()));
        Some(Job {
            used_at: now,
            ..Job::default()
        })
    }

    /// Takes a busy job out; one that is busy no more leaves the index.
    pub fn take_busy(&mut self, key: &str) -> Option<Job> {
        let job = self.take(key);
        if job.is_none() {
            self.busy.remove(key);
        }
        job
    }

    /// Keys of the jobs that time alone may change.
    pub fn busy_keys(&self) -> Vec<String> {
        self.busy.iter().cloned().collect()
    }

    /// Notes that a request belongs to a job.
    pub fn index_request(&mut self, holder: (String, RequestId), key: &str) {
        self.keys_by_request.insert(holder, key.to_string());
    }

    /// Key of the job of a request.
    pub fn key_of(&self, gateway: &str, request_id: RequestId) -> Option<String> {
        let holder = (gateway.to_string(), request_id);
        self.keys_by_request.get(&holder).cloned()
    }

    pub fn forget_request(&mut self, holder: &ClaimHolder) {
        let holder = (holder.gateway.clone(), holder.request_id);
        self.keys_by_request.remove(&holder);
    }

    /// Forgets all requests of a gateway; gives the keys of their jobs.
    pub fn forget_gateway(&mut self, gateway: &str) -> BTreeSet<String> {
        let requests = self.keys_by_request.iter();
        let lost = requests.filter(|((name, _), _)| name == gateway);
        let keys = lost.map(|(_, key)| key.clone()).collect();
        self.keys_by_request.retain(|(name, _), _| name != gateway);
        keys
    }

    /// Forgets the oldest job that is over. An at-most-once job is known again from its register.
    fn evict(&mut self) -> bool {
        let jobs = &self.jobs;
        let mut queue = self.expiry_queue.iter();
        let is_over = |key: &String| jobs.get(key).is_some_and(Job::is_over);
        let Some(index) = queue.position(|(_, key)| is_over(key)) else {
            return false;
        };
        let Some((_, key)) = self.expiry_queue.remove(index) else {
            return false;
        };
        self.take(&key).is_some()
    }

    /// Forgets jobs that were not used within the retention time.
    pub fn expire(&mut self, now: u64) {
        while let Some((used_at, key)) = self.expiry_queue.front().cloned() {
            if now < used_at + self.retention_ms {
                return;
            }
            self.expiry_queue.pop_front();
            self.expire_job(now, key);
        }
    }

    fn expire_job(&mut self, now: u64, key: String) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        if job.is_busy() || now < job.used_at + self.retention_ms {
            let used_at = if job.is_busy() { now } else { job.used_at };
            self.expiry_queue.push_back((used_at, key));
            return;
        }
        let admitted = job.admitted().map(|request| request.holder.clone());
        if let Some(holder) = admitted {
            self.forget_request(&holder);
        }
        self.take(&key);
    }
}
