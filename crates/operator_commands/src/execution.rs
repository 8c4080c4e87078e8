//! One order from its arrival to its answer: read at a majority, decide, write with the expected version.

use crate::decision::{decide, Decision, Reply};
use crate::evacuation::Evacuations;
use crate::order::{Order, OrderKind};
use register::{Outcome, Stored};
use routing::Documents;

/// Times that an order is decided anew because another one was faster.
pub const ROUNDS_MAX: u32 = 8;

/// What the driver does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Write this value where the register still has the expected version.
    Write {
        /// Expected version of the register.
        expected: u64,
        /// The new value.
        bytes: Vec<u8>,
    },
    /// The order has ended with this answer.
    Reply(Reply),
}

/// An order that is worked on. The driver first reads the order's register at a majority, then feeds each outcome and
/// does the step that comes back, until that is a reply.
#[derive(Clone, Debug)]
pub struct Execution {
    order: Order,
    rounds: u32,
    has_written: bool,
    /// Changes of the order's zone when the order was first decided on.
    zone_changes: Option<u64>,
}

impl Execution {
    /// Begins an order.
    pub fn new(order: Order) -> Self {
        Self {
            order,
            rounds: 0,
            has_written: false,
            zone_changes: None,
        }
    }

    /// The order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Takes how the read or the write ended.
    pub fn on_outcome(&mut self, outcome: Outcome, documents: &dyn Documents) -> Step {
        let has_written = std::mem::take(&mut self.has_written);
        let stored = match outcome {
            Outcome::Settled(_) if has_written => return Step::Reply(Reply::Acknowledged),
            Outcome::Settled(stored) | Outcome::Stale(stored) => stored,
            // A value that was proposed may or may not be chosen later: neither an acknowledgement nor a refusal.
            _ => return unclear("it is not known whether it was taken; send it again"),
        };
        self.rounds += 1;
        if self.rounds > ROUNDS_MAX {
            return unclear("other changes kept winning; send it again");
        }
        self.step(stored, documents)
    }

    fn step(&mut self, stored: Stored, documents: &dyn Documents) -> Step {
        match decide(&self.order, &stored.bytes, documents) {
            Decision::Reply(reply) => Step::Reply(reply),
            Decision::Write(_) if !self.may_write(&stored) => {
                unclear("the zone was changed meanwhile; send it again")
            }
            Decision::Write(bytes) => {
                self.has_written = true;
                let expected = stored.version;
                Step::Write { expected, bytes }
            }
        }
    }

    /// An evacuation order is applied only to the zone's state that it first met. Otherwise one whose caller was
    /// answered by another member long ago could undo a newer, acknowledged order of the same zone. A configuration
    /// order needs no such check: its base pins the one state that it applies to.
    fn may_write(&mut self, stored: &Stored) -> bool {
        let (OrderKind::BeginEvacuation(zone) | OrderKind::FinishEvacuation(zone)) =
            &self.order.kind
        else {
            return true;
        };
        let Some(evacuations) = Evacuations::read(&stored.bytes) else {
            return false;
        };
        let changes = evacuations.changes_of(zone);
        *self.zone_changes.get_or_insert(changes) == changes
    }
}

fn unclear(reason: &str) -> Step {
    Step::Reply(Reply::unclear(reason))
}
