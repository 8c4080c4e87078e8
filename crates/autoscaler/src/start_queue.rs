//! Queue of starts to be commanded: those with waiting requests first, then the others, each ordered by priority and age.

use std::collections::BTreeSet;

/// Urgency of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StartUrgency {
    /// Requests are waiting for it. Sent before stops.
    RequestsWaiting,
    /// It is not needed for waiting requests. Sent after stops.
    Proactive,
}

impl StartUrgency {
    /// The urgency of a start, given whether requests of its function are waiting.
    pub fn for_waiting(is_waiting: bool) -> Self {
        if is_waiting {
            Self::RequestsWaiting
        } else {
            Self::Proactive
        }
    }
}

/// An entry of the start queue. The derived order is the order of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuedStart {
    /// Urgency of the start.
    pub urgency: StartUrgency,
    /// Priority of the function; lower numbers come first.
    pub priority: u8,
    /// Serial of the runner, which orders equal priorities by age.
    pub serial: u64,
}

/// Starts that have not been commanded yet.
#[derive(Debug, Default)]
pub(crate) struct StartQueue {
    queued: BTreeSet<QueuedStart>,
}

impl StartQueue {
    /// Adds a start.
    pub fn push(&mut self, start: QueuedStart) {
        self.queued.insert(start);
    }

    /// Removes one entry.
    pub fn remove(&mut self, start: &QueuedStart) {
        self.queued.remove(start);
    }

    /// Removes all entries of a runner.
    pub fn remove_runner(&mut self, serial: u64) {
        self.queued.retain(|start| start.serial != serial);
    }

    /// Moves a runner's start ahead of those without waiting requests.
    pub fn expedite(&mut self, priority: u8, serial: u64) {
        let mut start = QueuedStart {
            urgency: StartUrgency::Proactive,
            priority,
            serial,
        };
        if self.queued.remove(&start) {
            start.urgency = StartUrgency::RequestsWaiting;
            self.queued.insert(start);
        }
    }

    /// The entries of one urgency, in queue order.
    pub fn entries(&self, urgency: StartUrgency) -> Vec<QueuedStart> {
        let first = QueuedStart {
            urgency,
            priority: 0,
            serial: 0,
        };
        let last = QueuedStart {
            urgency,
            priority: u8::MAX,
            serial: u64::MAX,
        };
        self.queued.range(first..=last).copied().collect()
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.queued.len()
    }
}
