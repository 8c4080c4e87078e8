//! Log of the requests that reached the runners.

use http1::Headers;
use std::collections::{BTreeMap, HashSet};
use std::sync::Mutex;
use std::time::Instant;

/// What a runner did with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The runner started to process it.
    Ran,
    /// It was addressed to another runner.
    Misdirected,
    /// The runner was already at its concurrency limit.
    OverCapacity,
    /// Its connection was closed while the runner processed it.
    Abandoned,
    /// The runner rejected it because the test asked for that.
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
    /// Values of the tenant header, one for each occurrence.
    pub tenants: Vec<String>,
    /// Values of the client credential header, which the gateway must not forward.
    pub keys: Vec<String>,
    /// All headers as the runner got them.
    pub headers: Headers,
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
    /// Records a request. Returns whether a runner had already run or rejected one with this id.
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

    /// Number of runs by request id.
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
