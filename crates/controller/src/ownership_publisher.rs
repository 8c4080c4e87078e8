//! The ownership table of a term: which gateways own functions' seats, and which version each gateway still has to be sent.

use crate::gateway_table::LinkedGateway;
use protocol::{frame, Member, Message, OwnershipChange, UpdateVersion};
use seat_leases::OwnershipTable;
use std::collections::BTreeSet;

/// Heartbeat intervals that a new gateway has to declare support for agreed tables, while all other gateways support them.
const AGREED_DECLARATION_HEARTBEATS: u64 = 10;

/// The table of the gateways that own functions' seats, with a version that increases with each change. Only the scaler
/// publishes it.
///
/// While all gateways support agreed tables, the published table is binding for them. Otherwise a plain membership is
/// published, in messages that older gateways can read. A gateway that has the version before a change, and supports changes,
/// is sent the change; any other is sent the full table. Messages on a connection arrive in order, and a gateway that
/// reconnects is treated as a new receiver, so that a gateway which was sent a version has it before the next change arrives.
#[derive(Default)]
pub(crate) struct OwnershipPublisher {
    term: u64,
    version: u64,
    gateways: Vec<LinkedGateway>,
    /// The newest version of the table.
    table: OwnershipTable,
    /// Names of the gateways that need the full table, since they lack the version before the newest.
    needing_full_table: BTreeSet<String>,
    /// The newest change, until it is taken, with the names of the gateways that have the version before it.
    change: Option<(OwnershipChange, BTreeSet<String>)>,
    /// Whether the newest version, not yet taken, is the first of its kind, so that all gateways are sent the full table.
    is_first: bool,
    /// When the last gateway linked.
    linked_at: u64,
}

/// A message about the ownership table, with its receivers.
pub(crate) struct OwnershipUpdate {
    /// The encoded frame.
    pub frame: Vec<u8>,
    /// Names of the gateways that it is sent to.
    pub receivers: BTreeSet<String>,
}

impl OwnershipPublisher {
    /// Starts a term without a table.
    pub fn begin_term(&mut self, term: u64) {
        self.term = term;
        self.version = 0;
        self.gateways.clear();
        self.table = OwnershipTable::default();
        self.change = None;
    }

    /// Adds a gateway that linked and has no version of the table.
    pub fn add_receiver(&mut self, now: u64, name: &str) {
        self.linked_at = now;
        self.needing_full_table.insert(name.into());
    }

    /// Removes a gateway whose connection has ended.
    pub fn remove_receiver(&mut self, name: &str) {
        self.needing_full_table.remove(name);
    }

    /// Whether no gateway has linked for `quiet_ms` milliseconds.
    pub fn is_settled(&self, now: u64, quiet_ms: u64) -> bool {
        now >= self.linked_at + quiet_ms
    }

    /// Milliseconds within which a gateway that links must declare support for agreed tables. After that it is treated as one
    /// of an older version, and all gateways fall back to a table that is not binding. The timeout is longer while all others
    /// support agreed tables, since then a slow connection is the more likely reason for a missing declaration.
    pub fn declaration_timeout_ms(&self, heartbeat_ms: u64) -> u64 {
        match self.table.is_agreed() {
            true => heartbeat_ms * AGREED_DECLARATION_HEARTBEATS,
            false => heartbeat_ms,
        }
    }

    /// The published table.
    pub fn table(&self) -> &OwnershipTable {
        &self.table
    }

    /// Updates the table from the gateways that are linked now, ordered by name. While `is_early` holds, the first table of a
    /// term is not built yet, so that gateways have time to connect to this controller.
    pub fn update(&mut self, linked: &[LinkedGateway], is_early: bool) {
        if !self.has_changed(linked) || (is_early && self.version == 0) {
            return;
        }
        let is_agreed = linked
            .iter()
            .all(|gateway| gateway.accepts_ownership_tables);
        let names: BTreeSet<String> = linked
            .iter()
            .map(|gateway| gateway.member.name.clone())
            .collect();
        self.is_first = self.version == 0 || is_agreed != self.table.is_agreed();
        let joined = self.joined(linked);
        let change = self.change_to(linked, joined.clone());
        if self.is_first {
            self.needing_full_table.extend(names);
        } else {
            let up_to_date = names
                .difference(&self.needing_full_table)
                .cloned()
                .collect();
            self.change = Some((change, up_to_date));
        }
        self.gateways = linked.to_vec();
        self.version += 1;
        self.table = self.build_table(is_agreed, &joined);
    }

    /// Whether the table would differ. The version that a gateway reported in its heartbeat does not count.
    fn has_changed(&self, linked: &[LinkedGateway]) -> bool {
        let is_same = |gateway: &LinkedGateway, other: &LinkedGateway| {
            gateway.member == other.member
                && gateway.is_leaving == other.is_leaving
                && gateway.accepts_ownership_tables == other.accepts_ownership_tables
        };
        let pairs = self.gateways.iter().zip(linked);
        self.gateways.len() != linked.len()
            || !pairs
                .into_iter()
                .all(|(gateway, other)| is_same(gateway, other))
    }

    /// The gateways that owned nothing under the previous version. The first table of a term succeeds a table of another
    /// scaler: a gateway that has no version, or not the newest that any gateway has, may have lost functions since.
    fn joined(&self, linked: &[LinkedGateway]) -> Vec<Member> {
        let newest = linked.iter().map(|gateway| gateway.ownership_version).max();
        let has_joined = |gateway: &LinkedGateway| match self.version {
            0 => {
                let version = gateway.ownership_version;
                version == UpdateVersion::default() || Some(version) < newest
            }
            _ => !self
                .gateways
                .iter()
                .any(|known| known.member == gateway.member),
        };
        let joined = linked.iter().filter(|gateway| has_joined(gateway));
        joined.map(|gateway| gateway.member.clone()).collect()
    }

    fn change_to(&self, linked: &[LinkedGateway], joined: Vec<Member>) -> OwnershipChange {
        let has_left = |name: &str| !linked.iter().any(|gateway| gateway.member.name == name);
        let was_leaving = |name: &str| {
            let known = self
                .gateways
                .iter()
                .find(|gateway| gateway.member.name == name);
            known.is_some_and(|known| known.is_leaving)
        };
        let leaving = linked.iter().filter(|gateway| gateway.is_leaving);
        let left = self
            .gateways
            .iter()
            .map(|gateway| gateway.member.name.clone());
        OwnershipChange {
            base: self.version_of(self.version),
            version: self.version_of(self.version + 1),
            joined,
            leaving: leaving
                .map(|gateway| gateway.member.name.clone())
                .filter(|name| !was_leaving(name))
                .collect(),
            left: left.filter(|name| has_left(name)).collect(),
        }
    }

    fn build_table(&self, is_agreed: bool, joined: &[Member]) -> OwnershipTable {
        let members = self.gateways.iter().map(|gateway| gateway.member.clone());
        if !is_agreed {
            return OwnershipTable::not_agreed(self.version_of(self.version), members.collect());
        }
        let leaving = self.gateways.iter().filter(|gateway| gateway.is_leaving);
        OwnershipTable::agreed(protocol::OwnershipTable {
            version: self.version_of(self.version),
            members: members.collect(),
            joined: joined.iter().map(|member| member.name.clone()).collect(),
            leaving: leaving.map(|gateway| gateway.member.name.clone()).collect(),
            is_first: self.is_first,
        })
    }

    /// Whether there is anything to send to a gateway.
    pub fn has_updates(&self) -> bool {
        self.change.is_some()
            || self
                .gateways
                .iter()
                .any(|gateway| self.needs_full_table(gateway))
    }

    fn needs_full_table(&self, gateway: &LinkedGateway) -> bool {
        self.needing_full_table.contains(&gateway.member.name)
    }

    /// Takes the messages to send; none if every gateway has the newest table. `understands_changes` tells which gateways
    /// support incremental changes of a plain membership; those of an agreed table are supported by all.
    pub fn take_updates(
        &mut self,
        understands_changes: impl Fn(&str) -> bool,
    ) -> Vec<OwnershipUpdate> {
        let is_agreed = self.table.is_agreed();
        let change = self.change.take().map(|(change, up_to_date)| {
            let (receivers, others) = up_to_date
                .into_iter()
                .partition(|name| is_agreed || understands_changes(name));
            let others: BTreeSet<String> = others;
            self.needing_full_table.extend(others);
            OwnershipUpdate {
                frame: frame(&change_message(is_agreed, change)),
                receivers,
            }
        });
        let full_table = self.full_table_update();
        let updates = change.into_iter().chain(full_table);
        updates
            .filter(|update| !update.receivers.is_empty())
            .collect()
    }

    fn full_table_update(&mut self) -> Option<OwnershipUpdate> {
        let is_first = std::mem::take(&mut self.is_first);
        // A gateway that is not part of the table yet may not support its format.
        let receivers = self
            .gateways
            .iter()
            .filter(|gateway| self.needs_full_table(gateway));
        let receivers: BTreeSet<String> = receivers
            .map(|gateway| gateway.member.name.clone())
            .collect();
        if self.version == 0 || receivers.is_empty() {
            return None;
        }
        self.needing_full_table
            .retain(|name| !receivers.contains(name));
        let message = if self.table.is_agreed() {
            Message::OwnershipTable(protocol::OwnershipTable {
                is_first,
                ..self.table.to_message()
            })
        } else {
            Message::GatewayMembership {
                version: self.table.version(),
                members: self.table.members().to_vec(),
            }
        };
        Some(OwnershipUpdate {
            frame: frame(&message),
            receivers,
        })
    }

    fn version_of(&self, number: u64) -> UpdateVersion {
        let term = self.term;
        UpdateVersion { term, number }
    }
}

fn change_message(is_agreed: bool, change: OwnershipChange) -> Message {
    if is_agreed {
        return Message::OwnershipChange(change);
    }
    Message::GatewayMembershipChange {
        base: change.base,
        version: change.version,
        joined: change.joined,
        left: change.left,
    }
}
