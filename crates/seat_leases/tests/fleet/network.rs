//! The network of the simulated fleet: messages on a link keep their order, and are lost with the link. A cut link holds what is sent.

use protocol::{FunctionUpdate, Message};
use seat_leases::OwnershipTable;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

pub enum Event {
    /// Periodic work of a gateway's incarnation.
    Tick(usize, u64),
    Deliver {
        from: usize,
        to: usize,
        link: u64,
        message: Message,
    },
    /// The scaler tells a gateway a table.
    Table {
        to: usize,
        incarnation: u64,
        table: Arc<OwnershipTable>,
    },
    /// The scaler tells a gateway a function's runners.
    Update {
        to: usize,
        incarnation: u64,
        update: FunctionUpdate,
    },
    /// A runner has done a request's work.
    WorkDone {
        runner: String,
        gateway: usize,
        incarnation: u64,
        request: u64,
    },
    /// A gateway learns that its link with a peer has ended.
    LinkLost {
        at: usize,
        peer: usize,
        incarnation: u64,
    },
    /// The scaler learns that a gateway has a link, or none any more.
    Notice { gateway: usize, is_linked: bool },
    /// A gateway has told the scaler that another one is silent.
    Suspicion { gateway: usize },
}

#[derive(Default)]
pub struct Network {
    events: BinaryHeap<Reverse<(u64, u64)>>,
    by_number: BTreeMap<u64, Event>,
    count: u64,
    /// Number of the link between two gateways; it rises as the link is lost.
    links: BTreeMap<(usize, usize), u64>,
    /// Number of the link with another gateway as each one knows it: who has not noticed yet that a link is lost writes to nobody.
    known_links: BTreeMap<(usize, usize), u64>,
    /// When the last message on a link's direction is delivered.
    delivered_at: BTreeMap<(usize, usize), u64>,
    /// Directions that carry nothing.
    cut: BTreeSet<(usize, usize)>,
    held: BTreeMap<(usize, usize), Vec<(u64, Message)>>,
    /// Directions on which the end of a link is still to arrive.
    unheard_ends: BTreeSet<(usize, usize)>,
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
            let held = self.held.entry((from, to)).or_default();
            held.push((link, message));
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

    /// A gateway has noticed that its link with a peer is lost; what it sends from now on goes over the next one.
    pub fn notice(&mut self, at: usize, peer: usize) {
        let link = self.link(at, peer);
        self.known_links.insert((at, peer), link);
    }

    /// The link between two gateways is lost, with all that is under way on it.
    pub fn lose_link(&mut self, one: usize, other: usize) {
        *self.links.entry(pair(one, other)).or_default() += 1;
        self.held.remove(&(one, other));
        self.held.remove(&(other, one));
    }

    pub fn cut(&mut self, from: usize, to: usize) {
        self.cut.insert((from, to));
    }

    pub fn heal(&mut self, now: u64, from: usize, to: usize) {
        self.cut.remove(&(from, to));
        for (link, message) in self.held.remove(&(from, to)).unwrap_or_default() {
            if link == self.link(from, to) {
                self.send(now, 1, from, to, message);
            }
        }
    }

    /// Whether the end of a link, which one gateway has closed, arrives at the other one now; else it does once the direction is healed.
    pub fn end_arrives(&mut self, from: usize, to: usize) -> bool {
        let is_cut = self.cut.contains(&(from, to));
        if is_cut {
            self.unheard_ends.insert((from, to));
        }
        !is_cut
    }

    /// Takes the end of a link that is still to arrive, if there is one.
    pub fn take_unheard_end(&mut self, from: usize, to: usize) -> bool {
        self.unheard_ends.remove(&(from, to))
    }

    /// Whether two gateways hear each other.
    pub fn is_whole(&self, one: usize, other: usize) -> bool {
        !self.cut.contains(&(one, other)) && !self.cut.contains(&(other, one))
    }
}
