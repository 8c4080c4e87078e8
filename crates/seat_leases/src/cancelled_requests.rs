//! Cancelled lease requests that their owners have not acknowledged yet.
//!
//! A request keeps its id when it is sent to the same owner again. Until the owner acknowledges the cancellation, its
//! messages about that id refer to the earlier request. A lease that crossed the cancellation on its way has already been
//! freed by the owner.

use protocol::RequestId;
use std::collections::BTreeMap;

/// Number of unacknowledged cancellations per owner and request.
#[derive(Clone, Debug, Default)]
pub struct CancelledRequests {
    by_owner: BTreeMap<String, BTreeMap<RequestId, u32>>,
}

impl CancelledRequests {
    /// Records that a request was cancelled at an owner.
    pub fn record_cancellation(&mut self, owner: &str, id: RequestId) {
        let requests = self.by_owner.entry(owner.into()).or_default();
        *requests.entry(id).or_default() += 1;
    }

    /// Records that an owner acknowledged a cancellation.
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

    /// Whether a message of an owner about this request refers to a cancelled request and must be ignored.
    #[must_use]
    pub fn is_cancelled(&self, owner: &str, id: RequestId) -> bool {
        let requests = self.by_owner.get(owner);
        requests.is_some_and(|requests| requests.contains_key(&id))
    }

    /// Drops the cancellations at an owner whose link closed: messages in flight were lost with the link.
    pub fn remove_owner(&mut self, owner: &str) {
        self.by_owner.remove(owner);
    }
}
