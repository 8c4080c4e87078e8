use crossbeam::channel::{bounded, Receiver, Sender};
use parking_lot::Mutex;
use request_queue::Refusal;
use slab::Slab;
use std::sync::Arc;

/// What a caller asked for, kept until it is answered.
#[derive(Debug)]
pub struct Call {
    pub function: String,
    pub kind: String,
    pub is_once: bool,
    pub content_type: String,
    pub body: Vec<u8>,
    pub once_key: Option<String>,
}

/// How a ticket ended.
#[derive(Debug)]
pub enum Ending {
    Answered {
        status: u16,
        content_type: String,
        body: Vec<u8>,
    },
    Refused(Refusal),
    /// Sent, and no good answer came.
    Failed(&'static str),
}

struct Continuation {
    generation: u32,
    call: Arc<Call>,
    waker: Sender<Ending>,
    is_sent: bool,
}

/// Continuations of all tickets, by slot: index and generation. A slot that was ended is gone, so
/// that whoever comes late with it finds nothing.
#[derive(Default)]
pub struct Continuations {
    table: Mutex<(Slab<Continuation>, u32)>,
}

fn split(slot: u64) -> (usize, u32) {
    ((slot & 0xffff_ffff) as usize, (slot >> 32) as u32)
}

impl Continuations {
    pub fn open(&self, call: Arc<Call>) -> (u64, Receiver<Ending>) {
        let (waker, ending) = bounded(1);
        let mut table = self.table.lock();
        table.1 = table.1.wrapping_add(1);
        let generation = table.1;
        let index = table.0.insert(Continuation {
            generation,
            call,
            waker,
            is_sent: false,
        });
        (index as u64 | u64::from(generation) << 32, ending)
    }

    pub fn call(&self, slot: u64) -> Option<Arc<Call>> {
        let (index, generation) = split(slot);
        let table = self.table.lock();
        let found = table.0.get(index);
        found
            .filter(|found| found.generation == generation)
            .map(|found| found.call.clone())
    }

    /// Marks that bytes may leave from now on; none where the ticket has ended already. Gives
    /// whether it was marked before.
    pub fn mark_sent(&self, slot: u64, is_sent: bool) -> Option<bool> {
        let (index, generation) = split(slot);
        let mut table = self.table.lock();
        let found = table.0.get_mut(index);
        let found = found.filter(|found| found.generation == generation)?;
        Some(std::mem::replace(&mut found.is_sent, is_sent))
    }

    /// Ends a ticket and wakes its caller. A refusal is a promise that nothing ran, so it is not
    /// given for a ticket of which an earlier try may have run.
    pub fn end(&self, slot: u64, ending: Ending) {
        let (index, generation) = split(slot);
        let mut table = self.table.lock();
        let is_there = table
            .0
            .get(index)
            .is_some_and(|found| found.generation == generation);
        if is_there {
            let continuation = table.0.remove(index);
            let ending = match ending {
                Ending::Refused(Refusal::BudgetOver) if continuation.is_sent => {
                    Ending::Failed("budget-over")
                }
                Ending::Refused(_) if continuation.is_sent => Ending::Failed("answer-lost"),
                ending => ending,
            };
            let _ = continuation.waker.try_send(ending);
        }
    }

    /// Takes a ticket out on the caller's side. Gives whether bytes may have left; none where it
    /// has just been ended.
    pub fn abandon(&self, slot: u64) -> Option<bool> {
        let (index, generation) = split(slot);
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
            once_key: None,
        })
    }

    #[test]
    fn nothing_is_sent_after_the_caller_was_told_so() {
        let table = Continuations::default();
        let (slot, _ending) = table.open(call());
        assert_eq!(table.abandon(slot), Some(false));
        assert_eq!(table.mark_sent(slot, true), None);
    }

    #[test]
    fn a_ticket_that_was_sent_is_not_refused_with_a_promise() {
        let table = Continuations::default();
        let (slot, ending) = table.open(call());
        assert_eq!(table.mark_sent(slot, true), Some(false));
        table.end(slot, Ending::Refused(Refusal::Shed));
        assert!(matches!(ending.try_recv(), Ok(Ending::Failed(_))));
    }

    #[test]
    fn a_late_answer_does_not_reach_the_next_ticket_in_the_slot() {
        let table = Continuations::default();
        let (old, _) = table.open(call());
        table.abandon(old);
        let (new, ending) = table.open(call());
        assert_eq!(old & 0xffff_ffff, new & 0xffff_ffff);
        table.end(old, Ending::Failed("late"));
        assert!(ending.try_recv().is_err());
        assert_eq!(table.len(), 1);
    }
}
