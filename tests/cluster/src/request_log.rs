//! What reached the runners.

use std::collections::{BTreeMap, HashSet};
use std::sync::Mutex;
use std::time::Instant;

/// What a runner did with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It began to work on it.
    Ran,
    /// It was meant for another runner.
    Misdirected,
    /// The runner had as many in flight as it may.
    OverCapacity,
    /// Its connection was closed while the runner worked on it.
    Abandoned,
    /// The test asked for its rejection.
    Rejected,
}

/// A request that reached a runner.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub id: String,
    pub service: String,
    pub runner: String,
    pub zone: String,
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
    /// Names of the tenant, one for each such header.
    pub tenants: Vec<String>,
    /// Keys of clients, which no runner may see.
    pub keys: Vec<String>,
    pub outcome: RequestOutcome,
    pub at: Instant,
}

#[derive(Default)]
struct Records {
    received: Vec<ReceivedRequest>,
    /// Ids of the requests that a runner ran or rejected.
    handled: HashSet<String>,
}

/// All requests that reached any runner.
#[derive(Default)]
pub struct RequestLog {
    records: Mutex<Records>,
}

impl RequestLog {
    /// Records a request; true where a runner ran or rejected one of this id before.
    pub fn record(&self, request: ReceivedRequest) -> bool {
        let mut records = self.records.lock().unwrap();
        let is_known = records.handled.contains(&request.id);
        if matches!(
            request.outcome,
            RequestOutcome::Ran | RequestOutcome::Rejected
        ) {
            records.handled.insert(request.id.clone());
        }
        records.received.push(request);
        is_known
    }

    pub fn all(&self) -> Vec<ReceivedRequest> {
        self.records.lock().unwrap().received.clone()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub fn len(&self) -> usize {
        self.records.lock().unwrap().received.len()
    }

    /// How often each request ran.
    pub fn runs(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        for request in self.all() {
            if request.outcome == RequestOutcome::Ran {
                *runs.entry(request.id).or_insert(0) += 1;
            }
        }
        runs
    }

    pub fn count(&self, outcome: RequestOutcome) -> usize {
        let records = self.records.lock().unwrap();
        let received = records.received.iter();
        received.filter(|one| one.outcome == outcome).count()
    }
}
