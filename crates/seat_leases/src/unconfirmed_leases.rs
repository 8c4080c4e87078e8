//! Leases whose gateways may no longer use them. Their seats stay reserved until this is known.

use crate::lease_holder::LeaseHolder;
use process_pause::ProcessPause;
use protocol::RequestId;
use std::collections::{BTreeMap, HashMap};

/// Milliseconds between two questions about a lease.
const CONFIRMATION_INTERVAL_MS: u64 = 500;
/// Milliseconds after which an unconfirmed lease is considered ended. This limits how long a seat is lost if the scaler can
/// reach the request's gateway and this gateway cannot.
pub(crate) const LEASE_EXPIRY_MS: u64 = 5_000;

#[derive(Clone, Copy, Debug)]
struct Unconfirmed {
    asked_at: u64,
    expires_at: u64,
}

/// Unconfirmed leases by holder.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnconfirmedLeases {
    leases: HashMap<LeaseHolder, Unconfirmed>,
}

impl UnconfirmedLeases {
    /// Adds a lease whose gateway is asked about it now.
    pub fn insert(&mut self, now: u64, holder: LeaseHolder) {
        let unconfirmed = Unconfirmed {
            asked_at: now,
            expires_at: now + LEASE_EXPIRY_MS,
        };
        self.leases.entry(holder).or_insert(unconfirmed);
    }

    /// Extends the expiry after a process pause, because answers that arrived meanwhile have not been read yet.
    pub fn restart_timeouts(&mut self, pause: ProcessPause) {
        for lease in self.leases.values_mut() {
            let expires_at = lease
                .expires_at
                .max(pause.ended_at + CONFIRMATION_INTERVAL_MS);
            lease.expires_at = expires_at;
        }
    }

    /// Whether a lease is still unconfirmed.
    pub fn contains(&self, holder: &LeaseHolder) -> bool {
        self.leases.contains_key(holder)
    }

    /// Removes a lease that was confirmed or has ended.
    pub fn remove(&mut self, holder: &LeaseHolder) {
        self.leases.remove(holder);
    }

    /// Removes the leases of a gateway that is gone.
    pub fn remove_gateway(&mut self, gateway: &str) {
        self.leases.retain(|holder, _| holder.gateway != gateway);
    }

    /// Takes the leases that stayed unconfirmed for too long.
    pub fn take_expired(&mut self, now: u64) -> Vec<LeaseHolder> {
        let leases = self.leases.iter();
        let expired = leases.filter(|(_, lease)| now >= lease.expires_at);
        let expired: Vec<LeaseHolder> = expired.map(|(holder, _)| holder.clone()).collect();
        for holder in &expired {
            self.leases.remove(holder);
        }
        expired
    }

    /// Takes the leases whose gateways have to be asked again, by gateway.
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
