use crate::message::PriorityCount;
use configuration::PeerRef;
use std::collections::BTreeMap;

/// Maximum number of seats leased to one front that it has not yet acknowledged; beyond it the oldest are
/// forgotten.
const MAX_UNSEEN_ASSIGNMENTS: usize = 4_096;

#[derive(Debug)]
pub(crate) struct OpenSeatRequest {
    pub from: PeerRef,
    pub stamp: u64,
    pub received_at: u64,
    pub priorities: Vec<PriorityCount>,
}

/// Number of requests by priority for which seats were requested, and the highest seat number seen by then.
type SentSeatRequest = (Vec<(u8, u32)>, u64);

/// Seat requests received from other fronts, and the seats leased to and received from each of them.
#[derive(Debug, Default)]
pub(crate) struct SeatRequestTable {
    /// Open seat requests by function and requesting front.
    seat_requests: BTreeMap<String, BTreeMap<String, OpenSeatRequest>>,
    /// Seats leased to each front that it has not yet acknowledged: number and function.
    unseen_assignments: BTreeMap<PeerRef, Vec<(u64, String)>>,
    /// Number of the last seat leased to each front.
    last_assignments: BTreeMap<String, u64>,
    /// Highest seat number received from each owner.
    seen: BTreeMap<PeerRef, u64>,
    /// Latest known incarnation of each owner.
    incarnations: BTreeMap<String, u64>,
    /// Newest stamp of each front's list of held seats; older lists are ignored.
    pub holds_stamps: BTreeMap<PeerRef, u64>,
    /// Last seat request sent, by function and owner.
    pub sent: BTreeMap<(String, String), SentSeatRequest>,
}

impl SeatRequestTable {
    pub fn last_assignment(&self, front: &str) -> u64 {
        self.last_assignments.get(front).copied().unwrap_or(0)
    }

    pub fn record_assignment(&mut self, front: &PeerRef, seat_no: u64, function: &str) {
        self.last_assignments.insert(front.name.clone(), seat_no);
        let unseen_assignments = self.unseen_assignments.entry(front.clone()).or_default();
        unseen_assignments.push((seat_no, function.to_string()));
        if unseen_assignments.len() > MAX_UNSEEN_ASSIGNMENTS {
            unseen_assignments.remove(0);
        }
    }

    /// Records that the front has received all seats up to this number.
    pub fn acknowledge_up_to(&mut self, front: &PeerRef, seen_assignment: u64) {
        if let Some(unseen_assignments) = self.unseen_assignments.get_mut(front) {
            unseen_assignments.retain(|(seat_no, _)| *seat_no > seen_assignment);
        }
    }

    /// Stores a seat request, less the seats that the requesting front had not received yet when it sent it.
    pub fn insert(
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
        self.acknowledge_up_to(&seat_request.from, seen_assignment);
        seat_request.priorities.retain(|count| count.count > 0);
        let unseen_assignments = self
            .unseen_assignments
            .get(&seat_request.from)
            .into_iter()
            .flatten();
        let unseen_count = unseen_assignments
            .filter(|(_, name)| name == function)
            .count();
        for _ in 0..unseen_count {
            decrement_first(&mut seat_request.priorities);
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

    /// Seat requests for a function that were received at `since` or later.
    pub fn of(&self, function: &str, since: u64) -> impl Iterator<Item = &OpenSeatRequest> {
        let seat_requests = self
            .seat_requests
            .get(function)
            .into_iter()
            .flat_map(BTreeMap::values);
        seat_requests.filter(move |seat_request| seat_request.received_at >= since)
    }

    /// Removes one request of this priority from the front's seat request, and returns the seat request's stamp.
    pub fn record_lease(&mut self, function: &str, front: &str, priority: u8) -> Option<u64> {
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

    pub fn expire_before(&mut self, since: u64) {
        self.seat_requests.retain(|_, seat_requests| {
            seat_requests.retain(|_, seat_request| {
                seat_request.received_at >= since && !seat_request.priorities.is_empty()
            });
            !seat_requests.is_empty()
        });
    }

    pub fn functions(&self) -> Vec<String> {
        self.seat_requests.keys().cloned().collect()
    }

    /// Owners that have an open seat request of this front for the function.
    pub fn sent_to(&self, function: &str) -> Vec<String> {
        let sent = self.sent.keys().filter(|(name, _)| name == function);
        sent.map(|(_, owner)| owner.clone()).collect()
    }

    /// An owner's latest known incarnation and the highest seat number received from it. Seat numbers of
    /// different incarnations must not be compared.
    pub fn seen(&self, owner: &str) -> (u64, u64) {
        let incarnation = self.incarnations.get(owner).copied().unwrap_or_default();
        let peer = PeerRef {
            name: owner.to_string(),
            incarnation,
        };
        (incarnation, self.seen.get(&peer).copied().unwrap_or(0))
    }

    /// Records a seat number from its owner; true if it is higher than all before it.
    pub fn record_seat_number(&mut self, owner: &PeerRef, seat_no: u64) -> bool {
        self.incarnations
            .insert(owner.name.clone(), owner.incarnation);
        let seen = self.seen.entry(owner.clone()).or_default();
        let is_new = seat_no > *seen;
        *seen = seat_no.max(*seen);
        is_new
    }

    /// Forgets fronts that are not members.
    pub fn retain_members(&mut self, membership: &[String]) {
        self.seen.retain(|peer, _| membership.contains(&peer.name));
        self.incarnations
            .retain(|name, _| membership.contains(name));
        self.unseen_assignments.retain(|peer, unseen_assignments| {
            membership.contains(&peer.name) && !unseen_assignments.is_empty()
        });
        self.holds_stamps
            .retain(|peer, _| membership.contains(&peer.name));
        self.sent.retain(|(_, name), _| membership.contains(name));
    }
}

fn decrement_first(priorities: &mut Vec<PriorityCount>) {
    if let Some(first) = priorities.first_mut() {
        first.count -= 1;
        if first.count == 0 {
            priorities.remove(0);
        }
    }
}
