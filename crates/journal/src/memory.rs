//! A folder on a simulated disk, for simulations and tests.

use crate::folder::Folder;
use crate::simulated_disk::{CrashOutcome, DiskFault, FaultKind, SimulatedDisk};
use parking_lot::Mutex;
use std::io;
use std::sync::Arc;

/// A folder in memory for simulations and tests; clones share the same disk.
#[derive(Clone, Default)]
pub struct MemoryFolder {
    disk: Arc<Mutex<SimulatedDisk>>,
}

impl MemoryFolder {
    /// Lets a fault befall the disk.
    pub fn inject(&self, fault: FaultKind) {
        self.disk.lock().inject(fault);
    }

    /// Lets the disk fail once it has done so many operations in all.
    pub fn fail_after(&self, operations: u64, fault: DiskFault) {
        self.disk.lock().fail_after(operations, fault);
    }

    /// How many operations that change something the disk was asked for.
    pub fn operations(&self) -> u64 {
        self.disk.lock().operations()
    }

    /// Lengths of all effects that are not synced, in the order of [`MemoryFolder::lose_power`]; 0 stands for
    /// the change of a name.
    pub fn unsynced(&self) -> Vec<usize> {
        let mut lengths = Vec::new();
        self.copy().disk.lock().lose_power(|length| {
            lengths.push(length);
            CrashOutcome::Lost
        });
        lengths
    }

    /// Loses the power; each unsynced effect meets its outcome. Those without one are lost. No fault lasts.
    pub fn lose_power(&self, outcomes: &[CrashOutcome]) {
        let mut outcomes = outcomes.iter();
        let mut disk = self.disk.lock();
        disk.lose_power(|_| outcomes.next().copied().unwrap_or(CrashOutcome::Lost));
    }

    /// A disk of its own with the same content.
    pub fn copy(&self) -> Self {
        let disk = self.disk.lock().clone();
        Self {
            disk: Arc::new(Mutex::new(disk)),
        }
    }

    /// Bytes that all files take.
    pub fn size(&self) -> usize {
        self.disk.lock().size()
    }

    /// Flips one bit of a file, where it has so many bytes.
    pub fn flip(&self, name: &str, position: usize, bit: u8) {
        self.disk.lock().flip(name, position, bit);
    }

    /// Empties the disk, and gives it room again.
    pub fn wipe(&self) {
        *self.disk.lock() = SimulatedDisk::default();
    }
}

impl Folder for MemoryFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.disk.lock().list())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.disk.lock().read(name)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.disk.lock().append(name, bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.disk.lock().sync(name)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.disk.lock().rename(from, to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.disk.lock().remove(name)
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.disk.lock().sync_names()
    }
}
