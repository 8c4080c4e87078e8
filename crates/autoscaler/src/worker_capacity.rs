//! The platform's workers: which of them accept starts, and how much memory is free on each.
//!
//! The free memory of a worker is the lower of two estimates. One is its total memory minus that of the known runners. The
//! other is the free memory in the platform's list, corrected for starts and ends that are too recent to be reflected there.

use crate::memory_account::{unlisted_mb, MemoryAccount, TimedMemory};
use crate::platform::WorkerListing;
use std::collections::{BTreeMap, BTreeSet};

/// A listed worker, with recent changes that its listing may not reflect.
#[derive(Clone, Debug, Default)]
pub(crate) struct Worker {
    listing: WorkerListing,
    listed_at: u64,
    starts_paused_until: u64,
    freed: Vec<TimedMemory>,
}

impl Worker {
    /// The newest listing of the worker.
    pub fn listing(&self) -> &WorkerListing {
        &self.listing
    }

    /// Time until which no starts are attempted because the last one found no room.
    pub fn starts_paused_until(&self) -> u64 {
        self.starts_paused_until
    }
}

/// Changes caused by a new list of workers.
#[derive(Debug, Default)]
pub(crate) struct WorkerChanges {
    /// Names of workers that are no longer listed.
    pub unlisted: Vec<String>,
    /// Whether any worker has more room than before.
    pub has_gained_room: bool,
}

/// Whether a worker has more room than in its previous listing.
fn has_more_room(before: &WorkerListing, now: &WorkerListing) -> bool {
    let is_back = before.is_draining && !now.is_draining;
    is_back || !now.is_draining && now.free_mb > before.free_mb
}

/// All workers in the newest list, and the evacuated zones.
#[derive(Debug)]
pub(crate) struct WorkerCapacity {
    workers: BTreeMap<String, Worker>,
    evacuated_zones: BTreeSet<String>,
    has_list: bool,
    list_lag_ms: u64,
}

impl WorkerCapacity {
    /// Creates an empty table. Lists may lag by `list_lag_ms` milliseconds.
    pub fn new(list_lag_ms: u64) -> Self {
        Self {
            workers: BTreeMap::new(),
            evacuated_zones: BTreeSet::new(),
            has_list: false,
            list_lag_ms,
        }
    }

    /// Whether a list has been received.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// The worker with this name.
    pub fn get(&self, name: &str) -> Option<&Worker> {
        self.workers.get(name)
    }

    /// Iterates over all workers, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Whether the platform is draining the worker with this name.
    pub fn is_draining(&self, name: &str) -> bool {
        let worker = self.workers.get(name);
        worker.is_some_and(|worker| worker.listing.is_draining)
    }

    /// Whether a zone is evacuated.
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

    /// Whether no starts may be placed on a worker because it is draining or its zone is evacuated.
    pub fn is_unschedulable(&self, worker: &Worker) -> bool {
        worker.listing.is_draining || self.is_evacuated(&worker.listing.zone)
    }

    /// Whether a worker accepts new starts at time `now`.
    pub fn accepts_starts(&self, worker: &Worker, now: u64) -> bool {
        !self.is_unschedulable(worker) && now >= worker.starts_paused_until
    }

    /// Replaces the list of workers. Returns the changes.
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

    /// Names of the workers that the platform is draining.
    pub fn draining(&self) -> impl Iterator<Item = &str> {
        let draining = self.iter().filter(|worker| worker.listing.is_draining);
        draining.map(|worker| worker.listing.name.as_str())
    }

    /// Records memory that was freed on a worker and that the list may not reflect yet.
    pub fn record_freed(&mut self, name: &str, memory_mb: u64, now: u64) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.freed.push(TimedMemory { at: now, memory_mb });
        }
    }

    /// Pauses starts on a worker after one found no room there, until lists show the reason: for twice the list lag.
    pub fn pause_starts(&mut self, name: &str, now: u64) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.starts_paused_until = now + 2 * self.list_lag_ms;
        }
    }

    /// Time before which the newest list reflects everything that happened on a worker.
    pub fn listed_until(&self, worker: &Worker) -> u64 {
        worker.listed_at.saturating_sub(self.list_lag_ms)
    }

    /// Free memory of a worker in megabytes: the lower of the values by the account of its runners and by the list.
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
