//! What clients and operators were answered.

use serde_json::Value;
use std::fmt;
use std::sync::Mutex;
use std::time::Instant;

/// How a client's request ended, as the client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// A whole response with this status.
    Answered(u16),
    /// A success that is not the runner's whole, sealed response to this request.
    WrongSuccess(String),
    /// A response that bears the id of another request.
    AnotherRequests(String),
    /// The connection ended or stayed silent without a whole response.
    Unanswered,
    /// No connection came up.
    NotConnected,
}

impl ClientOutcome {
    /// What a summary counts it as.
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

/// One request of a client.
#[derive(Clone, Debug)]
pub struct ClientRecord {
    pub id: String,
    pub gateway: usize,
    pub target: String,
    /// The key that it bears.
    pub key: &'static str,
    /// Whether it must run at most once.
    pub at_most_once: bool,
    /// Whether it asks its runner neither to fail nor to take longer than its route allows.
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

/// How an operator's change ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    Acknowledged(Instant),
    Rejected(u16),
    /// No clear answer came, however often it was sent.
    Unclear,
}

/// One configuration that an operator sent.
#[derive(Clone, Debug)]
pub struct ChangeRecord {
    pub base: u64,
    pub version: u64,
    pub document: Value,
    pub outcome: ChangeOutcome,
}

/// A configuration that was read back with status 200.
#[derive(Clone, Debug)]
pub struct ReadRecord {
    pub controller: usize,
    pub sent_at: Instant,
    pub version: u64,
    pub document: Value,
}

/// One copy of a job, as its client sent it.
#[derive(Clone, Debug)]
pub struct JobCopy {
    pub id: String,
    /// None where no whole response came.
    pub status: Option<u16>,
    pub body: Vec<u8>,
}

/// All copies of one job, which have the same idempotency key.
#[derive(Clone, Debug)]
pub struct JobRecord {
    pub key: String,
    pub copies: Vec<JobCopy>,
}

/// All that clients and operators saw in a run.
#[derive(Default)]
pub struct Ledger {
    requests: Mutex<Vec<ClientRecord>>,
    jobs: Mutex<Vec<JobRecord>>,
    changes: Mutex<Vec<ChangeRecord>>,
    reads: Mutex<Vec<ReadRecord>>,
    planned_from: Mutex<Option<Instant>>,
    /// Gateways that were asked to stop as planned, and when.
    restarts: Mutex<Vec<(usize, Instant)>>,
}

impl Ledger {
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

    /// From now on nothing goes wrong but what operators plan.
    pub fn begin_planned_work(&self) {
        *self.planned_from.lock().unwrap() = Some(Instant::now());
    }

    /// A gateway is asked to stop, as planned.
    pub fn record_restart(&self, gateway: usize) {
        self.restarts
            .lock()
            .unwrap()
            .push((gateway, Instant::now()));
    }

    /// When a gateway was asked to stop last before a time, as planned.
    pub fn restarted_before(&self, gateway: usize, at: Instant) -> Option<Instant> {
        let restarts = self.restarts.lock().unwrap();
        let mut of_gateway = restarts.iter().rev();
        of_gateway
            .find(|(one, asked_at)| *one == gateway && *asked_at <= at)
            .map(|(_, asked_at)| *asked_at)
    }

    /// When planned work began, after which nothing else went wrong.
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
