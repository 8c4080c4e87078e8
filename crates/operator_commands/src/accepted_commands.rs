//! History of accepted configuration commands, used to recognise commands that are sent again.

use crate::command::CommandKind;
use sha2::{Digest, Sha256};
use speedy::{Readable, Writable};

/// Maximum number of accepted commands in the history. At 24 bytes each, they add at most 12 KiB to the register's value. At
/// one change every 80 ms, the history covers 41 s, ten times the 4 s within which a command must be acknowledged. An older
/// command that is sent again is left undecided, so correctness does not depend on this number.
pub const ACCEPTED_COMMANDS_MAX: usize = 512;
/// Length of the truncated SHA-256 digest. Digests are compared only between commands with the same version. 128 bits
/// make a second preimage infeasible, and the probability of an accidental collision is 2^-128 for each pair.
const DIGEST_BYTES: usize = 16;

/// Identifies a configuration command: the SHA-256 of its kind, base, version and body, truncated to 128 bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct CommandDigest([u8; DIGEST_BYTES]);

impl CommandDigest {
    /// Computes the digest of a command. Leading and trailing white space of the body is ignored, as in JSON.
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

/// An accepted command.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct AcceptedCommand {
    /// The configuration version that the command created.
    pub version: u64,
    /// Digest of the command.
    pub digest: CommandDigest,
}

/// The result of looking up a command in the history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptanceLookup {
    /// The command was accepted.
    Accepted,
    /// The command was never accepted.
    NeverAccepted,
    /// The command may have been accepted, but the history no longer reaches back that far.
    Forgotten,
}

/// The most recently accepted commands. The base of each command is the version of the previous one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct AcceptedCommands {
    /// Base version of the oldest command in the history; 0 if no command has been dropped.
    oldest_base: u64,
    /// Commands in strictly increasing order of their versions.
    commands: Vec<AcceptedCommand>,
}

impl AcceptedCommands {
    /// Adds a newly accepted command and drops the oldest commands beyond [`ACCEPTED_COMMANDS_MAX`].
    pub fn record(&mut self, command: AcceptedCommand) {
        self.commands.push(command);
        let excess = self.commands.len().saturating_sub(ACCEPTED_COMMANDS_MAX);
        if let Some(dropped) = self.commands.drain(..excess).next_back() {
            self.oldest_base = dropped.version;
        }
    }

    /// Looks up whether a command with this base, version and digest was accepted.
    ///
    /// Accepted commands form a chain: the base of each command is the version of the previous one. A dropped command
    /// therefore has a base below `oldest_base` and a version of at most `oldest_base`. For all other commands, the answer is
    /// exact.
    pub fn look_up(&self, base: u64, version: u64, digest: CommandDigest) -> AcceptanceLookup {
        let index = self
            .commands
            .binary_search_by_key(&version, |command| command.version);
        if index.is_ok_and(|index| self.commands[index].digest == digest) {
            return AcceptanceLookup::Accepted;
        }
        if base < version && version <= self.oldest_base {
            return AcceptanceLookup::Forgotten;
        }
        AcceptanceLookup::NeverAccepted
    }

    /// Number of commands in the history.
    pub fn len(&self) -> usize {
        self.commands.len()
    }

    /// Whether the history is empty.
    pub fn is_empty(&self) -> bool {
        self.commands.is_empty()
    }
}
