//! The value of the configuration's register.
//!
//! Its encoding is stored on disks and sent between controllers: the order of the fields must stay.

use crate::accepted_commands::{AcceptedCommand, AcceptedCommands, CommandDigest};
use crate::command::CommandKind;
use protocol::{deflate, inflate};
use speedy::{Readable, Writable};

/// Largest document, in bytes.
const DOCUMENT_MAX: u64 = 64 << 20;

/// The configuration in force, with what is needed to judge the next command.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct ConfigurationRecord {
    /// The operator's version; 0 where there is none yet.
    pub version: u64,
    /// The complete document, deflated.
    pub deflated_document: Vec<u8>,
    /// The change that led here from the value before, deflated; empty where a complete document did.
    pub change: Vec<u8>,
    /// The newest commands that were accepted.
    pub accepted: AcceptedCommands,
}

impl ConfigurationRecord {
    /// Reads a register's bytes; none where they cannot be read. A register never written holds no configuration.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        if bytes.is_empty() {
            return Some(Self::default());
        }
        Self::read_from_buffer(bytes).ok()
    }

    /// The complete document, empty where there is no configuration yet; none where it cannot be unpacked.
    pub fn document(&self) -> Option<Vec<u8>> {
        if self.version == 0 {
            return Some(Vec::new());
        }
        inflate(&self.deflated_document, DOCUMENT_MAX)
    }

    /// The value after a command was accepted that puts a document in place.
    pub fn next(
        &self,
        kind: &CommandKind,
        version: u64,
        document: &[u8],
        body: &[u8],
    ) -> ConfigurationRecord {
        let digest = CommandDigest::of(kind, self.version, version, body);
        let mut accepted = self.accepted.clone();
        accepted.remember(AcceptedCommand { version, digest });
        let is_update = *kind == CommandKind::Update;
        Self {
            version,
            deflated_document: deflate(document),
            change: if is_update { deflate(body) } else { Vec::new() },
            accepted,
        }
    }
}
