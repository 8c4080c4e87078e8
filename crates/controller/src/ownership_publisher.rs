//! The gateways that own functions' seats under one term, and who is yet to be told which version.

use crate::gateway_table::LinkedGateway;
use protocol::{frame, Member, Message, OwnershipChange, UpdateVersion};
use seat_leases::OwnershipTable;
use std::collections::BTreeSet;

/// Heartbeats for which a gateway is waited for that has not said what it understands, where all others understand agreed tables.
const AGREED_DECLARATION_HEARTBEATS: u64 = 10;

/// The table of the gateways that own functions' seats, with a version that rises with each change. Only the scaler publishes it.
///
/// While all gateways understand agreed tables, the table binds them; else it is published as a plain membership, in messages that older
/// gateways read. A gateway that has the version before a change, and understands changes, is told the change; any other is told the
/// whole. Messages on a link keep their order, and a gateway whose link ended comes anew, so that who was told a version has it before
/// the next change arrives.
#[derive(Default)]
pub(crate) struct OwnershipPublisher {
    term: u64,
    version: u64,
    gateways: Vec<LinkedGateway>,
    /// The table as gateways have it.
    table: OwnershipTable,
    /// Names of the gateways that do not know the version before the newest.
    uninformed: BTreeSet<String>,
    /// The newest change, until it is taken, with the names of those that know the version before.
    change: Option<(OwnershipChange, BTreeSet<String>)>,
    /// Whether the newest version goes whole to all gateways, until it is taken.
    is_first: bool,
    /// When a gateway linked last.
    linked_at: u64,
}

/// A message about the owners, and to whom it goes.
pub(crate) struct OwnershipUpdate {
    /// The framed message.
    pub frame: Vec<u8>,
    /// Names of the gateways that it goes to.
    pub receivers: BTreeSet<String>,
}

impl OwnershipPublisher {
    /// Begins anew under a term, with no table.
    pub fn begin_term(&mut self, term: u64) {
        self.term = term;
        self.version = 0;
        self.gateways.clear();
        self.table = OwnershipTable::default();
        self.change = None;
    }

    /// A gateway came that does not know the table.
    pub fn add_receiver(&mut self, now: u64, name: &str) {
        self.linked_at = now;
        self.uninformed.insert(name.into());
    }

    /// A gateway's link has ended.
    pub fn remove_receiver(&mut self, name: &str) {
        self.uninformed.remove(name);
    }

    /// Whether no gateway has linked for so many milliseconds.
    pub fn is_settled(&self, now: u64, quiet_ms: u64) -> bool {
        now >= self.linked_at + quiet_ms
    }

    /// Milliseconds within which a gateway that links is to say that it understands agreed tables, before it is taken for one that does not
    /// and all go by a table that binds nobody. Where the others are known to understand them, a slow link is the likelier reason.
    pub fn declaration_timeout_ms(&self, heartbeat_ms: u64) -> u64 {
        match self.table.is_agreed() {
            true => heartbeat_ms * AGREED_DECLARATION_HEARTBEATS,
            false => heartbeat_ms,
        }
    }

    /// The table that gateways are told.
    pub fn table(&self) -> &OwnershipTable {
        &self.table
    }

    /// Takes the gateways that have a link now, in the order of their names. While it is early, the first table is not made: gateways
    /// that have not found this controller yet are waited for.
    pub fn update(&mut self, linked: &[LinkedGateway], is_early: bool) {
        if !self.has_changed(linked) || (is_early && self.version == 0) {
            return;
        }
        let is_agreed = linked.iter().all(|one| one.accepts_ownership_tables);
        let names: BTreeSet<String> = linked.iter().map(|one| one.member.name.clone()).collect();
        self.is_first = self.version == 0 || is_agreed != self.table.is_agreed();
        let joined = self.joined(linked);
        let change = self.change_to(linked, joined.clone());
        if self.is_first {
            self.uninformed.extend(names);
        } else {
            let informed = names.difference(&self.uninformed).cloned().collect();
            self.change = Some((change, informed));
        }
        self.gateways = linked.to_vec();
        self.version += 1;
        self.table = self.make_table(is_agreed, &joined);
    }

    /// Whether the table would be another one. What a gateway had in force at its last heartbeat is no part of it.
    fn has_changed(&self, linked: &[LinkedGateway]) -> bool {
        let is_same = |one: &LinkedGateway, other: &LinkedGateway| {
            one.member == other.member
                && one.is_leaving == other.is_leaving
                && one.accepts_ownership_tables == other.accepts_ownership_tables
        };
        let pairs = self.gateways.iter().zip(linked);
        self.gateways.len() != linked.len()
            || !pairs.into_iter().all(|(one, two)| is_same(one, two))
    }

    /// Those that owned nothing under the version before. The first table of a term follows that of another scaler: who does not have
    /// the newest that any gateway has may have lost functions since.
    fn joined(&self, linked: &[LinkedGateway]) -> Vec<Member> {
        let newest = linked.iter().map(|one| one.ownership_version).max();
        let has_joined = |one: &LinkedGateway| match self.version {
            0 => {
                let version = one.ownership_version;
                version == UpdateVersion::default() || Some(version) < newest
            }
            _ => !self.gateways.iter().any(|known| known.member == one.member),
        };
        let joined = linked.iter().filter(|one| has_joined(one));
        joined.map(|one| one.member.clone()).collect()
    }

    fn change_to(&self, linked: &[LinkedGateway], joined: Vec<Member>) -> OwnershipChange {
        let is_left = |name: &str| !linked.iter().any(|one| one.member.name == name);
        let was_leaving = |name: &str| {
            let known = self.gateways.iter().find(|one| one.member.name == name);
            known.is_some_and(|known| known.is_leaving)
        };
        let leaving = linked.iter().filter(|one| one.is_leaving);
        let left = self.gateways.iter().map(|one| one.member.name.clone());
        OwnershipChange {
            base: self.version_of(self.version),
            version: self.version_of(self.version + 1),
            joined,
            leaving: leaving
                .map(|one| one.member.name.clone())
                .filter(|name| !was_leaving(name))
                .collect(),
            left: left.filter(|name| is_left(name)).collect(),
        }
    }

    fn make_table(&self, is_agreed: bool, joined: &[Member]) -> OwnershipTable {
        let members = self.gateways.iter().map(|one| one.member.clone());
        if !is_agreed {
            return OwnershipTable::not_agreed(self.version_of(self.version), members.collect());
        }
        let leaving = self.gateways.iter().filter(|one| one.is_leaving);
        OwnershipTable::agreed(protocol::OwnershipTable {
            version: self.version_of(self.version),
            members: members.collect(),
            joined: joined.iter().map(|member| member.name.clone()).collect(),
            leaving: leaving.map(|one| one.member.name.clone()).collect(),
            is_first: self.is_first,
        })
    }

    /// Whether a gateway is to be told something.
    pub fn has_updates(&self) -> bool {
        self.change.is_some() || self.gateways.iter().any(|one| self.is_uninformed(one))
    }

    fn is_uninformed(&self, gateway: &LinkedGateway) -> bool {
        self.uninformed.contains(&gateway.member.name)
    }

    /// What is to be sent now; nothing where every gateway knows the newest table. Of the gateways that do not understand agreed tables,
    /// some understand changes of the membership.
    pub fn take_updates(
        &mut self,
        understands_changes: impl Fn(&str) -> bool,
    ) -> Vec<OwnershipUpdate> {
        let is_agreed = self.table.is_agreed();
        let change = self.change.take().map(|(change, informed)| {
            let (receivers, others) = informed
                .into_iter()
                .partition(|name| is_agreed || understands_changes(name));
            let others: BTreeSet<String> = others;
            self.uninformed.extend(others);
            OwnershipUpdate {
                frame: frame(&change_message(is_agreed, change)),
                receivers,
            }
        });
        let whole = self.whole_table();
        let updates = change.into_iter().chain(whole);
        updates
            .filter(|update| !update.receivers.is_empty())
            .collect()
    }

    fn whole_table(&mut self) -> Option<OwnershipUpdate> {
        let is_first = std::mem::take(&mut self.is_first);
        // Who is no part of the table yet may not understand it.
        let receivers = self.gateways.iter().filter(|one| self.is_uninformed(one));
        let receivers: BTreeSet<String> = receivers.map(|one| one.member.name.clone()).collect();
        if self.version == 0 || receivers.is_empty() {
            return None;
        }
        self.uninformed.retain(|name| !receivers.contains(name));
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
