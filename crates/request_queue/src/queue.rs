use crate::action::QueuedRequest;
use crate::message::PriorityCount;
use std::collections::BTreeMap;

/// One in this many requests is taken by age alone, so that low priorities do not starve.
pub(crate) const AGEING_SHARE: u64 = 8;

/// Result of adding a request to a queue.
#[derive(Debug, PartialEq)]
pub enum Admission {
    /// The request was queued.
    Queued,
    /// The request was queued, and this one of a lower priority was shed to make room.
    QueuedAfterShedding(QueuedRequest),
    /// The queue is full; the request is returned.
    Full(QueuedRequest),
}

/// Requests of one function that wait for a seat, ordered by priority and then by age.
#[derive(Debug, Default)]
pub struct RequestQueue {
    queued_requests: BTreeMap<(u8, u64, u64), QueuedRequest>,
    entered: u64,
    taken: u64,
}

impl RequestQueue {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.queued_requests.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.queued_requests.is_empty()
    }

    /// Adds a request. A full queue sheds the newest request of the lowest priority, if that is below the new one's.
    pub fn admit(&mut self, queued_request: QueuedRequest, limit: usize) -> Admission {
        let mut shed = None;
        if self.queued_requests.len() >= limit {
            let lowest = self.queued_requests.keys().next_back().copied();
            let Some(key) = lowest.filter(|(priority, ..)| *priority > queued_request.priority)
            else {
                return Admission::Full(queued_request);
            };
            shed = self.queued_requests.remove(&key);
        }
        self.entered += 1;
        self.queued_requests.insert(
            (
                queued_request.priority,
                queued_request.arrived,
                self.entered,
            ),
            queued_request,
        );
        match shed {
            Some(shed) => Admission::QueuedAfterShedding(shed),
            None => Admission::Queued,
        }
    }

    /// Takes the next request by priority; one in `AGEING_SHARE` times the oldest of all.
    pub fn take(&mut self) -> Option<QueuedRequest> {
        self.taken += 1;
        if self.taken.is_multiple_of(AGEING_SHARE) {
            let oldest = self
                .queued_requests
                .keys()
                .min_by_key(|(_, arrived, _)| *arrived);
            let key = oldest.copied()?;
            return self.queued_requests.remove(&key);
        }
        self.queued_requests
            .pop_first()
            .map(|(_, queued_request)| queued_request)
    }

    /// Removes a request by its slot.
    pub fn remove(&mut self, slot: u64) -> Option<QueuedRequest> {
        let found = self
            .queued_requests
            .iter()
            .find(|(_, held)| held.slot == slot);
        let key = *found?.0;
        self.queued_requests.remove(&key)
    }

    /// Removes the requests whose budget has expired, or will expire before work that takes `needed`
    /// milliseconds could finish. A request with more than half of its budget left always stays, even if
    /// responses take nearly the whole budget.
    pub fn expire(&mut self, now: u64, needed: u64) -> Vec<QueuedRequest> {
        let over = |queued_request: &QueuedRequest| {
            let half = queued_request
                .budget_end
                .saturating_sub(queued_request.arrived)
                / 2;
            queued_request.budget_end <= now + needed.min(half)
        };
        let keys: Vec<_> = self
            .queued_requests
            .iter()
            .filter(|(_, queued_request)| over(queued_request))
            .map(|(key, _)| *key)
            .collect();
        keys.iter()
            .filter_map(|key| self.queued_requests.remove(key))
            .collect()
    }

    /// Removes and returns all requests.
    pub fn clear(&mut self) -> Vec<QueuedRequest> {
        std::mem::take(&mut self.queued_requests)
            .into_values()
            .collect()
    }

    /// Number of queued requests by priority, the most urgent first.
    pub fn priorities(&self, now: u64) -> Vec<PriorityCount> {
        let mut priorities: Vec<PriorityCount> = Vec::new();
        for (priority, arrived, _) in self.queued_requests.keys() {
            let oldest_ms = now.saturating_sub(*arrived);
            match priorities.last_mut() {
                Some(last) if last.priority == *priority => last.count += 1,
                _ => priorities.push(PriorityCount {
                    priority: *priority,
                    count: 1,
                    oldest_ms,
                }),
            }
        }
        priorities
    }
}
