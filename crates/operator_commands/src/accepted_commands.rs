//! Memory of the configuration commands that were accepted, by which one that is sent again is recognised.

use crate::command::CommandKind;
use sha2::{Digest, Sha256};
use speedy::{Readable, Writable};

/// Accepted commands that are remembered. At 24 bytes each they add 12 KiB at most to the register's value. At one change
/// every 80 ms this spans 41 s, ten times the 4 s within which a command must be acknowledged. An older command that is
/// sent again is left undecided, so no promise depends on this number.
pub const ACCEPTED_COMMANDS_MAX: usize = 512;
/// Bytes of SHA-256 that are kept. Only commands with the same base and version are ever compared by digest; 128 bits
/// leave a second preimage out of reach and a chance collision at 2^-128 for each pair.
const DIGEST_BYTES: usize = 16;

/// Identity of a configuration command: SHA-256, truncated to 128 bits, over kind, base, version and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct CommandDigest([u8; DIGEST_BYTES]);

impl CommandDigest {
    /// The digest of a command. White space around the body, which means nothing in JSON, does not count.
    pub fn of(kind: &CommandKind, base: u64, version: u64, body: &[u8]) -> Self {
        let kind: u8 = match kind {
            CommandKind::Read => 0,
            CommandKind::Replace => 1,
            CommandKind::Update => 2,
            CommandKind::BeginEvacuation(_) => 3,
            CommandKind::FinishEvacuation(_) => 4,
        };
        let mut hash = Sha256::new();
        hash.update([kind]);
        hash.update(base.to_le_bytes());
        hash.update(version.to_le_bytes());
        hash.update(body.trim_ascii());
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash.finalize()[..DIGEST_BYTES]);
        Self(digest)
    }
}

/// A command that was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct AcceptedCommand {
    /// The version that it put in place.
    pub version: u64,
    /// Its identity.
    pub digest: CommandDigest,
}

/// What the memory says about a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptanceLookup {
    /// It was accepted.
    Accepted,
    /// It was never accepted.
    NeverAccepted,
    /// It may have been accepted so long ago that it was forgotten.
    Forgotten,
}

/// The newest accepted commands. Each was accepted on top of the version of the one before it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct AcceptedCommands {
    /// The version on which the oldest remembered command was accepted; 0 while nothing is forgotten.
    floor: u64,
    /// Remembered commands with strictly rising versions, the newest last.
    commands: Vec<AcceptedCommand>,
}

impl AcceptedCommands {
    /// Adds the newest command, and forgets the oldest ones beyond the bound.
    pub fn remember(&mut self, command: AcceptedCommand) {
        self.commands.push(command);
        let surplus = self.commands.len().saturating_sub(ACCEPTED_COMMANDS_MAX);
        if let Some(forgotten) = self.commands.drain(..surplus).next_back() {
            self.floor = forgotten.version;
        }
    }

    /// Whether a command with this base, version and identity was accepted.
    ///
    /// Accepted commands form a chain in which each builds on the version of the one before. A command that was forgotten
    /// therefore has a base below the floor and a version not above it; every other one is known exactly.
    pub fn look_up(&self, base: u64, version: u64, digest: CommandDigest) -> AcceptanceLookup {
        let place = self
            .commands
            .binary_search_by_key(&version, |command| command.version);
        if place.is_ok_and(|place| self.commands[place].digest == digest) {
            return AcceptanceLookup::Accepted;
        }
        if base < version && version <= self.floor {
            return AcceptanceLookup::Forgotten;
        }
        AcceptanceLookup::NeverAccepted
    }

    /// Commands that are remembered.
    pub fn len(&self) -> usize {
        self.commands.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.commands.is_empty()
    }
}
