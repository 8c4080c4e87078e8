use crate::folder::Folder;
use crate::frame::framed;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;

/// What a disk in memory can be told to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mishap {
    /// Every write fails, as on a full disk.
    Full,
    /// There is room again.
    Room,
    /// The newest file ends in so many bytes of a record that was never whole.
    Torn(usize),
    /// Unsynced bytes are lost but for so many, as on a loss of power.
    PowerLoss(usize),
}

#[derive(Clone, Default)]
struct Held {
    bytes: Vec<u8>,
    synced: usize,
}

#[derive(Clone, Default)]
struct Disk {
    files: BTreeMap<String, Held>,
    is_full: bool,
}

/// A folder in memory for simulations and tests; clones share the same disk.
#[derive(Clone, Default)]
pub struct MemoryFolder {
    disk: Arc<Mutex<Disk>>,
}

impl MemoryFolder {
    /// Lets a mishap befall the disk.
    pub fn suffer(&self, mishap: Mishap) {
        let mut disk = self.disk.lock();
        match mishap {
            Mishap::Full => disk.is_full = true,
            Mishap::Room => disk.is_full = false,
            Mishap::Torn(count) => {
                if let Some(held) = disk.files.values_mut().next_back() {
                    let start = framed(&vec![7; count]);
                    held.bytes.extend_from_slice(&start[..count]);
                }
            }
            Mishap::PowerLoss(kept) => {
                for held in disk.files.values_mut() {
                    held.bytes.truncate(held.synced + kept);
                    held.synced = held.bytes.len();
                }
            }
        }
    }

    /// Flips one bit of a file.
    pub fn flip(&self, name: &str, place: usize, bit: u8) {
        if let Some(byte) = self
            .disk
            .lock()
            .files
            .get_mut(name)
            .and_then(|held| held.bytes.get_mut(place))
        {
            *byte ^= 1 << (bit % 8);
        }
    }

    /// A disk of its own with the same content; later changes of either are not seen by the other.
    pub fn copied(&self) -> Self {
        let disk = self.disk.lock().clone();
        Self {
            disk: Arc::new(Mutex::new(disk)),
        }
    }

    /// Empties the disk, and gives it room again.
    pub fn wipe(&self) {
        *self.disk.lock() = Disk::default();
    }
}

fn missing(name: &str) -> io::Error {
    io::Error::new(io::ErrorKind::NotFound, name.to_string())
}

impl Folder for MemoryFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.disk.lock().files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let disk = self.disk.lock();
        let held = disk.files.get(name).ok_or_else(|| missing(name))?;
        Ok(held.bytes.clone())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut disk = self.disk.lock();
        if disk.is_full {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        let held = disk.files.entry(name.to_string()).or_default();
        held.bytes.extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.disk.lock();
        let held = disk.files.get_mut(name).ok_or_else(|| missing(name))?;
        held.synced = held.bytes.len();
        Ok(())
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut disk = self.disk.lock();
        if disk.is_full {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        let held = Held {
            bytes: bytes.to_vec(),
            synced: bytes.len(),
        };
        disk.files.insert(name.to_string(), held);
        Ok(())
    }

    fn cut(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut disk = self.disk.lock();
        let held = disk.files.get_mut(name).ok_or_else(|| missing(name))?;
        held.bytes.truncate(length as usize);
        held.synced = held.bytes.len();
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.disk.lock().files.remove(name);
        Ok(())
    }
}
