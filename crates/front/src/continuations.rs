use crossbeam::channel::{bounded, Receiver, Sender};
use parking_lot::Mutex;
use request_queue::Rejection;
use slab::Slab;
use std::sync::Arc;

/// A call as received, kept until it is answered.
#[derive(Debug)]
pub struct Call {
    pub function: String,
    pub kind: String,
    pub is_once: bool,
    pub content_type: String,
    pub body: Vec<u8>,
    pub idempotency_key: Option<String>,
}

/// Final outcome of a request.
#[derive(Debug)]
pub enum CallOutcome {
    Answered {
        status: u16,
        content_type: String,
        body: Vec<u8>,
    },
    Refused(Rejection),
    /// The request was sent, and no valid response was received.
    Failed(&'static str),
}

struct Continuation {
    generation: u32,
    call: Arc<Call>,
    waker: Sender<CallOutcome>,
    is_sent: bool,
}

/// Continuations of all requests in progress, by slot (index and generation). A finished request is removed, so
/// that late events for its slot are ignored.
#[derive(Default)]
pub struct Continuations {
    table: Mutex<(Slab<Continuation>, u32)>,
}

fn split_slot(slot: u64) -> (usize, u32) {
    ((slot & 0xffff_ffff) as usize, (slot >> 32) as u32)
}

impl Continuations {
    pub fn open(&self, call: Arc<Call>) -> (u64, Receiver<CallOutcome>) {
        let (waker, outcome) = bounded(1);
        let mut table = self.table.lock();
        table.1 = table.1.wrapping_add(1);
        let generation = table.1;
        let index = table.0.insert(Continuation {
            generation,
            call,
            waker,
            is_sent: false,
        });
        (index as u64 | u64::from(generation) << 32, outcome)
    }

    pub fn call(&self, slot: u64) -> Option<Arc<Call>> {
        let (index, generation) = split_slot(slot);
        let table = self.table.lock();
        let found = table.0.get(index);
        found
            .filter(|found| found.generation == generation)
            .map(|found| found.call.clone())
    }

    /// Sets whether bytes of the request may have been sent. Returns the previous value; none if the request has
    /// already ended.
    pub fn mark_sent(&self, slot: u64, is_sent: bool) -> Option<bool> {
        let (index, generation) = split_slot(slot);
        let mut table = self.table.lock();
        let found = table.0.get_mut(index);
        let found = found.filter(|found| found.generation == generation)?;
        Some(std::mem::replace(&mut found.is_sent, is_sent))
    }

    /// Ends a request and wakes its caller. A rejection guarantees that nothing ran, so it is replaced by a failure
    /// if an earlier attempt may have run.
    pub fn end(&self, slot: u64, outcome: CallOutcome) {
        let (index, generation) = split_slot(slot);
        let mut table = self.table.lock();
        let is_current = table
            .0
            .get(index)
            .is_some_and(|found| found.generation == generation);
        if is_current {
            let continuation = table.0.remove(index);
            let outcome = match outcome {
                CallOutcome::Refused(Rejection::BudgetOver) if continuation.is_sent => {
                    CallOutcome::Failed("budget-over")
                }
                CallOutcome::Refused(_) if continuation.is_sent => {
                    CallOutcome::Failed("answer-lost")
                }
                outcome => outcome,
            };
            let _ = continuation.waker.try_send(outcome);
        }
    }

    /// Removes a request on behalf of its caller. Returns whether bytes may have been sent; none if the request has
    /// already ended.
    pub fn abandon(&self, slot: u64) -> Option<bool> {
        let (index, generation) = split_slot(slot);
        let mut table = self.table.lock();
        let found = table.0.get(index)?;
        if found.generation != generation {
            return None;
        }
        Some(table.0.remove(index).is_sent)
    }

    pub fn len(&self) -> usize {
        self.table.lock().0.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn call() -> Arc<Call> {
        Arc::new(Call {
            function: "f".into(),
            kind: "k".into(),
            is_once: false,
            content_type: String::new(),
            body: Vec::new(),
            idempotency_key: None,
        })
    }

    #[test]
    fn nothing_is_sent_after_the_caller_was_notified() {
        let table = Continuations::default();
        let (slot, _outcome) = table.open(call());
        assert_eq!(table.abandon(slot), Some(false));
        assert_eq!(table.mark_sent(slot, true), None);
    }

    #[test]
    fn a_sent_request_is_not_rejected_as_not_run() {
        let table = Continuations::default();
        let (slot, outcome) = table.open(call());
        assert_eq!(table.mark_sent(slot, true), Some(false));
        table.end(slot, CallOutcome::Refused(Rejection::Shed));
        assert!(matches!(outcome.try_recv(), Ok(CallOutcome::Failed(_))));
    }

    #[test]
    fn a_late_response_does_not_reach_the_next_request_in_the_slot() {
        let table = Continuations::default();
        let (old, _) = table.open(call());
        table.abandon(old);
        let (new, outcome) = table.open(call());
        assert_eq!(old & 0xffff_ffff, new & 0xffff_ffff);
        table.end(old, CallOutcome::Failed("late"));
        assert!(outcome.try_recv().is_err());
        assert_eq!(table.len(), 1);
    }
}
