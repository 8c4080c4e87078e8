//! A [`Folder`] on a simulated disk, for simulations and tests.

use crate::folder::Folder;
use crate::simulated_disk::{CrashOutcome, DiskFault, FaultKind, SimulatedDisk};
use parking_lot::Mutex;
use std::io;
use std::sync::Arc;

/// An in-memory folder for simulations and tests; clones share the same disk.
#[derive(Clone, Default)]
pub struct MemoryFolder {
    disk: Arc<Mutex<SimulatedDisk>>,
}

impl MemoryFolder {
    /// Injects a fault into the disk.
    pub fn inject(&self, fault: FaultKind) {
        self.disk.lock().inject(fault);
    }

    /// Makes the disk fail after this many operations since its creation.
    pub fn fail_after(&self, operations: u64, fault: DiskFault) {
        self.disk.lock().fail_after(operations, fault);
    }

    /// Number of modifying operations requested so far, including failed ones.
    pub fn operations(&self) -> u64 {
        self.disk.lock().operations()
    }

    /// Lengths in bytes of all unsynced effects, in the order of [`MemoryFolder::lose_power`]; 0 stands for
    /// a name change.
    pub fn unsynced(&self) -> Vec<usize> {
        let mut lengths = Vec::new();
        self.copy().disk.lock().lose_power(|length| {
            lengths.push(length);
            CrashOutcome::Lost
        });
        lengths
    }

    /// Simulates a power loss with one outcome per unsynced effect; effects without one are lost. Clears any fault.
    pub fn lose_power(&self, outcomes: &[CrashOutcome]) {
        let mut outcomes = outcomes.iter();
        let mut disk = self.disk.lock();
        disk.lose_power(|_| outcomes.next().copied().unwrap_or(CrashOutcome::Lost));
    }

    /// Copies the disk; the copy is independent of the original.
    pub fn copy(&self) -> Self {
        let disk = self.disk.lock().clone();
        Self {
            disk: Arc::new(Mutex::new(disk)),
        }
    }

    /// Total size of all files, in bytes.
    pub fn size(&self) -> usize {
        self.disk.lock().size()
    }

    /// Flips one bit of a file; does nothing if the file is shorter.
    pub fn flip(&self, name: &str, position: usize, bit: u8) {
        self.disk.lock().flip(name, position, bit);
    }

    /// Erases the disk and clears any fault.
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
