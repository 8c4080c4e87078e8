//! The value of the configuration register.
//!
//! The encoding is stored on disk and sent between controllers, so the order of the fields must not change.

use crate::accepted_commands::{AcceptedCommand, AcceptedCommands, CommandDigest};
use crate::command::CommandKind;
use protocol::{deflate, inflate};
use speedy::{Readable, Writable};

/// Maximum size of a document in bytes.
const DOCUMENT_MAX: u64 = 64 << 20;

/// The active configuration, with the data needed to decide on the next command.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct ConfigurationRecord {
    /// Version assigned by the operator; 0 if there is no configuration yet.
    pub version: u64,
    /// The complete document, compressed.
    pub deflated_document: Vec<u8>,
    /// The update that created this value from the previous one, compressed; empty if the whole document was replaced.
    pub change: Vec<u8>,
    /// The most recently accepted commands.
    pub accepted: AcceptedCommands,
}

impl ConfigurationRecord {
    /// Decodes a register value; `None` if it cannot be decoded. Empty bytes (a register that was never written) decode to a
    /// record without a configuration.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        if bytes.is_empty() {
            return Some(Self::default());
        }
        Self::read_from_buffer(bytes).ok()
    }

    /// The decompressed document, empty if there is no configuration yet; `None` if it cannot be decompressed.
    pub fn document(&self) -> Option<Vec<u8>> {
        if self.version == 0 {
            return Some(Vec::new());
        }
        inflate(&self.deflated_document, DOCUMENT_MAX)
    }

    /// The value after accepting a command that results in this document.
    pub fn next(
        &self,
        kind: &CommandKind,
        version: u64,
        document: &[u8],
        body: &[u8],
    ) -> ConfigurationRecord {
        let digest = CommandDigest::of(kind, self.version, version, body);
        let mut accepted = self.accepted.clone();
        accepted.record(AcceptedCommand { version, digest });
        let is_update = *kind == CommandKind::Update;
        Self {
            version,
            deflated_document: deflate(document),
            change: if is_update { deflate(body) } else { Vec::new() },
            accepted,
        }
    }
}
