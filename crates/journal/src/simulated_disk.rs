//! A simulated disk: at a power loss each unsynced effect is independently kept, lost or torn.

use crate::frame::framed;
use std::collections::BTreeMap;
use std::io;

/// A fault or event that can be injected into a [`MemoryFolder`](crate::MemoryFolder).
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// Every write fails, as on a full disk.
    Full,
    /// Writes succeed again; clears any fault.
    SpaceFreed,
    /// Appends this many bytes of an incomplete record to the newest file.
    Torn(usize),
    /// Unsynced name changes are lost, and each unsynced write keeps at most this many of its first bytes.
    PowerLoss(usize),
}

/// Outcome of a power loss for one unsynced effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CrashOutcome {
    /// The effect is kept.
    Kept,
    /// The effect is lost.
    Lost,
    /// Only this many of its first bytes are kept. A name change is lost.
    Torn(usize),
}

/// How a disk fails, starting with some operation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiskFault {
    /// Every modifying operation fails, as if the machine had stopped.
    Stopped,
    /// Writes, creations and renames fail.
    Full,
    /// Like [`DiskFault::Full`], but half of the bytes of each write reach the file.
    ShortWrite,
    /// Syncs fail. The bytes they should have covered are never written, even if later syncs succeed.
    SyncFails,
}

/// Kind of a modifying operation, which determines the faults that affect it.
#[derive(Clone, Copy, PartialEq)]
enum Operation {
    Write,
    Sync,
    Rename,
    Remove,
}

#[derive(Clone, Copy, PartialEq)]
enum Durability {
    Synced,
    Unsynced,
    /// A sync of these bytes failed; later syncs don't cover them.
    Dropped,
}

#[derive(Clone)]
struct Write {
    length: usize,
    durability: Durability,
}

/// The bytes of a file and the writes that they consist of.
#[derive(Clone, Default)]
struct Content {
    bytes: Vec<u8>,
    writes: Vec<Write>,
}

/// A name change, with the index of the file's content.
#[derive(Clone)]
enum NameChange {
    Created(String, usize),
    Renamed(String, String, usize),
    Removed(String),
}

/// The whole state of a disk. Names and contents become durable independently of each other.
#[derive(Clone, Default)]
pub(crate) struct SimulatedDisk {
    contents: Vec<Content>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    unsynced_names: Vec<NameChange>,
    operations: u64,
    /// The number of operations after which a fault begins, and the fault.
    fault: Option<(u64, DiskFault)>,
}

impl SimulatedDisk {
    pub fn inject(&mut self, fault: FaultKind) {
        match fault {
            FaultKind::Full => self.fail_after(0, DiskFault::Full),
            FaultKind::SpaceFreed => self.fault = None,
            FaultKind::Torn(length) => self.tear_newest_file(length),
            FaultKind::PowerLoss(kept) => self.lose_power(|_| CrashOutcome::Torn(kept)),
        }
    }

    pub fn fail_after(&mut self, operations: u64, fault: DiskFault) {
        self.fault = Some((operations, fault));
    }

    pub fn operations(&self) -> u64 {
        self.operations
    }

    fn tear_newest_file(&mut self, length: usize) {
        if let Some(name) = self.names.keys().next_back().cloned() {
            let end = self.contents[self.names[&name]].bytes.len();
            let record = framed(end, &vec![7; length]);
            self.write(&name, &record[..length]);
        }
    }

    /// Counts an operation and returns the fault that affects it, if any.
    fn begin(&mut self, operation: Operation) -> Option<DiskFault> {
        self.operations += 1;
        let (starts_after, fault) = self.fault?;
        let is_affected = match fault {
            DiskFault::Stopped => true,
            DiskFault::Full | DiskFault::ShortWrite => {
                matches!(operation, Operation::Write | Operation::Rename)
            }
            DiskFault::SyncFails => operation == Operation::Sync,
        };
        (self.operations > starts_after && is_affected).then_some(fault)
    }

    fn index_of(&self, name: &str) -> io::Result<usize> {
        let missing = || io::Error::new(io::ErrorKind::NotFound, name.to_string());
        self.names.get(name).copied().ok_or_else(missing)
    }

    fn index_or_new(&mut self, name: &str) -> usize {
        if let Some(index) = self.names.get(name) {
            return *index;
        }
        let index = self.contents.len();
        self.contents.push(Content::default());
        self.names.insert(name.to_string(), index);
        let change = NameChange::Created(name.to_string(), index);
        self.unsynced_names.push(change);
        index
    }

    fn write(&mut self, name: &str, bytes: &[u8]) {
        let index = self.index_or_new(name);
        let content = &mut self.contents[index];
        content.bytes.extend_from_slice(bytes);
        content.writes.push(Write {
            length: bytes.len(),
            durability: Durability::Unsynced,
        });
    }

    /// Simulates a power loss. Calls `outcome_of` with the length of each unsynced effect; 0 stands for a name change.
    pub fn lose_power(&mut self, mut outcome_of: impl FnMut(usize) -> CrashOutcome) {
        for content in &mut self.contents {
            content.lose_power(&mut outcome_of);
        }
        let mut names = std::mem::take(&mut self.durable_names);
        for change in std::mem::take(&mut self.unsynced_names) {
            if outcome_of(0) == CrashOutcome::Kept {
                change.apply(&mut names);
            }
        }
        self.names = names.clone();
        self.durable_names = names;
        self.fault = None;
    }

    pub fn list(&self) -> Vec<String> {
        self.names.keys().cloned().collect()
    }

    /// Total size of all files, in bytes.
    pub fn size(&self) -> usize {
        let contents = self.names.values().map(|index| &self.contents[*index]);
        contents.map(|content| content.bytes.len()).sum()
    }

    /// Flips one bit of a file; does nothing if the file is shorter.
    pub fn flip(&mut self, name: &str, position: usize, bit: u8) {
        let Some(index) = self.names.get(name) else {
            return;
        };
        if let Some(byte) = self.contents[*index].bytes.get_mut(position) {
            *byte ^= 1 << (bit % 8);
        }
    }

    pub fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        Ok(self.contents[self.index_of(name)?].bytes.clone())
    }

    pub fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        match self.begin(Operation::Write) {
            None => self.write(name, bytes),
            Some(DiskFault::ShortWrite) => {
                self.write(name, &bytes[..bytes.len() / 2]);
                return Err(storage_full());
            }
            Some(_) => return Err(storage_full()),
        }
        Ok(())
    }

    pub fn sync(&mut self, name: &str) -> io::Result<()> {
        let fault = self.begin(Operation::Sync);
        let index = self.index_of(name)?;
        let durability = match fault {
            None => Durability::Synced,
            Some(DiskFault::SyncFails) => Durability::Dropped,
            Some(_) => return Err(storage_full()),
        };
        let writes = self.contents[index].writes.iter_mut();
        for write in writes.filter(|write| write.durability == Durability::Unsynced) {
            write.durability = durability;
        }
        fault.map_or(Ok(()), |_| Err(storage_full()))
    }

    pub fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        if self.begin(Operation::Rename).is_some() {
            return Err(storage_full());
        }
        let index = self.index_of(from)?;
        let change = NameChange::Renamed(from.to_string(), to.to_string(), index);
        self.unsynced_names.push(change.clone());
        change.apply(&mut self.names);
        Ok(())
    }

    pub fn remove(&mut self, name: &str) -> io::Result<()> {
        if self.begin(Operation::Remove).is_some() {
            return Err(storage_full());
        }
        if self.names.remove(name).is_some() {
            let change = NameChange::Removed(name.to_string());
            self.unsynced_names.push(change);
        }
        Ok(())
    }

    pub fn sync_names(&mut self) -> io::Result<()> {
        if self.begin(Operation::Sync).is_some() {
            return Err(storage_full());
        }
        self.unsynced_names.clear();
        self.durable_names = self.names.clone();
        self.release_unnamed();
        Ok(())
    }

    /// Drops the contents of files without a name, so that memory use in long tests is bounded by the size of the disk.
    fn release_unnamed(&mut self) {
        let is_named = |index: usize| {
            let mut durable = self.durable_names.values();
            self.names.values().any(|one| *one == index) || durable.any(|one| *one == index)
        };
        let unnamed: Vec<usize> = (0..self.contents.len())
            .filter(|index| !is_named(*index))
            .collect();
        for index in unnamed {
            self.contents[index] = Content::default();
        }
    }
}

fn storage_full() -> io::Error {
    io::Error::from(io::ErrorKind::StorageFull)
}

impl Content {
    fn lose_power(&mut self, outcome_of: &mut impl FnMut(usize) -> CrashOutcome) {
        let mut bytes = Vec::new();
        let mut start = 0;
        for write in &self.writes {
            let written = &self.bytes[start..start + write.length];
            let kept = match write.durability {
                Durability::Synced => write.length,
                _ => outcome_of(write.length).kept_bytes(write.length),
            };
            if kept > 0 {
                // Lost bytes before kept ones read as zeros.
                bytes.resize(start, 0);
                bytes.extend_from_slice(&written[..kept]);
            }
            start += write.length;
        }
        self.writes = vec![Write {
            length: bytes.len(),
            durability: Durability::Synced,
        }];
        self.bytes = bytes;
    }
}

impl CrashOutcome {
    fn kept_bytes(self, length: usize) -> usize {
        match self {
            Self::Kept => length,
            Self::Lost => 0,
            Self::Torn(count) => count.min(length),
        }
    }
}

impl NameChange {
    fn apply(self, names: &mut BTreeMap<String, usize>) {
        match self {
            Self::Created(name, index) => {
                names.insert(name, index);
            }
            Self::Renamed(from, to, index) => {
                names.remove(&from);
                names.insert(to, index);
            }
            Self::Removed(name) => {
                names.remove(&name);
            }
        }
    }
}
