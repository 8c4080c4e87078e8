//! The platform's workers: which accept starts, and how much memory is free on them.
//!
//! The free memory of a worker is the lesser of two views. One is its size less what the known runners take. The other is
//! the platform's list, corrected by what was started and freed so lately that the list may lack it.

use crate::memory_account::{unlisted_mb, MemoryAccount, TimedMemory};
use crate::platform::WorkerListing;
use std::collections::{BTreeMap, BTreeSet};

/// A worker, with what changed since it was listed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Worker {
    listing: WorkerListing,
    listed_at: u64,
    starts_paused_until: u64,
    freed: Vec<TimedMemory>,
}

impl Worker {
    /// The newest listing.
    pub fn listing(&self) -> &WorkerListing {
        &self.listing
    }

    /// Time before which no start is tried, because the last one found no room.
    pub fn starts_paused_until(&self) -> u64 {
        self.starts_paused_until
    }
}

/// What a new list of workers changed.
#[derive(Debug, Default)]
pub(crate) struct WorkerChanges {
    /// Names of workers that are not listed any more.
    pub unlisted: Vec<String>,
    /// A worker can take more than before.
    pub has_gained_room: bool,
}

/// Whether a worker can take more than when it was listed before.
fn has_more_room(before: &WorkerListing, now: &WorkerListing) -> bool {
    let is_back = before.is_draining && !now.is_draining;
    is_back || !now.is_draining && now.free_mb > before.free_mb
}

/// All workers of the newest list, and the zones that operators evacuate.
#[derive(Debug)]
pub(crate) struct WorkerCapacity {
    workers: BTreeMap<String, Worker>,
    evacuated_zones: BTreeSet<String>,
    has_list: bool,
    list_lag_ms: u64,
}

impl WorkerCapacity {
    /// No worker is known; lists lag by so many milliseconds.
    pub fn new(list_lag_ms: u64) -> Self {
        Self {
            workers: BTreeMap::new(),
            evacuated_zones: BTreeSet::new(),
            has_list: false,
            list_lag_ms,
        }
    }

    /// Whether a list was taken.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// The worker of that name.
    pub fn get(&self, name: &str) -> Option<&Worker> {
        self.workers.get(name)
    }

    /// All workers by name.
    pub fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Whether the platform drains that worker.
    pub fn is_draining(&self, name: &str) -> bool {
        let worker = self.workers.get(name);
        worker.is_some_and(|worker| worker.listing.is_draining)
    }

    /// Whether operators evacuate a zone.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated_zones.contains(zone)
    }

    /// Sets the evacuated zones. Returns whether they changed.
    pub fn set_evacuated_zones(&mut self, zones: &BTreeSet<String>) -> bool {
        let is_changed = self.evacuated_zones != *zones;
        if is_changed {
            self.evacuated_zones.clone_from(zones);
        }
        is_changed
    }

    /// Whether a worker accepts no starts at all: it drains, or its zone is evacuated.
    pub fn is_unschedulable(&self, worker: &Worker) -> bool {
        worker.listing.is_draining || self.is_evacuated(&worker.listing.zone)
    }

    /// Whether a worker accepts new starts now.
    pub fn accepts_starts(&self, worker: &Worker, now: u64) -> bool {
        !self.is_unschedulable(worker) && now >= worker.starts_paused_until
    }

    /// Replaces the list of workers.
    pub fn replace(&mut self, listings: Vec<WorkerListing>, now: u64) -> WorkerChanges {
        self.has_list = true;
        let mut before = std::mem::take(&mut self.workers);
        let oldest = now.saturating_sub(2 * self.list_lag_ms);
        let mut changes = WorkerChanges::default();
        for listing in listings {
            let mut worker = before.remove(&listing.name).unwrap_or_default();
            changes.has_gained_room |= has_more_room(&worker.listing, &listing);
            worker.freed.retain(|freed| freed.at >= oldest);
            worker.listed_at = now;
            worker.listing = listing;
            self.workers.insert(worker.listing.name.clone(), worker);
        }
        let unlisted = before.into_values();
        changes.unlisted = unlisted.map(|worker| worker.listing.name).collect();
        changes
    }

    /// Names of the workers that the platform drains.
    pub fn draining(&self) -> impl Iterator<Item = &str> {
        let draining = self.iter().filter(|worker| worker.listing.is_draining);
        draining.map(|worker| worker.listing.name.as_str())
    }

    /// Memory was freed on a worker; its list may not show it yet.
    pub fn record_freed(&mut self, name: &str, memory_mb: u64, now: u64) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.freed.push(TimedMemory { at: now, memory_mb });
        }
    }

    /// A start found no room on a worker: none is tried there until lists show the reason, after twice their lag.
    pub fn pause_starts(&mut self, name: &str, now: u64) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.starts_paused_until = now + 2 * self.list_lag_ms;
        }
    }

    /// The time before which the newest list shows all that happened on a worker.
    pub fn listed_until(&self, worker: &Worker) -> u64 {
        worker.listed_at.saturating_sub(self.list_lag_ms)
    }

    /// Memory that is free on a worker, by the account of its runners and by the list.
    pub fn free_mb(&self, worker: &Worker, account: &MemoryAccount) -> u64 {
        let listed_until = self.listed_until(worker);
        let listing = &worker.listing;
        let by_account = listing.memory_mb.saturating_sub(account.used_mb());
        let freed_mb = unlisted_mb(&worker.freed, listed_until);
        let by_list =
            (listing.free_mb + freed_mb).saturating_sub(account.unlisted_mb(listed_until));
        by_account.min(by_list)
    }
}
