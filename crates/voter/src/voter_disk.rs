//! A voter's data folder, under one identity at a time.
//!
//! All files of an identity bear it in their names, and one small file says which identity is in force.
//! Replacing that file, which is atomic and synced, is the one step by which a voter begins anew: before
//! it, the folder holds the whole former voter, and after it an empty one. Files of other identities are
//! never read. Those of the identity that was given up are removed when there is time, all others stay.

use crate::voter::{Voter, VoterError};
use error_stack::{Report, ResultExt};
use journal::Folder;
use std::collections::BTreeSet;
use std::io::{self, ErrorKind};

/// Opens the data folder; each call gives a handle of its own.
pub type OpenFolder = Box<dyn Fn() -> io::Result<Box<dyn Folder>> + Send>;

/// File that says which identity is in force.
const IDENTITY_FILE: &str = "identity";
/// Bytes of that file: two identities and a check.
const IDENTITY_BYTES: usize = 24;
/// File that says that a voter began under an identity. Without it, or the journal, a disk counts as new.
const BEGUN_FILE: &str = "begun";
/// Digits of an identity in a file's name.
const IDENTITY_DIGITS: usize = 16;

/// A voter with the data folder that it lives in.
pub struct VoterDisk {
    open_folder: OpenFolder,
    identity: u64,
    voter: Voter,
}

impl VoterDisk {
    /// Opens what the folder holds, as an empty voter under a fresh identity where there is none. A journal
    /// that cannot be read at the moment leaves the voter closed until [`VoterDisk::reopen`].
    pub fn open(open_folder: OpenFolder, fresh: u64) -> Result<Self, Report<VoterError>> {
        let mut folder = open_folder().change_context(VoterError::Folder)?;
        let identity = identity_in_force(folder.as_mut(), fresh)?;
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

    /// Random id that the folder's present content belongs to.
    pub fn identity(&self) -> u64 {
        self.identity
    }

    /// The voter.
    pub fn voter(&self) -> &Voter {
        &self.voter
    }

    /// The voter, to be asked.
    pub fn voter_mut(&mut self) -> &mut Voter {
        &mut self.voter
    }

    /// Opens the voter again after its disk had failed, with all that it holds written anew.
    pub fn reopen(&mut self) -> Result<(), Report<VoterError>> {
        let folder = (self.open_folder)().change_context(VoterError::Folder)?;
        self.voter = Voter::reopen(Box::new(IdentityFolder::new(folder, self.identity)))?;
        Ok(())
    }

    /// Gives up all that the voter holds and begins as an empty one under a fresh identity. After a
    /// failure it is the former voter still, as far as can be told; the call may be repeated.
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

/// What the identity file says.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Identity {
    /// Random id made with the disk.
    disk: u64,
    /// Id that was given up and whose files are still to be removed; 0 for none.
    replaced: u64,
}

impl Identity {
    fn parse(bytes: &[u8]) -> Option<Self> {
        if bytes.len() != IDENTITY_BYTES {
            return None;
        }
        let word = |place: usize| {
            let word = <[u8; 8]>::try_from(&bytes[8 * place..8 * place + 8]);
            word.ok().map(u64::from_le_bytes)
        };
        let (disk, replaced, check) = (word(0)?, word(1)?, word(2)?);
        (check == !(disk ^ replaced)).then_some(Self { disk, replaced })
    }

    fn write(self, folder: &mut dyn Folder) -> io::Result<()> {
        let check = !(self.disk ^ self.replaced);
        let words = [self.disk, self.replaced, check];
        let bytes = words.map(u64::to_le_bytes).concat();
        folder.replace(IDENTITY_FILE, &bytes)
    }

    /// Puts the identity in force, and notes that a voter begins under it.
    fn begin(self, folder: &mut dyn Folder) -> io::Result<()> {
        self.write(folder)?;
        let begun = format!("{}{BEGUN_FILE}", prefix_of(self.disk));
        folder.append(&begun, &[])?;
        folder.sync(&begun)?;
        folder.sync_names()
    }
}

/// The identity in force. Where its file is missing or damaged, the journal beside it tells it; where there
/// is no journal of it, the disk counts as new, since nobody knows what it promised.
fn identity_in_force(folder: &mut dyn Folder, fresh: u64) -> Result<Identity, Report<VoterError>> {
    let kept = match folder.read(IDENTITY_FILE) {
        Ok(bytes) => Identity::parse(&bytes),
        Err(error) if error.kind() == ErrorKind::NotFound => None,
        Err(error) => return Err(Report::new(error).change_context(VoterError::Identity)),
    };
    let names = folder.list().change_context(VoterError::Folder)?;
    let journals: BTreeSet<u64> = names.iter().filter_map(|name| identity_of(name)).collect();
    let identity = match (kept, journals.len()) {
        (Some(kept), _) if journals.contains(&kept.disk) => return Ok(kept),
        (Some(kept), _) => Identity {
            disk: fresh,
            replaced: kept.replaced,
        },
        (None, 0 | 1) => Identity {
            disk: journals.first().copied().unwrap_or(fresh),
            replaced: 0,
        },
        (None, _) => return Err(Report::new(VoterError::SeveralIdentities)),
    };
    if kept.is_none() && identity.disk != fresh {
        log::warn!("voter: identity restored from the journal");
    }
    identity.begin(folder).change_context(VoterError::Folder)?;
    Ok(identity)
}

fn prefix_of(identity: u64) -> String {
    format!("{identity:0IDENTITY_DIGITS$x}-")
}

/// Removes files of the identity that was given up. What cannot be removed now is tried again at the next
/// start. Files of any other identity are left alone.
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

/// The identity whose file a name says it is.
fn identity_of(name: &str) -> Option<u64> {
    let (digits, rest) = name.split_once('-')?;
    let is_hex = digits.len() == IDENTITY_DIGITS && digits.chars().all(|c| c.is_ascii_hexdigit());
    let is_journal = rest.starts_with("segment-") || rest.starts_with("snapshot-");
    if !is_hex || !(is_journal || rest == BEGUN_FILE) {
        return None;
    }
    u64::from_str_radix(digits, 16).ok()
}

/// The files of one identity, as a folder of their own.
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
