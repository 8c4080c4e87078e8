//! A queue of deadlines for one thread.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Items ordered by due time; items due at the same time are ordered by value, smallest first. Times are milliseconds of a
/// monotonic clock that the caller reads. A timer can't be cancelled: the caller ignores one that no longer applies.
#[derive(Debug)]
pub struct Timers<T: Ord> {
    heap: BinaryHeap<Reverse<Timer<T>>>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer<T> {
    due_at: u64,
    item: T,
}

impl<T: Ord> Default for Timers<T> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
        }
    }
}

impl<T: Ord> Timers<T> {
    /// Schedules an item for a due time.
    pub fn schedule(&mut self, due_at: u64, item: T) {
        self.heap.push(Reverse(Timer { due_at, item }));
    }

    /// Removes and returns the earliest item that is due.
    pub fn pop_due(&mut self, now: u64) -> Option<T> {
        let Reverse(earliest) = self.heap.peek()?;
        if earliest.due_at > now {
            return None;
        }
        self.heap.pop().map(|Reverse(timer)| timer.item)
    }

    /// Due time of the earliest item, if any is scheduled.
    pub fn next_deadline(&self) -> Option<u64> {
        self.heap.peek().map(|Reverse(timer)| timer.due_at)
    }

    /// Number of scheduled items.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether no item is scheduled.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}
