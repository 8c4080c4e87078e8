//! A simulated disk: what is not synced is kept, lost or torn at a loss of power, piece by piece.

use crate::folder::Folder;
use crate::frame::framed;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;

/// What a disk in memory can be told to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// Every write fails, as on a full disk.
    Full,
    /// There is room again.
    Room,
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

#[derive(Clone, Copy, PartialEq)]
enum Lasting {
    Synced,
    Unsynced,
    /// A sync of these bytes failed; a later one does not cover them.
    Dropped,
}

#[derive(Clone)]
struct Write {
    length: usize,
    lasting: Lasting,
}

#[derive(Clone, Default)]
struct Content {
    bytes: Vec<u8>,
    writes: Vec<Write>,
}

#[derive(Clone)]
enum NameChange {
    Made(String, usize),
    Renamed(String, String, usize),
    Removed(String),
}

#[derive(Clone, Default)]
struct Disk {
    contents: Vec<Content>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    unsynced_names: Vec<NameChange>,
    operations: u64,
    fault: Option<(u64, DiskFault)>,
}

/// The bytes of one kind of operation; what it may do under a fault depends on it.
#[derive(Clone, Copy, PartialEq)]
enum Operation {
    Write,
    Sync,
    Rename,
    Remove,
}

impl Disk {
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

    fn content(&mut self, name: &str) -> usize {
        if let Some(place) = self.names.get(name) {
            return *place;
        }
        let place = self.contents.len();
        self.contents.push(Content::default());
        self.names.insert(name.to_string(), place);
        let change = NameChange::Made(name.to_string(), place);
        self.unsynced_names.push(change);
        place
    }

    fn write(&mut self, name: &str, bytes: &[u8]) {
        let place = self.content(name);
        let content = &mut self.contents[place];
        content.bytes.extend_from_slice(bytes);
        content.writes.push(Write {
            length: bytes.len(),
            lasting: Lasting::Unsynced,
        });
    }

    fn lose_power(&mut self, mut fate_of: impl FnMut(usize) -> CrashOutcome) {
        for content in &mut self.contents {
            content.lose_power(&mut fate_of);
        }
        let mut names = std::mem::take(&mut self.durable_names);
        for change in std::mem::take(&mut self.unsynced_names) {
            if fate_of(0) == CrashOutcome::Kept {
                change.apply(&mut names);
            }
        }
        self.names = names.clone();
        self.durable_names = names;
        self.fault = None;
    }
}

impl Content {
    fn lose_power(&mut self, fate_of: &mut impl FnMut(usize) -> CrashOutcome) {
        let mut bytes = Vec::new();
        let mut start = 0;
        for write in &self.writes {
            let written = &self.bytes[start..start + write.length];
            let kept = match write.lasting {
                Lasting::Synced => write.length,
                _ => match fate_of(write.length) {
                    CrashOutcome::Kept => write.length,
                    CrashOutcome::Lost => 0,
                    CrashOutcome::Torn(count) => count.min(write.length),
                },
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
            lasting: Lasting::Synced,
        }];
        self.bytes = bytes;
    }
}

impl NameChange {
    fn apply(self, names: &mut BTreeMap<String, usize>) {
        match self {
            Self::Made(name, place) => {
                names.insert(name, place);
            }
            Self::Renamed(from, to, place) => {
                names.remove(&from);
                names.insert(to, place);
            }
            Self::Removed(name) => {
                names.remove(&name);
            }
        }
    }
}

/// A folder in memory for simulations and tests; clones share the same disk.
#[derive(Clone, Default)]
pub struct MemoryFolder {
    disk: Arc<Mutex<Disk>>,
}

impl MemoryFolder {
    /// Lets a mishap befall the disk.
    pub fn inject(&self, mishap: FaultKind) {
        let mut disk = self.disk.lock();
        match mishap {
            FaultKind::Full => disk.fault = Some((0, DiskFault::Full)),
            FaultKind::Room => disk.fault = None,
            FaultKind::Torn(count) => {
                if let Some(name) = disk.names.keys().next_back().cloned() {
                    let place = disk.names[&name];
                    let end = disk.contents[place].bytes.len();
                    let start = framed(end, &vec![7; count]);
                    disk.write(&name, &start[..count]);
                }
            }
            FaultKind::PowerLoss(kept) => disk.lose_power(|_| CrashOutcome::Torn(kept)),
        }
    }

    /// Lets the disk fail once it has done so many operations in all.
    pub fn fail_after(&self, operations: u64, fault: DiskFault) {
        self.disk.lock().fault = Some((operations, fault));
    }

    /// How many operations that change something the disk was asked for.
    pub fn operations(&self) -> u64 {
        self.disk.lock().operations
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

    /// Loses the power; each unsynced effect meets its fate. Those without one are lost. No fault lasts.
    pub fn lose_power(&self, fates: &[CrashOutcome]) {
        let mut fates = fates.iter();
        let mut disk = self.disk.lock();
        disk.lose_power(|_| fates.next().copied().unwrap_or(CrashOutcome::Lost));
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
        let disk = self.disk.lock();
        let contents = disk.names.values().map(|place| &disk.contents[*place]);
        contents.map(|content| content.bytes.len()).sum()
    }

    /// Flips one bit of a file.
    pub fn flip(&self, name: &str, place: usize, bit: u8) {
        let mut disk = self.disk.lock();
        let Some(content) = disk.names.get(name).copied() else {
            return;
        };
        if let Some(byte) = disk.contents[content].bytes.get_mut(place) {
            *byte ^= 1 << (bit % 8);
        }
    }

    /// Empties the disk, and gives it room again.
    pub fn wipe(&self) {
        *self.disk.lock() = Disk::default();
    }

    /// Forgets contents that have no name any more, so that long tests need no more memory than the disk.
    fn release(disk: &mut Disk) {
        let is_named = |place: usize| {
            let mut durable = disk.durable_names.values();
            disk.names.values().any(|one| *one == place) || durable.any(|one| *one == place)
        };
        let unnamed: Vec<usize> = (0..disk.contents.len())
            .filter(|place| !is_named(*place))
            .collect();
        for place in unnamed {
            disk.contents[place] = Content::default();
        }
    }
}

fn missing(name: &str) -> io::Error {
    io::Error::new(io::ErrorKind::NotFound, name.to_string())
}

fn refused() -> io::Error {
    io::Error::from(io::ErrorKind::StorageFull)
}

impl Folder for MemoryFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.disk.lock().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let disk = self.disk.lock();
        let place = disk.names.get(name).ok_or_else(|| missing(name))?;
        Ok(disk.contents[*place].bytes.clone())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut disk = self.disk.lock();
        match disk.begin(Operation::Write) {
            None => disk.write(name, bytes),
            Some(DiskFault::ShortWrite) => {
                disk.write(name, &bytes[..bytes.len() / 2]);
                return Err(refused());
            }
            Some(_) => return Err(refused()),
        }
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.disk.lock();
        let fault = disk.begin(Operation::Sync);
        let place = *disk.names.get(name).ok_or_else(|| missing(name))?;
        let lasting = match fault {
            None => Lasting::Synced,
            Some(DiskFault::SyncFails) => Lasting::Dropped,
            Some(_) => return Err(refused()),
        };
        let writes = disk.contents[place].writes.iter_mut();
        for write in writes.filter(|write| write.lasting == Lasting::Unsynced) {
            write.lasting = lasting;
        }
        fault.map_or(Ok(()), |_| Err(refused()))
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut disk = self.disk.lock();
        if disk.begin(Operation::Rename).is_some() {
            return Err(refused());
        }
        let place = *disk.names.get(from).ok_or_else(|| missing(from))?;
        let change = NameChange::Renamed(from.to_string(), to.to_string(), place);
        disk.unsynced_names.push(change.clone());
        change.apply(&mut disk.names);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.disk.lock();
        if disk.begin(Operation::Remove).is_some() {
            return Err(refused());
        }
        if disk.names.remove(name).is_some() {
            let change = NameChange::Removed(name.to_string());
            disk.unsynced_names.push(change);
        }
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        let mut disk = self.disk.lock();
        if disk.begin(Operation::Sync).is_some() {
            return Err(refused());
        }
        disk.unsynced_names.clear();
        disk.durable_names = disk.names.clone();
        Self::release(&mut disk);
        Ok(())
    }
}
