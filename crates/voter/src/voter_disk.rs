//! A voter's data folder, under one identity at a time.
//!
//! All files of an identity bear it in their names, and one small file says which identity is in force.
//! Replacing that file, which is atomic and synced, is the one step by which a voter begins anew: before
//! it, the folder holds the whole former voter, and after it an empty one. Files of other identities are
//! never read; they are removed when there is time.

use crate::keeper::{Voter, VoterError};
use error_stack::{Report, ResultExt};
use journal::Folder;
use std::io::{self, ErrorKind};

/// Opens the data folder; each call gives a handle of its own.
pub type OpenFolder = Box<dyn Fn() -> io::Result<Box<dyn Folder>> + Send>;

/// File that says which identity is in force.
const IDENTITY_FILE: &str = "identity";
/// Digits of an identity in a file's name.
const IDENTITY_DIGITS: usize = 16;

/// A voter with the data folder that it lives in.
pub struct VoterDisk {
    open_folder: OpenFolder,
    identity: u64,
    voter: Voter,
}

impl VoterDisk {
    /// Opens what the folder holds, as an empty voter under a fresh identity where there is none.
    pub fn open(open_folder: OpenFolder, fresh: u64) -> Result<Self, Report<VoterError>> {
        let mut folder = open_folder().change_context(VoterError::Folder)?;
        let identity = match read_identity(folder.as_ref()).change_context(VoterError::Folder)? {
            Some(identity) => identity,
            None => {
                write_identity(folder.as_mut(), fresh).change_context(VoterError::Folder)?;
                fresh
            }
        };
        remove_others(folder.as_mut(), identity);
        let voter = Voter::open(Box::new(IdentityFolder::new(folder, identity)))?;
        Ok(Self {
            open_folder,
            identity,
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
    pub fn begin_anew(&mut self, fresh: u64) -> Result<(), Report<VoterError>> {
        let mut folder = (self.open_folder)().change_context(VoterError::Folder)?;
        write_identity(folder.as_mut(), fresh).change_context(VoterError::Folder)?;
        remove_others(folder.as_mut(), fresh);
        self.voter = Voter::open(Box::new(IdentityFolder::new(folder, fresh)))?;
        self.identity = fresh;
        Ok(())
    }
}

fn read_identity(folder: &dyn Folder) -> io::Result<Option<u64>> {
    let bytes = match folder.read(IDENTITY_FILE) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    let Ok(bytes) = <[u8; 8]>::try_from(bytes.as_slice()) else {
        log::error!("voter: the identity file is not one of ours; begins as an empty voter");
        return Ok(None);
    };
    Ok(Some(u64::from_le_bytes(bytes)))
}

fn write_identity(folder: &mut dyn Folder, identity: u64) -> io::Result<()> {
    folder.replace(IDENTITY_FILE, &identity.to_le_bytes())
}

fn prefix_of(identity: u64) -> String {
    format!("{identity:0IDENTITY_DIGITS$x}-")
}

/// Removes files of other identities. What cannot be removed now is tried again at the next start.
fn remove_others(folder: &mut dyn Folder, identity: u64) {
    let own = prefix_of(identity);
    for name in folder.list().unwrap_or_default() {
        if has_identity(&name) && !name.starts_with(&own) {
            if let Err(error) = folder.remove(&name) {
                log::warn!("voter: {name} of a former identity stays: {error}");
            }
        }
    }
}

fn has_identity(name: &str) -> bool {
    let Some((digits, rest)) = name.split_once('-') else {
        return false;
    };
    let is_hex = digits.len() == IDENTITY_DIGITS && digits.chars().all(|c| c.is_ascii_hexdigit());
    is_hex && (rest.starts_with("segment-") || rest.starts_with("snapshot-"))
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

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let name = self.name(name);
        self.folder.replace(&name, bytes)
    }

    fn cut(&mut self, name: &str, length: u64) -> io::Result<()> {
        let name = self.name(name);
        self.folder.cut(&name, length)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let name = self.name(name);
        self.folder.remove(&name)
    }
}
