//! Lease requests that were cancelled at their owners, which have not acknowledged it yet.
//!
//! A request bears the same number when it is made again at the same owner. Until the owner acknowledges the cancellation, what it says of
//! that number is about the former request: a lease that crossed the cancellation is free again there.

use protocol::RequestId;
use std::collections::BTreeMap;

/// Cancellations that are not acknowledged, by owner.
#[derive(Clone, Debug, Default)]
pub struct CancelledRequests {
    by_owner: BTreeMap<String, BTreeMap<RequestId, u32>>,
}

impl CancelledRequests {
    /// A request was cancelled at an owner.
    pub fn record_cancellation(&mut self, owner: &str, id: RequestId) {
        let requests = self.by_owner.entry(owner.into()).or_default();
        *requests.entry(id).or_default() += 1;
    }

    /// An owner has acknowledged it.
    pub fn record_ack(&mut self, owner: &str, id: RequestId) {
        let Some(requests) = self.by_owner.get_mut(owner) else {
            return;
        };
        if let Some(count) = requests.get_mut(&id) {
            *count -= 1;
            if *count == 0 {
                requests.remove(&id);
            }
        }
    }

    /// Whether what an owner says of a request is about one that was cancelled.
    #[must_use]
    pub fn is_cancelled(&self, owner: &str, id: RequestId) -> bool {
        let requests = self.by_owner.get(owner);
        requests.is_some_and(|requests| requests.contains_key(&id))
    }

    /// The link with an owner has ended, and with it all that was on its way.
    pub fn remove_owner(&mut self, owner: &str) {
        self.by_owner.remove(owner);
    }
}
