use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What is to be done at some time. Times are milliseconds of a steady clock.
#[derive(Debug)]
pub struct Timers<T: Ord> {
    heap: BinaryHeap<Reverse<(u64, T)>>,
}

impl<T: Ord> Default for Timers<T> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
        }
    }
}

impl<T: Ord> Timers<T> {
    /// Notes something for a time.
    pub fn schedule(&mut self, at: u64, what: T) {
        self.heap.push(Reverse((at, what)));
    }

    /// The next thing that is due.
    pub fn pop_due(&mut self, now: u64) -> Option<T> {
        let Reverse((at, _)) = self.heap.peek()?;
        if *at > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, what))| what)
    }

    /// When the next thing is due.
    pub fn next_deadline(&self) -> Option<u64> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// How many are noted.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether none is noted.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}
