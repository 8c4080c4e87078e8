//! A simulated disk: at a loss of power each effect that is not synced is kept, lost or torn by itself.

use crate::frame::framed;
use std::collections::BTreeMap;
use std::io;

/// What may befall a [`MemoryFolder`](crate::MemoryFolder) at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// Every write fails, as on a full disk.
    Full,
    /// There is room again.
    SpaceFreed,
    /// The newest file ends in so many bytes of a record that was never whole.
    Torn(usize),
    /// Names that were not synced are lost, and so are unsynced bytes but for so many.
    PowerLoss(usize),
}

/// What becomes of one unsynced effect when the power is lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CrashOutcome {
    /// It is there.
    Kept,
    /// It is missing.
    Lost,
    /// Only so many of its first bytes are there. A change of a name is lost.
    Torn(usize),
}

/// How a disk fails from one operation on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiskFault {
    /// Every operation that changes anything fails, as if the machine stopped.
    Stopped,
    /// Nothing can be written, made or renamed.
    Full,
    /// As [`DiskFault::Full`], but half of the bytes of each write come to the file.
    ShortWrite,
    /// Syncs fail. What they should have covered is never written later, though later syncs succeed.
    SyncFails,
}

/// Kind of an operation that changes something; which faults it meets depends on it.
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
    /// A sync of these bytes failed; a later one does not cover them.
    Dropped,
}

#[derive(Clone)]
struct Write {
    length: usize,
    durability: Durability,
}

/// The bytes of a file, as they were written.
#[derive(Clone, Default)]
struct Content {
    bytes: Vec<u8>,
    writes: Vec<Write>,
}

/// A change of a name, with the index of its content.
#[derive(Clone)]
enum NameChange {
    Made(String, usize),
    Renamed(String, String, usize),
    Removed(String),
}

/// The whole state of a disk. Names and contents last independently of each other.
#[derive(Clone, Default)]
pub(crate) struct SimulatedDisk {
    contents: Vec<Content>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    unsynced_names: Vec<NameChange>,
    operations: u64,
    /// A fault, and the number of operations after which it begins.
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

    /// Counts an operation, and tells the fault that it meets.
    fn begin(&mut self, operation: Operation) -> Option<DiskFault> {
        self.operations += 1;
        let (from, fault) = self.fault?;
        let is_met = match fault {
            DiskFault::Stopped => true,
            DiskFault::Full | DiskFault::ShortWrite => {
                matches!(operation, Operation::Write | Operation::Rename)
            }
            DiskFault::SyncFails => operation == Operation::Sync,
        };
        (self.operations > from && is_met).then_some(fault)
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
        let change = NameChange::Made(name.to_string(), index);
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

    /// Asks for what becomes of each unsynced effect, given its length; 0 stands for the change of a name.
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

    /// Bytes that all files take.
    pub fn size(&self) -> usize {
        let contents = self.names.values().map(|index| &self.contents[*index]);
        contents.map(|content| content.bytes.len()).sum()
    }

    /// Flips one bit of a file, where it has so many bytes.
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
                return Err(refused());
            }
            Some(_) => return Err(refused()),
        }
        Ok(())
    }

    pub fn sync(&mut self, name: &str) -> io::Result<()> {
        let fault = self.begin(Operation::Sync);
        let index = self.index_of(name)?;
        let durability = match fault {
            None => Durability::Synced,
            Some(DiskFault::SyncFails) => Durability::Dropped,
            Some(_) => return Err(refused()),
        };
        let writes = self.contents[index].writes.iter_mut();
        for write in writes.filter(|write| write.durability == Durability::Unsynced) {
            write.durability = durability;
        }
        fault.map_or(Ok(()), |_| Err(refused()))
    }

    pub fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        if self.begin(Operation::Rename).is_some() {
            return Err(refused());
        }
        let index = self.index_of(from)?;
        let change = NameChange::Renamed(from.to_string(), to.to_string(), index);
        self.unsynced_names.push(change.clone());
        change.apply(&mut self.names);
        Ok(())
    }

    pub fn remove(&mut self, name: &str) -> io::Result<()> {
        if self.begin(Operation::Remove).is_some() {
            return Err(refused());
        }
        if self.names.remove(name).is_some() {
            let change = NameChange::Removed(name.to_string());
            self.unsynced_names.push(change);
        }
        Ok(())
    }

    pub fn sync_names(&mut self) -> io::Result<()> {
        if self.begin(Operation::Sync).is_some() {
            return Err(refused());
        }
        self.unsynced_names.clear();
        self.durable_names = self.names.clone();
        self.release_unnamed();
        Ok(())
    }

    /// Forgets contents that have no name any more, so that long tests need no more memory than the disk.
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

fn refused() -> io::Error {
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
                // Bytes that are missing before others are zeros.
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
            Self::Made(name, index) => {
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
