//! The network of the simulated fleet. Messages on a link arrive in order and are lost with the link. A cut link holds
//! messages back until it is healed.

use protocol::{FunctionUpdate, Message};
use seat_leases::OwnershipTable;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

pub enum Event {
    /// Periodic work of one incarnation of a gateway.
    Tick(usize, u64),
    Deliver {
        from: usize,
        to: usize,
        link: u64,
        message: Message,
    },
    /// A gateway receives an ownership table from the scaler.
    Table {
        to: usize,
        incarnation: u64,
        table: Arc<OwnershipTable>,
    },
    /// A gateway receives a function's runners from the scaler.
    Update {
        to: usize,
        incarnation: u64,
        update: FunctionUpdate,
    },
    /// A runner has finished processing a request.
    WorkDone {
        runner: String,
        gateway: usize,
        incarnation: u64,
        request: u64,
    },
    /// A gateway notices that its link with a peer was lost.
    LinkLost {
        at: usize,
        peer: usize,
        incarnation: u64,
    },
    /// The scaler notices that a gateway's link was opened or closed.
    ScalerLink { gateway: usize, is_linked: bool },
    /// A gateway has reported to the scaler that another one is unresponsive.
    Suspicion { gateway: usize },
}

#[derive(Default)]
pub struct Network {
    events: BinaryHeap<Reverse<(u64, u64)>>,
    by_number: BTreeMap<u64, Event>,
    count: u64,
    /// Number of the current link between two gateways. It is incremented when the link is lost.
    links: BTreeMap<(usize, usize), u64>,
    /// The link number that each gateway knows. Messages of a gateway that has not noticed the loss of a link are lost.
    known_links: BTreeMap<(usize, usize), u64>,
    /// Delivery time of the last message in each direction of a link.
    delivered_at: BTreeMap<(usize, usize), u64>,
    /// Directions in which no messages pass.
    cut: BTreeSet<(usize, usize)>,
    queued: BTreeMap<(usize, usize), Vec<(u64, Message)>>,
    /// Directions in which the close of a link has not arrived yet.
    pending_closes: BTreeSet<(usize, usize)>,
}

fn pair(one: usize, other: usize) -> (usize, usize) {
    (one.min(other), one.max(other))
}

impl Network {
    pub fn schedule(&mut self, at: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count)));
        self.by_number.insert(self.count, event);
    }

    pub fn pop_until(&mut self, until: u64) -> Option<(u64, Event)> {
        let Reverse((at, number)) = *self.events.peek()?;
        if at > until {
            return None;
        }
        self.events.pop();
        let event = self.by_number.remove(&number)?;
        Some((at, event))
    }

    pub fn send(&mut self, now: u64, delay: u64, from: usize, to: usize, message: Message) {
        let link = self.known_links.get(&(from, to)).copied().unwrap_or(0);
        if self.cut.contains(&(from, to)) {
            let queued = self.queued.entry((from, to)).or_default();
            queued.push((link, message));
            return;
        }
        let last = self.delivered_at.get(&(from, to)).copied().unwrap_or(0);
        let at = (now + delay).max(last);
        self.delivered_at.insert((from, to), at);
        let event = Event::Deliver {
            from,
            to,
            link,
            message,
        };
        self.schedule(at, event);
    }

    pub fn link(&self, one: usize, other: usize) -> u64 {
        self.links.get(&pair(one, other)).copied().unwrap_or(0)
    }

    /// Records that a gateway noticed the loss of a link. Its next messages use the new link.
    pub fn observe_link(&mut self, at: usize, peer: usize) {
        let link = self.link(at, peer);
        self.known_links.insert((at, peer), link);
    }

    /// Drops the link between two gateways with all messages in flight.
    pub fn lose_link(&mut self, one: usize, other: usize) {
        *self.links.entry(pair(one, other)).or_default() += 1;
        self.queued.remove(&(one, other));
        self.queued.remove(&(other, one));
    }

    pub fn cut(&mut self, from: usize, to: usize) {
        self.cut.insert((from, to));
    }

    pub fn heal(&mut self, now: u64, from: usize, to: usize) {
        self.cut.remove(&(from, to));
        for (link, message) in self.queued.remove(&(from, to)).unwrap_or_default() {
            if link == self.link(from, to) {
                self.send(now, 1, from, to, message);
            }
        }
    }

    /// Whether the close of a link by one gateway reaches the other one now. Otherwise it does once the direction is
    /// healed.
    pub fn close_arrives(&mut self, from: usize, to: usize) -> bool {
        let is_cut = self.cut.contains(&(from, to));
        if is_cut {
            self.pending_closes.insert((from, to));
        }
        !is_cut
    }

    /// Takes the close of a link that has not arrived yet, if there is one.
    pub fn take_pending_close(&mut self, from: usize, to: usize) -> bool {
        self.pending_closes.remove(&(from, to))
    }

    /// Whether messages pass between two gateways in both directions.
    pub fn is_connected(&self, one: usize, other: usize) -> bool {
        !self.cut.contains(&(one, other)) && !self.cut.contains(&(other, one))
    }
}
