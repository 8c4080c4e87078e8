//! Changes of the ownership table, and lost links.

use super::{Health, Phase, SUSPECT_MS};
use crate::fleet::network::Event;
use crate::fleet::{gateway_name, Fleet};
use protocol::RequestId;
use seat_leases::{OwnershipTable, SeatStatus};
use std::collections::BTreeSet;
use std::sync::Arc;

impl Fleet {
    pub fn table_received(&mut self, to: usize, incarnation: u64, table: Arc<OwnershipTable>) {
        let now = self.now;
        let gateway = &mut self.gateways[to];
        if gateway.incarnation != incarnation || gateway.health == Health::Down {
            return;
        }
        if !gateway.answers_scaler() {
            let event = Event::Table {
                to,
                incarnation,
                table,
            };
            gateway.deferred.push(event);
            return;
        }
        let newest = gateway.table.as_ref().map(|table| table.version());
        if newest.is_some_and(|newest| table.version() <= newest) {
            return;
        }
        gateway.table = Some(Arc::clone(&table));
        gateway.suspects.clear();
        gateway.owner.apply_table(now, table);
        self.run_actions(to);
        self.move_relayed(to);
        self.move_waiting(to);
        let functions: BTreeSet<usize> = self.gateways[to]
            .requests
            .values()
            .filter(|request| matches!(request.phase, Phase::AtRunner { .. }))
            .map(|request| request.function)
            .collect();
        for function in functions {
            if let Some(owner) = self.gateways[to].owner_of(function, now) {
                self.report_to_new_owner(to, function, &owner);
            }
        }
    }

    fn move_relayed(&mut self, index: usize) {
        let now = self.now;
        let gateway = &mut self.gateways[index];
        let owner = &mut gateway.owner;
        let is_owner = |function: &str, name: &str| matches!(owner.seat_status(function), SeatStatus::OwnedBy(owner) if owner == name);
        for (relayed, waiting) in gateway.relayed.take_moved(now, is_owner) {
            self.cancel_relayed(index, vec![relayed]);
            self.place_request(index, &waiting.gateway, waiting.request);
        }
    }

    pub(super) fn move_waiting(&mut self, index: usize) {
        let now = self.now;
        let gateway = &self.gateways[index];
        let moved = gateway.requests.iter().filter_map(|(id, request)| {
            let Phase::Waiting { owner, .. } = &request.phase else {
                return None;
            };
            let is_moved = gateway.owner_of(request.function, now).as_ref() != Some(owner);
            is_moved.then(|| (*id, owner.clone()))
        });
        for (id, owner) in moved.collect::<Vec<_>>() {
            if owner == gateway_name(index) {
                self.cancel_locally(index, &owner, RequestId(id));
                self.run_actions(index);
            } else {
                self.cancel_at_peer(index, &owner, RequestId(id));
            }
            self.request_lease(index, id);
        }
    }

    /// Handles the loss of the link with a peer, or the suspicion that the peer is dead.
    pub fn link_lost(&mut self, index: usize, peer: usize) {
        let now = self.now;
        let name = gateway_name(peer);
        let gateway = &mut self.gateways[index];
        match gateway.health {
            Health::Up => {}
            Health::Down => return,
            Health::Paused => {
                let incarnation = gateway.incarnation;
                gateway.deferred.push(Event::LinkLost {
                    at: index,
                    peer,
                    incarnation,
                });
                return;
            }
        }
        self.network.observe_link(index, peer);
        gateway.suspects.insert(name.clone(), now + SUSPECT_MS);
        for known in gateway.known_owners.values_mut() {
            if *known == name {
                known.clear();
            }
        }
        gateway.owner.gateway_disconnected(now, &name);
        let cancelled = gateway.relayed.remove_gateway(now, &name);
        let waiting = gateway.relayed.remove_owner(now, &name);
        gateway.cancelled.remove_owner(&name);
        let reaches_scaler = gateway.reaches_scaler();
        self.run_actions(index);
        self.cancel_relayed(index, cancelled);
        for one in waiting {
            self.place_request(index, &one.gateway, one.request);
        }
        if reaches_scaler {
            let event = Event::Suspicion { gateway: peer };
            self.network.schedule(now + 10, event);
        }
        self.move_waiting(index);
    }

    /// One gateway closes the link with a peer. The peer notices unless it is unreachable.
    pub fn lose_link(&mut self, index: usize, peer: usize) {
        self.network.lose_link(index, peer);
        self.link_lost(index, peer);
        if self.network.close_arrives(index, peer) {
            self.schedule_link_lost(peer, index);
        }
    }

    pub fn schedule_link_lost(&mut self, at: usize, peer: usize) {
        let event = Event::LinkLost {
            at,
            peer,
            incarnation: self.gateways[at].incarnation,
        };
        self.network.schedule(self.now + 5, event);
    }
}
