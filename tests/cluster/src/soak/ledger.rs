//! Record of the responses that clients and operators got.

use http1::Response;
use serde_json::Value;
use std::fmt;
use std::sync::Mutex;
use std::time::Instant;

/// Outcome of a request as seen by the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// A complete response with this status.
    Answered(u16),
    /// A success response without the seal or the body of this request; the text says which.
    WrongSuccess(String),
    /// A response with the id of another request.
    AnotherRequests(String),
    /// The connection closed or timed out without a complete response.
    Unanswered,
    /// No connection could be established.
    NotConnected,
}

impl ClientOutcome {
    /// Label for summaries.
    pub fn label(&self) -> String {
        match self {
            Self::Answered(status) => status.to_string(),
            Self::WrongSuccess(_) => "wrong success".into(),
            Self::AnotherRequests(_) => "another request's response".into(),
            Self::Unanswered => "unanswered".into(),
            Self::NotConnected => "not connected".into(),
        }
    }
}

/// A request of a client and its outcome.
#[derive(Clone, Debug)]
pub struct ClientRecord {
    pub id: String,
    pub gateway: usize,
    pub target: String,
    /// The API key that it carries.
    pub key: &'static str,
    /// Whether it may run at most once.
    pub at_most_once: bool,
    /// Whether it requests neither a runner fault nor work longer than its route's timeout.
    pub is_ordinary: bool,
    pub sent_at: Instant,
    pub ended_at: Instant,
    pub outcome: ClientOutcome,
}

impl fmt::Display for ClientRecord {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (gateway, held) = (self.gateway + 1, self.ended_at - self.sent_at);
        write!(
            formatter,
            "{} {} at edge-{gateway} after {held:?}: {:?}",
            self.id, self.target, self.outcome
        )
    }
}

/// Outcome of an operator's change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    Acknowledged(Instant),
    Rejected(u16),
    /// No definite response, although it was resent.
    Unclear,
}

/// A configuration that an operator sent.
#[derive(Clone, Debug)]
pub struct ChangeRecord {
    pub base: u64,
    pub version: u64,
    pub document: Value,
    pub outcome: ChangeOutcome,
}

/// A configuration that was read with status 200.
#[derive(Clone, Debug)]
pub struct ReadRecord {
    pub controller: usize,
    pub sent_at: Instant,
    pub version: u64,
    pub document: Value,
}

/// One of the requests with which a client submitted a job.
#[derive(Clone, Debug)]
pub struct JobCopy {
    pub id: String,
    /// `None` if there was no complete response.
    pub status: Option<u16>,
    pub body: Vec<u8>,
}

/// All copies of a job, which share an idempotency key.
#[derive(Clone, Debug)]
pub struct JobRecord {
    pub key: String,
    pub copies: Vec<JobCopy>,
}

/// All responses that clients and operators got in a run.
#[derive(Default)]
pub struct Ledger {
    requests: Mutex<Vec<ClientRecord>>,
    jobs: Mutex<Vec<JobRecord>>,
    changes: Mutex<Vec<ChangeRecord>>,
    reads: Mutex<Vec<ReadRecord>>,
    /// Successes without a runner's seal.
    unsealed: Mutex<Vec<String>>,
    planned_from: Mutex<Option<Instant>>,
    /// Planned restarts: the gateway and when it was asked to stop.
    restarts: Mutex<Vec<(usize, Instant)>>,
}

impl Ledger {
    /// Records a response at a clients' address. Every one that a client of any kind reads is recorded.
    pub fn record_response(&self, request: &str, response: &Response) {
        let is_success = (200..300).contains(&response.status);
        let seal = response.headers.get("Server-Seal");
        if is_success && seal.is_none_or(<[u8]>::is_empty) {
            let unsealed = format!("{request} was answered {} without a seal", response.status);
            self.unsealed.lock().unwrap().push(unsealed);
        }
    }

    /// Successes without a runner's seal.
    pub fn unsealed(&self) -> Vec<String> {
        self.unsealed.lock().unwrap().clone()
    }

    pub fn record_request(&self, record: ClientRecord) {
        self.requests.lock().unwrap().push(record);
    }

    pub fn record_job(&self, record: JobRecord) {
        self.jobs.lock().unwrap().push(record);
    }

    pub fn record_change(&self, record: ChangeRecord) {
        self.changes.lock().unwrap().push(record);
    }

    pub fn record_read(&self, record: ReadRecord) {
        self.reads.lock().unwrap().push(record);
    }

    /// Marks the start of planned work: no other faults occur from now on.
    pub fn begin_planned_work(&self) {
        *self.planned_from.lock().unwrap() = Some(Instant::now());
    }

    /// Records that a gateway is asked to stop for a planned restart.
    pub fn record_restart(&self, gateway: usize) {
        self.restarts
            .lock()
            .unwrap()
            .push((gateway, Instant::now()));
    }

    /// When a gateway was last asked to stop for a planned restart, up to a point in time.
    pub fn restarted_before(&self, gateway: usize, at: Instant) -> Option<Instant> {
        let restarts = self.restarts.lock().unwrap();
        let mut of_gateway = restarts.iter().rev();
        of_gateway
            .find(|(one, asked_at)| *one == gateway && *asked_at <= at)
            .map(|(_, asked_at)| *asked_at)
    }

    /// When planned work began; no other faults occurred after that.
    pub fn planned_from(&self) -> Option<Instant> {
        *self.planned_from.lock().unwrap()
    }

    pub fn requests(&self) -> Vec<ClientRecord> {
        self.requests.lock().unwrap().clone()
    }

    pub fn jobs(&self) -> Vec<JobRecord> {
        self.jobs.lock().unwrap().clone()
    }

    pub fn changes(&self) -> Vec<ChangeRecord> {
        self.changes.lock().unwrap().clone()
    }

    pub fn reads(&self) -> Vec<ReadRecord> {
        self.reads.lock().unwrap().clone()
    }
}
