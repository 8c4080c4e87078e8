//! The decision on one order, given the value that was read at a majority.

use crate::configuration::Configuration;
use crate::evacuation::Evacuations;
use crate::order::{BaseVersion, Order, OrderKind};
use crate::taken::{Lookup, OrderDigest};
use routing::{Documents, Fault};
use speedy::Writable;

/// Why an order is refused. A refusal is final: no copy of a refused order is ever taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalKind {
    /// The order is not valid.
    Invalid,
    /// Another version than its base is in place, for good.
    Stale,
    /// What it asks for does not exist.
    NotFound,
}

/// What the operator is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The order is in force, or was.
    Acknowledged,
    /// The configuration that was asked for.
    Document(Vec<u8>),
    /// The order is not in force and never will be.
    Refused(RefusalKind, String),
    /// It is not told whether the order was taken, or it could not be yet; it may be sent again.
    Unclear(String),
}

impl Reply {
    /// An unclear reply, with its reason.
    pub fn unclear(reason: &str) -> Self {
        Self::Unclear(reason.to_string())
    }
}

/// What to do about an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Answer it; nothing changes.
    Reply(Reply),
    /// Acknowledge it once this value was written on top of the one it was judged by.
    Write(Vec<u8>),
}

fn refuse(kind: RefusalKind, reason: impl ToString) -> Decision {
    Decision::Reply(Reply::Refused(kind, reason.to_string()))
}

fn leave_unclear(reason: &str) -> Decision {
    Decision::Reply(Reply::unclear(reason))
}

/// Decides on an order by the register's bytes, which must have been read at a majority.
pub fn decide(order: &Order, bytes: &[u8], documents: &dyn Documents) -> Decision {
    match &order.kind {
        OrderKind::Read => read_configuration(bytes),
        OrderKind::BeginEvacuation(zone) => decide_evacuation(bytes, zone, true),
        OrderKind::FinishEvacuation(zone) => decide_evacuation(bytes, zone, false),
        OrderKind::Replace | OrderKind::Update => decide_configuration(order, bytes, documents),
    }
}

fn read_configuration(bytes: &[u8]) -> Decision {
    let Some(configuration) = Configuration::read(bytes) else {
        return leave_unclear("the configuration in place cannot be read");
    };
    if configuration.version == 0 {
        return refuse(RefusalKind::NotFound, "there is no configuration yet");
    }
    match configuration.document() {
        Some(document) => Decision::Reply(Reply::Document(document)),
        None => leave_unclear("the configuration in place cannot be unpacked"),
    }
}

/// An evacuation carries no identity, so an order that is sent again cannot be told from a new one. It is applied by
/// state: what is in force already is acknowledged and nothing is written.
fn decide_evacuation(bytes: &[u8], zone: &str, is_begin: bool) -> Decision {
    let Some(evacuations) = Evacuations::read(bytes) else {
        return leave_unclear("the evacuations in place cannot be read");
    };
    if evacuations.is_evacuated(zone) == is_begin {
        return Decision::Reply(Reply::Acknowledged);
    }
    write(&evacuations.next(zone, is_begin))
}

fn decide_configuration(order: &Order, bytes: &[u8], documents: &dyn Documents) -> Decision {
    let Some(version) = order.version else {
        return refuse(RefusalKind::Invalid, "the version cannot be read");
    };
    let base = match base_of(order) {
        Ok(base) => base,
        Err(reason) => return refuse(RefusalKind::Invalid, reason),
    };
    // No order of this kind can ever be taken, whatever is in place.
    if version <= base {
        let reason = format!("version {version} is not above its base {base}");
        return refuse(RefusalKind::Invalid, reason);
    }
    let Some(current) = Configuration::read(bytes) else {
        return leave_unclear("the configuration in place cannot be read");
    };
    let digest = OrderDigest::of(&order.kind, base, version, &order.body);
    match current.taken.look_up(base, version, digest) {
        Lookup::Taken => Decision::Reply(Reply::Acknowledged),
        Lookup::Forgotten => leave_unclear("it is too old to be known again"),
        Lookup::NeverTaken if base < current.version => {
            let reason = format!("version {} is in place", current.version);
            refuse(RefusalKind::Stale, reason)
        }
        // The base may yet come into force, and a copy of this order be taken elsewhere: no refusal would be final.
        Lookup::NeverTaken if base > current.version => {
            leave_unclear("the version it builds on is not in place yet")
        }
        Lookup::NeverTaken => take(order, &current, version, documents),
    }
}

fn base_of(order: &Order) -> Result<u64, &'static str> {
    match order.base {
        BaseVersion::Told(base) => Ok(base),
        BaseVersion::Missing => Err("it is not told on which version this builds"),
        BaseVersion::Repeated => Err("the version on which this builds is told more than once"),
        BaseVersion::Malformed => Err("the version on which this builds is not a whole number"),
    }
}

fn take(
    order: &Order,
    current: &Configuration,
    version: u64,
    documents: &dyn Documents,
) -> Decision {
    let Some(old) = current.document() else {
        return leave_unclear("the configuration in place cannot be unpacked");
    };
    match checked_document(order, &old, documents) {
        Err(fault) => refuse(RefusalKind::Invalid, fault),
        Ok(document) => write(&current.next(&order.kind, version, &document, &order.body)),
    }
}

/// The whole new document, which was read and checked.
fn checked_document(
    order: &Order,
    old: &[u8],
    documents: &dyn Documents,
) -> Result<Vec<u8>, Fault> {
    let document = match order.kind {
        OrderKind::Update => documents.change(old, &order.body)?,
        _ => order.body.clone(),
    };
    documents.read(&document)?;
    Ok(document)
}

fn write<T: Writable<speedy::LittleEndian>>(value: &T) -> Decision {
    match value.write_to_vec() {
        Ok(bytes) => Decision::Write(bytes),
        Err(_) => leave_unclear("the new value cannot be written"),
    }
}
