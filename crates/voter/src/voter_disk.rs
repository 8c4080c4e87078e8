//! A voter's data folder, used under one identity at a time.
//!
//! All files of an identity carry it in their names, and one small file records the current identity. Resetting a voter means
//! replacing that file, which is atomic and synced: before it, the folder contains the complete former voter, and after it an
//! empty one. Files of other identities are never read. Those of the replaced identity are removed later, all others are kept.

use crate::voter::{Voter, VoterError};
use error_stack::{Report, ResultExt};
use journal::Folder;
use std::collections::BTreeSet;
use std::io::{self, ErrorKind};

/// Opens the data folder; each call returns a separate handle.
pub type OpenFolder = Box<dyn Fn() -> io::Result<Box<dyn Folder>> + Send>;

/// File that records the current identity.
const IDENTITY_FILE: &str = "identity";
/// Size of that file, in bytes: two identities and a checksum.
const IDENTITY_BYTES: usize = 24;
/// File that marks that a voter was started under an identity. A disk with neither this file nor a journal counts as new.
const BEGUN_FILE: &str = "begun";
/// Hexadecimal digits of an identity in a file name.
const IDENTITY_DIGITS: usize = 16;

/// A voter and its data folder.
pub struct VoterDisk {
    open_folder: OpenFolder,
    identity: u64,
    voter: Voter,
}

impl VoterDisk {
    /// Opens the voter in the folder, or an empty voter under the identity `fresh` if there is none. If the journal cannot be
    /// read at the moment, the voter stays closed until [`VoterDisk::reopen`].
    pub fn open(open_folder: OpenFolder, fresh: u64) -> Result<Self, Report<VoterError>> {
        let mut folder = open_folder().change_context(VoterError::Folder)?;
        let identity = current_identity(folder.as_mut(), fresh)?;
        remove_replaced(folder.as_mut(), identity);
        let opened = Voter::open(Box::new(IdentityFolder::new(folder, identity.disk)));
        let voter = opened.unwrap_or_else(|report| {
            log::error!("voter: disk unreadable error={report:#}");
            Voter::unreadable()
        });
        Ok(Self {
            open_folder,
            identity: identity.disk,
            voter,
        })
    }

    /// The current identity: the random id of the disk.
    pub fn identity(&self) -> u64 {
        self.identity
    }

    /// The voter.
    pub fn voter(&self) -> &Voter {
        &self.voter
    }

    /// The voter, mutably.
    pub fn voter_mut(&mut self) -> &mut Voter {
        &mut self.voter
    }

    /// Reopens the voter after a disk failure and rewrites its whole state.
    pub fn reopen(&mut self) -> Result<(), Report<VoterError>> {
        let folder = (self.open_folder)().change_context(VoterError::Folder)?;
        self.voter = Voter::reopen(Box::new(IdentityFolder::new(folder, self.identity)))?;
        Ok(())
    }

    /// Discards the voter's state and starts an empty voter under the identity `fresh`. After an error, this is still the former
    /// voter as far as can be determined; the call may be repeated.
    pub fn reset(&mut self, fresh: u64) -> Result<(), Report<VoterError>> {
        let mut folder = (self.open_folder)().change_context(VoterError::Folder)?;
        let identity = Identity {
            disk: fresh,
            replaced: self.identity,
        };
        identity
            .begin(folder.as_mut())
            .change_context(VoterError::Folder)?;
        remove_replaced(folder.as_mut(), identity);
        self.voter = Voter::open(Box::new(IdentityFolder::new(folder, fresh)))?;
        self.identity = fresh;
        Ok(())
    }
}

/// Content of the identity file.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Identity {
    /// The current identity: the random id of the disk.
    disk: u64,
    /// Replaced identity whose files remain to be removed; 0 for none.
    replaced: u64,
}

impl Identity {
    fn parse(bytes: &[u8]) -> Option<Self> {
        if bytes.len() != IDENTITY_BYTES {
            return None;
        }
        let word = |index: usize| {
            let word = <[u8; 8]>::try_from(&bytes[8 * index..8 * index + 8]);
            word.ok().map(u64::from_le_bytes)
        };
        let (disk, replaced, checksum) = (word(0)?, word(1)?, word(2)?);
        (checksum == !(disk ^ replaced)).then_some(Self { disk, replaced })
    }

    fn write(self, folder: &mut dyn Folder) -> io::Result<()> {
        let checksum = !(self.disk ^ self.replaced);
        let words = [self.disk, self.replaced, checksum];
        let bytes = words.map(u64::to_le_bytes).concat();
        folder.replace(IDENTITY_FILE, &bytes)
    }

    /// Makes this the current identity, and marks that a voter was started under it.
    fn begin(self, folder: &mut dyn Folder) -> io::Result<()> {
        self.write(folder)?;
        let marker = format!("{}{BEGUN_FILE}", prefix_of(self.disk));
        folder.append(&marker, &[])?;
        folder.sync(&marker)?;
        folder.sync_names()
    }
}

/// The current identity. If its file is missing or damaged, the identity is taken from the journal's file names. If there is no
/// journal of it, the disk counts as new, since it is unknown what the voter promised.
fn current_identity(folder: &mut dyn Folder, fresh: u64) -> Result<Identity, Report<VoterError>> {
    let stored = match folder.read(IDENTITY_FILE) {
        Ok(bytes) => Identity::parse(&bytes),
        Err(error) if error.kind() == ErrorKind::NotFound => None,
        Err(error) => return Err(Report::new(error).change_context(VoterError::Identity)),
    };
    let names = folder.list().change_context(VoterError::Folder)?;
    let identities: BTreeSet<u64> = names.iter().filter_map(|name| identity_of(name)).collect();
    let identity = match (stored, identities.len()) {
        (Some(stored), _) if identities.contains(&stored.disk) => return Ok(stored),
        (Some(stored), _) => Identity {
            disk: fresh,
            replaced: stored.replaced,
        },
        (None, 0 | 1) => Identity {
            disk: identities.first().copied().unwrap_or(fresh),
            replaced: 0,
        },
        (None, _) => return Err(Report::new(VoterError::SeveralIdentities)),
    };
    if stored.is_none() && identity.disk != fresh {
        log::warn!("voter: identity restored from the journal");
    }
    identity.begin(folder).change_context(VoterError::Folder)?;
    Ok(identity)
}

fn prefix_of(identity: u64) -> String {
    format!("{identity:0IDENTITY_DIGITS$x}-")
}

/// Removes the files of the replaced identity. Files that cannot be removed now are retried at the next start. Files of any
/// other identity are left alone.
fn remove_replaced(folder: &mut dyn Folder, identity: Identity) {
    for name in folder.list().unwrap_or_default() {
        match identity_of(&name) {
            None => {}
            Some(other) if other == identity.disk => {}
            Some(other) if other == identity.replaced => {
                if let Err(error) = folder.remove(&name) {
                    log::warn!("voter: former file not removed file={name} error={error}");
                }
            }
            Some(_) => log::warn!("voter: foreign file ignored file={name}"),
        }
    }
}

/// The identity in a file's name, if it is the name of a voter's file.
fn identity_of(name: &str) -> Option<u64> {
    let (digits, rest) = name.split_once('-')?;
    let is_hex = digits.len() == IDENTITY_DIGITS && digits.chars().all(|c| c.is_ascii_hexdigit());
    let is_journal = rest.starts_with("segment-") || rest.starts_with("snapshot-");
    if !is_hex || !(is_journal || rest == BEGUN_FILE) {
        return None;
    }
    u64::from_str_radix(digits, 16).ok()
}

/// A view of the folder that contains only the files of one identity.
struct IdentityFolder {
    folder: Box<dyn Folder>,
    prefix: String,
}

impl IdentityFolder {
    fn new(folder: Box<dyn Folder>, identity: u64) -> Self {
        let prefix = prefix_of(identity);
        Self { folder, prefix }
    }

    fn name(&self, name: &str) -> String {
        format!("{}{name}", self.prefix)
    }
}

impl Folder for IdentityFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        let names = self.folder.list()?.into_iter();
        let own = names.filter_map(|name| Some(name.strip_prefix(&self.prefix)?.to_string()));
        Ok(own.collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.folder.read(&self.name(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let name = self.name(name);
        self.folder.append(&name, bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let name = self.name(name);
        self.folder.sync(&name)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let (from, to) = (self.name(from), self.name(to));
        self.folder.rename(&from, &to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let name = self.name(name);
        self.folder.remove(&name)
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.folder.sync_names()
    }
}
