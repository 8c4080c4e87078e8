//! The decision on one command, given the value that was read at a majority.

use crate::accepted_commands::{AcceptanceLookup, CommandDigest};
use crate::command::{BaseVersion, Command, CommandKind};
use crate::configuration::ConfigurationRecord;
use crate::evacuations::Evacuations;
use routing::{ConfigurationError, ConfigurationFormat};
use speedy::Writable;

/// Why a command is rejected. A rejection is final: no copy of a rejected command is ever accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionKind {
    /// The command is not valid.
    Invalid,
    /// Another version than its base is in place, for good.
    Stale,
    /// What it asks for does not exist.
    NotFound,
}

/// The answer to an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandReply {
    /// The command is in force, or was.
    Acknowledged,
    /// The configuration that was asked for.
    Document(Vec<u8>),
    /// The command is not in force and never will be.
    Rejected(RejectionKind, String),
    /// It is not known whether the command was or will be accepted; it may be sent again.
    Undecided(String),
}

impl CommandReply {
    /// An undecided reply, with its reason.
    pub fn undecided(reason: &str) -> Self {
        Self::Undecided(reason.to_string())
    }
}

/// What to do about a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Answer it; nothing changes.
    Reply(CommandReply),
    /// Acknowledge it once this value was written on top of the one it was judged by.
    Write(Vec<u8>),
}

fn reject(kind: RejectionKind, reason: impl ToString) -> Decision {
    Decision::Reply(CommandReply::Rejected(kind, reason.to_string()))
}

fn leave_undecided(reason: &str) -> Decision {
    Decision::Reply(CommandReply::undecided(reason))
}

/// Decides on a command by the register's bytes, which must have been read at a majority.
pub fn decide(command: &Command, bytes: &[u8], documents: &dyn ConfigurationFormat) -> Decision {
    match &command.kind {
        CommandKind::Read => read_configuration(bytes),
        CommandKind::BeginEvacuation(zone) => decide_evacuation(bytes, zone, true),
        CommandKind::FinishEvacuation(zone) => decide_evacuation(bytes, zone, false),
        CommandKind::Replace | CommandKind::Update => {
            decide_configuration(command, bytes, documents)
        }
    }
}

fn read_configuration(bytes: &[u8]) -> Decision {
    let Some(configuration) = ConfigurationRecord::read(bytes) else {
        return leave_undecided("the configuration in place cannot be read");
    };
    if configuration.version == 0 {
        return reject(RejectionKind::NotFound, "there is no configuration yet");
    }
    match configuration.document() {
        Some(document) => Decision::Reply(CommandReply::Document(document)),
        None => leave_undecided("the configuration in place cannot be unpacked"),
    }
}

/// An evacuation carries no identity, so a command that is sent again looks like a new one. It is applied by
/// state: what is in force already is acknowledged and nothing is written.
fn decide_evacuation(bytes: &[u8], zone: &str, is_begin: bool) -> Decision {
    let Some(evacuations) = Evacuations::read(bytes) else {
        return leave_undecided("the evacuations in place cannot be read");
    };
    if evacuations.is_evacuated(zone) == is_begin {
        return Decision::Reply(CommandReply::Acknowledged);
    }
    write_value(&evacuations.next(zone, is_begin))
}

fn decide_configuration(
    command: &Command,
    bytes: &[u8],
    documents: &dyn ConfigurationFormat,
) -> Decision {
    let Some(version) = command.version else {
        return reject(RejectionKind::Invalid, "the version cannot be read");
    };
    let base = match base_version(command) {
        Ok(base) => base,
        Err(reason) => return reject(RejectionKind::Invalid, reason),
    };
    // No command of this kind can ever be accepted, whatever is in place.
    if version <= base {
        let reason = format!("version {version} is not above its base {base}");
        return reject(RejectionKind::Invalid, reason);
    }
    let Some(current) = ConfigurationRecord::read(bytes) else {
        return leave_undecided("the configuration in place cannot be read");
    };
    let digest = CommandDigest::of(&command.kind, base, version, &command.body);
    match current.accepted.look_up(base, version, digest) {
        AcceptanceLookup::Accepted => Decision::Reply(CommandReply::Acknowledged),
        AcceptanceLookup::Forgotten => leave_undecided("it is too old to be known again"),
        AcceptanceLookup::NeverAccepted if base < current.version => {
            let reason = format!("version {} is in place", current.version);
            reject(RejectionKind::Stale, reason)
        }
        // The base may yet come into force, and a copy of this command be accepted elsewhere: no rejection would be final.
        AcceptanceLookup::NeverAccepted if base > current.version => {
            leave_undecided("the version it builds on is not in place yet")
        }
        AcceptanceLookup::NeverAccepted => accept(command, &current, version, documents),
    }
}

fn base_version(command: &Command) -> Result<u64, &'static str> {
    match command.base {
        BaseVersion::Given(base) => Ok(base),
        BaseVersion::Missing => Err("it is not told on which version this builds"),
        BaseVersion::Repeated => Err("the version on which this builds is told more than once"),
        BaseVersion::Malformed => Err("the version on which this builds is not a whole number"),
    }
}

fn accept(
    command: &Command,
    current: &ConfigurationRecord,
    version: u64,
    documents: &dyn ConfigurationFormat,
) -> Decision {
    let Some(old) = current.document() else {
        return leave_undecided("the configuration in place cannot be unpacked");
    };
    match checked_document(command, &old, documents) {
        Err(fault) => reject(RejectionKind::Invalid, fault),
        Ok(document) => {
            write_value(&current.next(&command.kind, version, &document, &command.body))
        }
    }
}

/// The complete new document, which was read and checked.
fn checked_document(
    command: &Command,
    old: &[u8],
    documents: &dyn ConfigurationFormat,
) -> Result<Vec<u8>, ConfigurationError> {
    let document = match command.kind {
        CommandKind::Update => documents.merge_change(old, &command.body)?,
        _ => command.body.clone(),
    };
    documents.parse(&document)?;
    Ok(document)
}

fn write_value<T: Writable<speedy::LittleEndian>>(value: &T) -> Decision {
    match value.write_to_vec() {
        Ok(bytes) => Decision::Write(bytes),
        Err(_) => leave_undecided("the new value cannot be written"),
    }
}
