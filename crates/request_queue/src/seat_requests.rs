use crate::message::PriorityCount;
use configuration::PeerRef;
use std::collections::BTreeMap;

/// Seats lent to one front of which it has not yet said that it saw them.
const ASSIGNED_MAX: usize = 4_096;

#[derive(Debug)]
pub(crate) struct OpenSeatRequest {
    pub from: PeerRef,
    pub stamp: u64,
    pub heard_at: u64,
    pub priorities: Vec<PriorityCount>,
}

/// Requests for which seats were requested, by priority, and the highest seat number seen by then.
type SentSeatRequest = (Vec<(u8, u32)>, u64);

/// Seat requests that came in from other fronts, and what was lent to and seen from each.
#[derive(Debug, Default)]
pub(crate) struct SeatRequestTable {
    /// By function and bidder.
    seat_requests: BTreeMap<String, BTreeMap<String, OpenSeatRequest>>,
    /// Number of the last seat lent to each front, and for which function.
    assigned: BTreeMap<PeerRef, Vec<(u64, String)>>,
    last: BTreeMap<String, u64>,
    /// Highest seat number seen from each owner.
    seen: BTreeMap<PeerRef, u64>,
    /// The incarnation of each owner that was heard last.
    incarnations: BTreeMap<String, u64>,
    /// Newest stamp of each front's list of held seats.
    pub holds_stamps: BTreeMap<PeerRef, u64>,
    /// What was last seat request, by function and owner, and the highest seat number seen by then.
    pub sent: BTreeMap<(String, String), SentSeatRequest>,
}

impl SeatRequestTable {
    pub fn last_assignment(&self, front: &str) -> u64 {
        self.last.get(front).copied().unwrap_or(0)
    }

    pub fn note_assignment(&mut self, front: &PeerRef, seat_no: u64, function: &str) {
        self.last.insert(front.name.clone(), seat_no);
        let assigned = self.assigned.entry(front.clone()).or_default();
        assigned.push((seat_no, function.to_string()));
        if assigned.len() > ASSIGNED_MAX {
            assigned.remove(0);
        }
    }

    /// The front has seen all seats up to this number.
    pub fn note_seen(&mut self, front: &PeerRef, seen_assignment: u64) {
        if let Some(assigned) = self.assigned.get_mut(front) {
            assigned.retain(|(seat_no, _)| *seat_no > seen_assignment);
        }
    }

    /// Takes a seat request in; seats leased since its front last looked count against it.
    pub fn take_in(
        &mut self,
        function: &str,
        seen_assignment: u64,
        mut seat_request: OpenSeatRequest,
    ) {
        let front = seat_request.from.name.clone();
        let known = self
            .seat_requests
            .get(function)
            .and_then(|seat_requests| seat_requests.get(&front));
        if known.is_some_and(|known| {
            known.from == seat_request.from && known.stamp > seat_request.stamp
        }) {
            return;
        }
        self.note_seen(&seat_request.from, seen_assignment);
        seat_request.priorities.retain(|count| count.count > 0);
        let assigned = self.assigned.get(&seat_request.from).into_iter().flatten();
        let unseen = assigned.filter(|(_, name)| name == function).count();
        for _ in 0..unseen {
            drop_one(&mut seat_request.priorities);
        }
        let seat_requests = self.seat_requests.entry(function.to_string()).or_default();
        if seat_request.priorities.is_empty() {
            seat_requests.remove(&front);
        } else {
            seat_requests.insert(front, seat_request);
        }
        if seat_requests.is_empty() {
            self.seat_requests.remove(function);
        }
    }

    /// Seat requests for a function that were heard since a time.
    pub fn of(&self, function: &str, since: u64) -> impl Iterator<Item = &OpenSeatRequest> {
        let seat_requests = self
            .seat_requests
            .get(function)
            .into_iter()
            .flat_map(BTreeMap::values);
        seat_requests.filter(move |seat_request| seat_request.heard_at >= since)
    }

    /// One request of a priority of this front was served.
    pub fn serve(&mut self, function: &str, front: &str, priority: u8) -> Option<u64> {
        let seat_request = self.seat_requests.get_mut(function)?.get_mut(front)?;
        if let Some(count) = seat_request
            .priorities
            .iter_mut()
            .find(|count| count.priority == priority)
        {
            count.count -= 1;
        }
        seat_request.priorities.retain(|count| count.count > 0);
        Some(seat_request.stamp)
    }

    pub fn forget_old(&mut self, since: u64) {
        self.seat_requests.retain(|_, seat_requests| {
            seat_requests.retain(|_, seat_request| {
                seat_request.heard_at >= since && !seat_request.priorities.is_empty()
            });
            !seat_requests.is_empty()
        });
    }

    pub fn functions(&self) -> Vec<String> {
        self.seat_requests.keys().cloned().collect()
    }

    /// Owners that hold a seat request of this front for the function.
    pub fn sent_to(&self, function: &str) -> Vec<String> {
        let sent = self.sent.keys().filter(|(name, _)| name == function);
        sent.map(|(_, owner)| owner.clone()).collect()
    }

    /// An owner's incarnation that was heard last, and the highest seat number seen from it. Numbers of
    /// two incarnations must not be compared.
    pub fn seen(&self, owner: &str) -> (u64, u64) {
        let incarnation = self.incarnations.get(owner).copied().unwrap_or_default();
        let peer = PeerRef {
            name: owner.to_string(),
            incarnation,
        };
        (incarnation, self.seen.get(&peer).copied().unwrap_or(0))
    }

    /// Whether a seat is newer than all seen from its owner.
    pub fn see(&mut self, owner: &PeerRef, seat_no: u64) -> bool {
        self.incarnations
            .insert(owner.name.clone(), owner.incarnation);
        let seen = self.seen.entry(owner.clone()).or_default();
        let is_new = seat_no > *seen;
        *seen = seat_no.max(*seen);
        is_new
    }

    /// Forgets fronts that are not on the membership.
    pub fn keep_only(&mut self, membership: &[String]) {
        self.seen.retain(|peer, _| membership.contains(&peer.name));
        self.incarnations
            .retain(|name, _| membership.contains(name));
        self.assigned
            .retain(|peer, assigned| membership.contains(&peer.name) && !assigned.is_empty());
        self.holds_stamps
            .retain(|peer, _| membership.contains(&peer.name));
        self.sent.retain(|(_, name), _| membership.contains(name));
    }
}

fn drop_one(priorities: &mut Vec<PriorityCount>) {
    if let Some(first) = priorities.first_mut() {
        first.count -= 1;
        if first.count == 0 {
            priorities.remove(0);
        }
    }
}
