//! The jobs of one coordinator, bounded by number, memory and age.

use crate::claim::ClaimHolder;
use crate::job::Job;
use protocol::RequestId;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Maximum number of jobs in the table.
const MAX_JOBS: usize = 50_000;
/// Maximum total size in bytes of the responses that are held in memory.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Jobs by register key. To change a job, the caller takes it out and puts it back. The index of busy jobs and the total
/// response size are accurate whenever no job is taken out.
pub(crate) struct JobTable {
    retention_ms: u64,
    jobs: HashMap<String, Job>,
    /// Register key of the job of each request, by gateway and request id.
    keys_by_request: HashMap<(String, RequestId), String>,
    busy: BTreeSet<String>,
    /// Time at which each job was last known to be in use, with its key, oldest first.
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

    /// Takes a job out of the table so that it can be changed.
    pub fn take(&mut self, key: &str) -> Option<Job> {
        let job = self.jobs.remove(key)?;
        self.response_bytes -= job.response_bytes();
        Some(job)
    }

    /// Inserts a job that was taken out or newly created. Evicts jobs while the responses exceed their memory bound.
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

    /// Creates a job that the caller must insert with `put`. Returns `None` if the table is full and no job can be evicted.
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

    /// Takes a busy job out of the table. If the job no longer exists, its key is removed from the index.
    pub fn take_busy(&mut self, key: &str) -> Option<Job> {
        let job = self.take(key);
        if job.is_none() {
            self.busy.remove(key);
        }
        job
    }

    /// Keys of the jobs that have work for a timer, see [`Job::is_busy`].
    pub fn busy_keys(&self) -> Vec<String> {
        self.busy.iter().cloned().collect()
    }

    /// Records which job a request belongs to.
    pub fn index_request(&mut self, holder: (String, RequestId), key: &str) {
        self.keys_by_request.insert(holder, key.to_string());
    }

    /// Register key of a request's job.
    pub fn key_of(&self, gateway: &str, request_id: RequestId) -> Option<String> {
        let holder = (gateway.to_string(), request_id);
        self.keys_by_request.get(&holder).cloned()
    }

    pub fn forget_request(&mut self, holder: &ClaimHolder) {
        let holder = (holder.gateway.clone(), holder.request_id);
        self.keys_by_request.remove(&holder);
    }

    /// Removes all requests of a gateway from the index, and returns the keys of their jobs.
    pub fn forget_gateway(&mut self, gateway: &str) -> BTreeSet<String> {
        let requests = self.keys_by_request.iter();
        let lost = requests.filter(|((name, _), _)| name == gateway);
        let keys = lost.map(|(_, key)| key.clone()).collect();
        self.keys_by_request.retain(|(name, _), _| name != gateway);
        keys
    }

    /// Removes the oldest evictable job. The state of an at-most-once job can be read from its register again.
    fn evict(&mut self) -> bool {
        let jobs = &self.jobs;
        let mut queue = self.expiry_queue.iter();
        let is_evictable = |key: &String| jobs.get(key).is_some_and(Job::is_evictable);
        let Some(index) = queue.position(|(_, key)| is_evictable(key)) else {
            return false;
        };
        let Some((_, key)) = self.expiry_queue.remove(index) else {
            return false;
        };
        self.take(&key).is_some()
    }

    /// Removes jobs that have not been used within the retention time.
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
