//! Order in which starts are commanded: those for which requests wait, then the others; each by priority and age.

use std::collections::BTreeSet;

/// How soon a start is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StartUrgency {
    /// Requests wait for it. Goes before stops.
    RequestsWaiting,
    /// It adds to what serves already. Goes after stops.
    Proactive,
}

impl StartUrgency {
    /// The urgency of a start for a function for which requests wait or not.
    pub fn for_waiting(is_waiting: bool) -> Self {
        if is_waiting {
            Self::RequestsWaiting
        } else {
            Self::Proactive
        }
    }
}

/// Place of a start in the queue. The derived order is the queue's order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuedStart {
    /// How soon it is needed.
    pub urgency: StartUrgency,
    /// Priority of its function; the lowest goes first.
    pub priority: u8,
    /// Serial of the runner.
    pub serial: u64,
}

/// Starts that are wanted and not commanded yet.
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

    /// Moves a runner's start before those for which nothing waits.
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

    /// The entries of one urgency, in their order.
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
