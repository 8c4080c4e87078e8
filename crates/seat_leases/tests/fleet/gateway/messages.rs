//! Messages between gateways, and actions of the owner's state machine.

use super::Health;
use crate::fleet::network::Event;
use crate::fleet::{gateway_name, index_of, Fleet};
use protocol::Message;
use seat_leases::LeaseAction;

impl Fleet {
    pub fn run_actions(&mut self, index: usize) {
        loop {
            let actions = self.gateways[index].owner.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.run_action(index, action);
            }
        }
    }

    fn run_action(&mut self, index: usize, action: LeaseAction) {
        let name = gateway_name(index);
        let Some((to, message)) = action.into_message() else {
            return;
        };
        if to == name {
            self.message_received(index, &name, message);
        } else {
            self.send(index, index_of(&to), message);
        }
    }

    pub fn deliver(&mut self, from: usize, to: usize, link: u64, message: Message) {
        if link != self.network.link(from, to) || self.gateways[to].health == Health::Down {
            return;
        }
        if self.gateways[to].health == Health::Paused {
            let event = Event::Deliver {
                from,
                to,
                link,
                message,
            };
            self.gateways[to].deferred.push(event);
            return;
        }
        let name = gateway_name(from);
        self.gateways[to].suspects.remove(&name);
        self.message_received(to, &name, message);
    }

    fn message_received(&mut self, index: usize, from: &str, message: Message) {
        let now = self.now;
        let gateway = &mut self.gateways[index];
        match message {
            Message::LeaseRequest(request) => self.place_request(index, from, request),
            Message::RelayedLeaseRequest(relayed) => {
                let zone = relayed.zone.clone();
                let request = relayed.into_request();
                let owner = &mut self.gateways[index].owner;
                owner.request_lease(now, from, &zone, request);
            }
            Message::CancelRequest(id) => {
                self.cancel_locally(index, from, id);
                self.send(index, index_of(from), Message::LeaseRequestCancelled(id));
            }
            Message::SeatLease(lease) if gateway.cancelled.is_cancelled(from, lease.request_id) => {
            }
            Message::LeaseRelease(release) => self.release_locally(index, from, &release),
            Message::LeasesInUse { function, runners } => {
                gateway.owner.adopt_leases(now, from, &function, &runners);
            }
            Message::SeatLease(lease) => match gateway.relayed.record_lease(from, &lease) {
                Some((to, lease)) if to != gateway.name => {
                    self.send(index, index_of(&to), Message::SeatLease(lease));
                }
                Some((_, lease)) => {
                    let name = gateway_name(index);
                    self.lease_received(index, &name, lease);
                }
                None => self.lease_received(index, from, lease),
            },
            Message::Reject {
                request_id,
                retry_after_ms,
            } => self.rejection_received(index, from, request_id, retry_after_ms),
            other => self.ownership_message(index, from, other),
        }
        self.run_actions(index);
    }

    fn ownership_message(&mut self, index: usize, from: &str, message: Message) {
        let now = self.now;
        let gateway = &mut self.gateways[index];
        match message {
            Message::LeaseRequestCancelled(id) => gateway.cancelled.record_ack(from, id),
            Message::RequestHandover(version) => gateway.owner.handover_requested(from, version),
            Message::SeatHandover(handover) => {
                let _ = gateway.owner.receive_handover(now, from, handover);
            }
            Message::ConfirmLeases(requests) => {
                let ended = gateway.confirm(from, &requests);
                if from == gateway.name {
                    gateway.owner.leases_ended(now, from, &ended);
                } else {
                    self.send(index, index_of(from), Message::LeasesEnded(ended));
                }
            }
            Message::LeasesEnded(requests) => gateway.owner.leases_ended(now, from, &requests),
            other => unreachable!("not sent by a simulated gateway: {other:?}"),
        }
    }
}
