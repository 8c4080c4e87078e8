//! Requests in flight, by ids that are unique within the gateway's incarnation.

use crate::pending_request::PendingRequest;
use crate::request_accounting::{RequestCounts, RequestEnd};
use protocol::RequestId;
use slab::Slab;

/// Bits of an id that hold the request's slot. The remaining bits number the requests of the incarnation and suffice
/// for 10^12 of them.
const SLOT_BITS: u32 = 24;
const SLOT_MASK: u64 = (1 << SLOT_BITS) - 1;

/// All requests in flight.
#[derive(Default)]
pub(crate) struct InFlightRequests {
    slots: Slab<PendingRequest>,
    counts: RequestCounts,
}

fn slot(id: RequestId) -> usize {
    (id.0 & SLOT_MASK) as usize
}

impl InFlightRequests {
    /// Adds a request and assigns its id.
    pub fn add(&mut self, mut request: PendingRequest) -> RequestId {
        self.counts.admitted += 1;
        let entry = self.slots.vacant_entry();
        let id = RequestId((self.counts.admitted << SLOT_BITS) | entry.key() as u64);
        request.id = id;
        entry.insert(request);
        id
    }

    /// The request with this id, if it is still in flight.
    pub fn get(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        let request = self.slots.get_mut(slot(id))?;
        (request.id == id).then_some(request)
    }

    /// Removes a request that has ended. If its client has disconnected, it is counted as [`RequestEnd::ClientLeft`]
    /// whatever its outcome.
    pub fn remove(&mut self, id: RequestId, end: RequestEnd) -> Option<PendingRequest> {
        self.get(id)?;
        let request = self.slots.remove(slot(id));
        let has_client_left = request.downstream.is_none();
        let end = if has_client_left {
            RequestEnd::ClientLeft
        } else {
            end
        };
        self.counts.record_end(end);
        Some(request)
    }

    /// Request counts of this incarnation.
    pub fn counts(&self) -> RequestCounts {
        self.counts
    }

    /// Number of requests in flight.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Requests in flight, by slot.
    pub fn iter(&self) -> impl Iterator<Item = &PendingRequest> {
        self.slots.iter().map(|(_, request)| request)
    }

    /// Ids of the requests that satisfy a predicate.
    pub fn ids(&self, matches: impl Fn(&PendingRequest) -> bool) -> Vec<RequestId> {
        let matching = self.iter().filter(|request| matches(request));
        matching.map(|request| request.id).collect()
    }
}
