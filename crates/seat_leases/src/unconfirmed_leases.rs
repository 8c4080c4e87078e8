//! Leases of which it is not known whether their gateways still use them. Their seats are not leased to others meanwhile.

use crate::lease_holder::LeaseHolder;
use process_pause::ProcessPause;
use protocol::RequestId;
use std::collections::{BTreeMap, HashMap};

/// Milliseconds between two questions about a lease.
const CONFIRMATION_INTERVAL_MS: u64 = 500;
/// Milliseconds after which a lease counts as ended of which nobody tells anything. It bounds how long the seat of a request is lost to
/// others whose gateway the scaler hears and this one does not.
pub(crate) const LEASE_EXPIRY_MS: u64 = 5_000;

#[derive(Clone, Copy, Debug)]
struct Unconfirmed {
    asked_at: u64,
    expires_at: u64,
}

/// Leases by their holders.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnconfirmedLeases {
    leases: HashMap<LeaseHolder, Unconfirmed>,
}

impl UnconfirmedLeases {
    /// A lease whose gateway is asked about it now.
    pub fn insert(&mut self, now: u64, holder: LeaseHolder) {
        let unconfirmed = Unconfirmed {
            asked_at: now,
            expires_at: now + LEASE_EXPIRY_MS,
        };
        self.leases.entry(holder).or_insert(unconfirmed);
    }

    /// The process stood still: answers that came meanwhile are not read yet.
    pub fn restart_timeouts(&mut self, pause: ProcessPause) {
        for lease in self.leases.values_mut() {
            let expires_at = lease
                .expires_at
                .max(pause.ended_at + CONFIRMATION_INTERVAL_MS);
            lease.expires_at = expires_at;
        }
    }

    /// Whether nothing has been heard of a lease yet.
    pub fn contains(&self, holder: &LeaseHolder) -> bool {
        self.leases.contains_key(holder)
    }

    /// Something was heard of a lease, or it has ended.
    pub fn remove(&mut self, holder: &LeaseHolder) {
        self.leases.remove(holder);
    }

    /// A gateway is gone.
    pub fn remove_gateway(&mut self, gateway: &str) {
        self.leases.retain(|holder, _| holder.gateway != gateway);
    }

    /// Takes the leases of which nothing was heard for long.
    pub fn take_expired(&mut self, now: u64) -> Vec<LeaseHolder> {
        let leases = self.leases.iter();
        let expired = leases.filter(|(_, lease)| now >= lease.expires_at);
        let expired: Vec<LeaseHolder> = expired.map(|(holder, _)| holder.clone()).collect();
        for holder in &expired {
            self.leases.remove(holder);
        }
        expired
    }

    /// Takes the questions that are due, by gateway.
    pub fn take_due(&mut self, now: u64) -> BTreeMap<String, Vec<RequestId>> {
        let mut due: BTreeMap<String, Vec<RequestId>> = BTreeMap::new();
        for (holder, lease) in &mut self.leases {
            if now >= lease.asked_at + CONFIRMATION_INTERVAL_MS {
                lease.asked_at = now;
                let requests = due.entry(holder.gateway.clone()).or_default();
                requests.push(holder.request_id);
            }
        }
        due
    }
}
