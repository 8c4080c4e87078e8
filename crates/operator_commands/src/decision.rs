//! The decision on one command, given the value read from a majority of voters.

use crate::accepted_commands::{AcceptanceLookup, CommandDigest};
use crate::command::{BaseVersion, Command, CommandKind};
use crate::configuration::ConfigurationRecord;
use crate::evacuations::Evacuations;
use routing::{ConfigurationError, ConfigurationFormat};
use speedy::Writable;

/// Why a command is rejected. Rejections are final: no copy of a rejected command is ever accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionKind {
    /// The command is invalid.
    Invalid,
    /// The configuration has moved past the command's base version.
    Stale,
    /// The requested item does not exist.
    NotFound,
}

/// The reply to an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandReply {
    /// The command has been applied, although later commands may have superseded it.
    Acknowledged,
    /// The requested configuration.
    Document(Vec<u8>),
    /// The command was not applied and never will be.
    Rejected(RejectionKind, String),
    /// It is unknown whether the command was or will be accepted. The operator may send it again.
    Undecided(String),
}

impl CommandReply {
    /// Creates an undecided reply with a reason.
    pub fn undecided(reason: &str) -> Self {
        Self::Undecided(reason.to_string())
    }
}

/// How to proceed with a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Reply without changing the register.
    Reply(CommandReply),
    /// Write this value if the register is unchanged since it was read, then acknowledge the command.
    Write(Vec<u8>),
}

fn reject(kind: RejectionKind, reason: impl ToString) -> Decision {
    Decision::Reply(CommandReply::Rejected(kind, reason.to_string()))
}

fn leave_undecided(reason: &str) -> Decision {
    Decision::Reply(CommandReply::undecided(reason))
}

/// Decides on a command. `bytes` is the register's value, which must have been read from a majority of voters.
pub fn decide(command: &Command, bytes: &[u8], format: &dyn ConfigurationFormat) -> Decision {
    match &command.kind {
        CommandKind::Read => read_configuration(bytes),
        CommandKind::BeginEvacuation(zone) => decide_evacuation(bytes, zone, true),
        CommandKind::FinishEvacuation(zone) => decide_evacuation(bytes, zone, false),
        CommandKind::Replace | CommandKind::Update => decide_configuration(command, bytes, format),
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

/// Evacuation commands have no identity, so a command that is sent again cannot be distinguished from a new one. They are
/// idempotent instead: if the zone is already in the requested state, the command is acknowledged without a write.
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
    format: &dyn ConfigurationFormat,
) -> Decision {
    let Some(version) = command.version else {
        return reject(RejectionKind::Invalid, "the version cannot be read");
    };
    let base = match base_version(command) {
        Ok(base) => base,
        Err(reason) => return reject(RejectionKind::Invalid, reason),
    };
    // Such a command can never be accepted, whatever the current version is.
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
        // The base version may still be committed and a copy of this command accepted elsewhere, so a rejection would not be
        // final.
        AcceptanceLookup::NeverAccepted if base > current.version => {
            leave_undecided("the version it builds on is not in place yet")
        }
        AcceptanceLookup::NeverAccepted => accept(command, &current, version, format),
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
    format: &dyn ConfigurationFormat,
) -> Decision {
    let Some(old) = current.document() else {
        return leave_undecided("the configuration in place cannot be unpacked");
    };
    match checked_document(command, &old, format) {
        Err(error) => reject(RejectionKind::Invalid, error),
        Ok(document) => {
            write_value(&current.next(&command.kind, version, &document, &command.body))
        }
    }
}

/// Returns the complete new document after parsing and validating it.
fn checked_document(
    command: &Command,
    old: &[u8],
    format: &dyn ConfigurationFormat,
) -> Result<Vec<u8>, ConfigurationError> {
    let document = match command.kind {
        CommandKind::Update => format.merge_change(old, &command.body)?,
        _ => command.body.clone(),
    };
    format.parse(&document)?;
    Ok(document)
}

fn write_value<T: Writable<speedy::LittleEndian>>(value: &T) -> Decision {
    match value.write_to_vec() {
        Ok(bytes) => Decision::Write(bytes),
        Err(_) => leave_undecided("the new value cannot be written"),
    }
}
