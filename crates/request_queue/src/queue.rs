use crate::action::QueuedRequest;
use crate::message::PriorityCount;
use std::collections::BTreeMap;

/// One in so many requests is taken by age alone, so that low priorities do not starve.
pub(crate) const AGEING_SHARE: u64 = 8;

/// What became of a request that asked to be held.
#[derive(Debug, PartialEq)]
pub enum Admission {
    /// It is held.
    Held,
    /// It is held, and this one of a lower priority was shed for it.
    HeldAfterShedding(QueuedRequest),
    /// It is not held.
    Full(QueuedRequest),
}

/// Requests of one function that wait for a seat, by priority and then by age.
#[derive(Debug, Default)]
pub struct RequestQueue {
    queued_requests: BTreeMap<(u8, u64, u64), QueuedRequest>,
    entered: u64,
    taken: u64,
}

impl RequestQueue {
    /// How many wait.
    pub fn len(&self) -> usize {
        self.queued_requests.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.queued_requests.is_empty()
    }

    /// Holds a request, where need be in place of the youngest of the lowest priority.
    pub fn admit(&mut self, queued_request: QueuedRequest, most: usize) -> Admission {
        let mut shed = None;
        if self.queued_requests.len() >= most {
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
            Some(shed) => Admission::HeldAfterShedding(shed),
            None => Admission::Held,
        }
    }

    /// Takes the next request: by priority, and every so often the oldest of all.
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

    /// Takes out a request by its slot.
    pub fn remove(&mut self, slot: u64) -> Option<QueuedRequest> {
        let found = self
            .queued_requests
            .iter()
            .find(|(_, held)| held.slot == slot);
        let key = *found?.0;
        self.queued_requests.remove(&key)
    }

    /// Takes out all whose budget is over, or will be before work of the needed time could end. Who has
    /// half of the budget left may always try, also where answers take nearly all of it.
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

    /// Takes out everything.
    pub fn clear(&mut self) -> Vec<QueuedRequest> {
        std::mem::take(&mut self.queued_requests)
            .into_values()
            .collect()
    }

    /// What waits, by priority, the most urgent first.
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
