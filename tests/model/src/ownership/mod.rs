//! Model of seat ownership: a few gateways, each with the production `LeaseOwner`, one function with one seat at one runner, and
//! ownership tables that the scaler publishes one after another. Every order of single messages, table updates and request
//! completions is explored, including lost links.
//!
//! The gateways around the owners belong to the model: like `crates/gateway`, they request seats, switch to new owners and report
//! the leases they use. Relayed requests, crashed owners and gateways that cannot reach the scaler are not modelled; the simulated
//! fleet in `crates/seat_leases/tests` covers them.

mod gateway;
mod scripts;

use crate::{Fingerprinter, Model};
use gateway::{Gateway, Phase};
use protocol::Message;
pub use scripts::Script;
use std::collections::{BTreeMap, VecDeque};

/// Scope of the ownership model.
pub struct Ownership {
    /// Number of gateways, including those that join later.
    pub gateways: usize,
    /// The ownership tables that are published, in order.
    pub script: Script,
    /// Total number of client requests.
    pub requests: usize,
    /// Total number of links that are lost.
    pub lost_links: usize,
}

/// A state of the fleet.
#[derive(Clone)]
pub struct State {
    gateways: Vec<Gateway>,
    /// Messages in transit, by sender and receiver, in sending order.
    links: BTreeMap<(usize, usize), VecDeque<Message>>,
    /// Lost links whose loss a gateway has not detected yet: the gateway and its peer.
    undetected_losses: Vec<(usize, usize)>,
    requests_left: usize,
    losses_left: usize,
}

/// A step of the fleet.
#[derive(Clone, Debug)]
pub enum Action {
    /// The next message on a link is delivered.
    Deliver { from: usize, to: usize },
    /// A gateway applies its next table.
    ApplyTable(usize),
    /// A client of a gateway calls the function.
    Request(usize),
    /// The runner has responded to a gateway's request.
    Finish(usize),
    /// A link is lost with all messages in transit on it.
    LoseLink(usize, usize),
    /// An owner asks again about leases whose end it may have missed; enabled only while no message is in transit.
    RequestConfirmations(usize),
    /// A gateway detects that its link with a peer is lost.
    DetectLoss { at: usize, peer: usize },
}

impl State {
    fn send(&mut self, from: usize, to: usize, message: Message) {
        // Messages on a lost link go nowhere until the sender detects the loss.
        if !self.undetected_losses.contains(&(from, to)) {
            self.links.entry((from, to)).or_default().push_back(message);
        }
    }

    fn send_all(&mut self, from: usize, messages: Vec<(usize, Message)>) {
        for (to, message) in messages {
            self.send(from, to, message);
        }
    }

    /// Whether no message is in transit and no lost link is undetected.
    fn is_quiescent(&self) -> bool {
        self.links.values().all(VecDeque::is_empty) && self.undetected_losses.is_empty()
    }

    fn running_requests(&self) -> usize {
        let phases = self.gateways.iter().map(|gateway| &gateway.phase);
        phases
            .filter(|phase| matches!(phase, Phase::AtRunner { .. }))
            .count()
    }

    fn lose_link(&mut self, one: usize, other: usize) {
        for (from, to) in [(one, other), (other, one)] {
            self.links.remove(&(from, to));
            if !self.undetected_losses.contains(&(from, to)) {
                self.undetected_losses.push((from, to));
            }
        }
        self.undetected_losses.sort_unstable();
    }
}

impl Model for Ownership {
    type State = State;
    type Action = Action;

    fn initial_states(&self) -> Vec<State> {
        let gateways = (0..self.gateways).map(|index| Gateway::new(index, &self.script));
        vec![State {
            gateways: gateways.collect(),
            links: BTreeMap::new(),
            undetected_losses: Vec::new(),
            requests_left: self.requests,
            losses_left: self.lost_links,
        }]
    }

    fn actions(&self, state: &State) -> Vec<Action> {
        let mut actions = Vec::new();
        for ((from, to), link) in &state.links {
            // After the loss of a link, messages from the peer arrive only once the receiver has detected the loss and a new
            // link is open.
            if !link.is_empty() && !state.undetected_losses.contains(&(*to, *from)) {
                let (from, to) = (*from, *to);
                actions.push(Action::Deliver { from, to });
            }
        }
        for (at, peer) in &state.undetected_losses {
            let (at, peer) = (*at, *peer);
            actions.push(Action::DetectLoss { at, peer });
        }
        for (index, gateway) in state.gateways.iter().enumerate() {
            if self.script.next_table(index, gateway.version()).is_some() {
                actions.push(Action::ApplyTable(index));
            }
            match gateway.phase {
                Phase::Idle if state.requests_left > 0 && gateway.has_table() => {
                    actions.push(Action::Request(index));
                }
                Phase::AtRunner { .. } => actions.push(Action::Finish(index)),
                _ => {}
            }
            if state.is_quiescent() && !gateway.unconfirmed().is_empty() {
                actions.push(Action::RequestConfirmations(index));
            }
            if state.losses_left > 0 {
                let others = index + 1..self.gateways;
                actions.extend(others.map(|other| Action::LoseLink(index, other)));
            }
        }
        actions
    }

    fn apply(&self, state: &State, action: &Action) -> Result<State, String> {
        let mut next = state.clone();
        match *action {
            Action::Deliver { from, to } => {
                let link = next.links.get_mut(&(from, to));
                let message = link.and_then(VecDeque::pop_front);
                if let Some(message) = message {
                    let sent = next.gateways[to].receive(from, message);
                    next.send_all(to, sent);
                }
            }
            Action::ApplyTable(index) => {
                let table = self
                    .script
                    .next_table(index, next.gateways[index].version());
                if let Some(table) = table {
                    let sent = next.gateways[index].apply_table(table);
                    next.send_all(index, sent);
                }
            }
            Action::Request(index) => {
                next.requests_left -= 1;
                let sent = next.gateways[index].request();
                next.send_all(index, sent);
            }
            Action::Finish(index) => {
                let sent = next.gateways[index].finish();
                next.send_all(index, sent);
            }
            Action::RequestConfirmations(index) => {
                let sent = next.gateways[index].request_confirmations();
                next.send_all(index, sent);
            }
            Action::LoseLink(one, other) => {
                next.losses_left -= 1;
                next.lose_link(one, other);
            }
            Action::DetectLoss { at, peer } => {
                next.undetected_losses.retain(|lost| *lost != (at, peer));
                let sent = next.gateways[at].link_lost(peer);
                next.send_all(at, sent);
            }
        }
        Ok(next)
    }

    fn check(&self, state: &State) -> Result<(), String> {
        let running = state.running_requests();
        if running > gateway::QUOTA as usize {
            return Err(format!("{running} requests at a runner with one seat"));
        }
        let all_tables_applied = (0..self.gateways).all(|index| {
            let version = state.gateways[index].version();
            self.script.next_table(index, version).is_none()
        });
        let has_unconfirmed = |gateway: &Gateway| !gateway.unconfirmed().is_empty();
        let any_unconfirmed = state.gateways.iter().any(has_unconfirmed);
        if state.is_quiescent() && !any_unconfirmed && all_tables_applied && running == 0 {
            let waiting = state.gateways.iter().filter(|gateway| gateway.is_waiting());
            let count = waiting.count();
            if count > 0 {
                return Err(format!("{count} requests wait forever"));
            }
        }
        Ok(())
    }

    fn fingerprint(&self, state: &State) -> u128 {
        let mut fingerprinter = Fingerprinter::default();
        for gateway in &state.gateways {
            fingerprinter.debug(&gateway.summary());
        }
        let links = state.links.iter().filter(|(_, link)| !link.is_empty());
        for link in links {
            fingerprinter.debug(&link);
        }
        fingerprinter.debug(&state.undetected_losses);
        fingerprinter.debug(&(state.requests_left, state.losses_left));
        fingerprinter.finish()
    }

    fn milestones(&self) -> &'static [&'static str] {
        &[
            "a request is at the runner while its owner awaits a hand-over",
            "a lease is unconfirmed",
            "all tables are applied and all requests served",
        ]
    }

    fn reached(&self, state: &State) -> Vec<bool> {
        let mut snapshots = state
            .gateways
            .iter()
            .map(|gateway| gateway.owner.snapshot());
        let awaits = snapshots
            .clone()
            .any(|snapshot| !snapshot.awaited.is_empty());
        let is_unconfirmed =
            snapshots.any(|snapshot| snapshot.leases.iter().any(|lease| lease.is_unconfirmed));
        let is_served = state.requests_left == 0
            && state.gateways.iter().enumerate().all(|(index, gateway)| {
                let has_table = self.script.next_table(index, gateway.version()).is_none();
                has_table && matches!(gateway.phase, Phase::Idle)
            });
        vec![
            awaits && state.running_requests() > 0,
            is_unconfirmed,
            is_served,
        ]
    }
}
