//! Maps each function to the gateway that owns its seats, by rendezvous hashing (highest random weight) over a table of
//! gateways that the scaler publishes. When a gateway joins or leaves, only its own functions move.
//!
//! A table is *agreed* if all its members support handovers. Only then is its version binding: a member leases no seats of
//! functions that the table assigns to another. Under a table that is not agreed, each gateway decides on its own which
//! owner to use.

use crate::legacy_hash;
use protocol::{Member, OwnershipChange, UpdateVersion};
use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The gateways that own functions, under one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnershipTable {
    version: UpdateVersion,
    is_agreed: bool,
    /// Sorted by name.
    members: Vec<Member>,
    /// Names of members that owned nothing under the previous version.
    joined: BTreeSet<String>,
    /// Names of members that are leaving and no longer own functions.
    leaving: BTreeSet<String>,
    /// Whether the receiver joined with this table, so that it owns nothing before a handover.
    is_for_newcomer: bool,
}

impl OwnershipTable {
    /// Creates an agreed table from a message.
    #[must_use]
    pub fn agreed(message: protocol::OwnershipTable) -> Self {
        let mut members = message.members;
        members.sort_by(|one, other| one.name.cmp(&other.name));
        Self {
            version: message.version,
            is_agreed: true,
            members,
            joined: message.joined.into_iter().collect(),
            leaving: message.leaving.into_iter().collect(),
            is_for_newcomer: !message.is_first,
        }
    }

    /// The message for an agreed table.
    #[must_use]
    pub fn to_message(&self) -> protocol::OwnershipTable {
        protocol::OwnershipTable {
            version: self.version,
            members: self.members.clone(),
            joined: self.joined.iter().cloned().collect(),
            leaving: self.leaving.iter().cloned().collect(),
            is_first: !self.is_for_newcomer,
        }
    }

    /// Creates a table with members that may not support handovers.
    #[must_use]
    pub fn not_agreed(version: UpdateVersion, mut members: Vec<Member>) -> Self {
        members.sort_by(|one, other| one.name.cmp(&other.name));
        Self {
            version,
            members,
            ..Self::default()
        }
    }

    /// The table after a change; `None` if the change is based on another version.
    #[must_use]
    pub fn changed(&self, change: &OwnershipChange) -> Option<Self> {
        if !self.is_agreed || change.base != self.version {
            return None;
        }
        let members = changed_members(&self.members, &change.joined, &change.left);
        let joined: BTreeSet<String> = names(&change.joined);
        let is_member = |name: &String| members.iter().any(|member| member.name == *name);
        let leaving = self.leaving.iter().chain(&change.leaving);
        let leaving = leaving.filter(|name| is_member(name) && !joined.contains(*name));
        Some(Self {
            version: change.version,
            is_agreed: true,
            leaving: leaving.cloned().collect(),
            members,
            joined,
            is_for_newcomer: false,
        })
    }

    /// Reconstructs the table from before a newcomer and all other members of this version joined, as far as this table
    /// shows it.
    #[must_use]
    pub(crate) fn before_joins(&self, newcomer: &str) -> Self {
        let members = self.members.iter();
        let known =
            members.filter(|member| member.name != newcomer && !self.joined.contains(&member.name));
        Self {
            members: known.cloned().collect(),
            joined: BTreeSet::new(),
            leaving: BTreeSet::new(),
            ..self.clone()
        }
    }

    /// Version of the table; the highest version wins.
    #[must_use]
    pub fn version(&self) -> UpdateVersion {
        self.version
    }

    /// Whether all members support handovers, which makes the table binding.
    #[must_use]
    pub fn is_agreed(&self) -> bool {
        self.is_agreed
    }

    /// All members, sorted by name, including leaving ones.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Looks up a member by name.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<&Member> {
        let index = self
            .members
            .binary_search_by(|member| member.name.as_str().cmp(name));
        index.ok().map(|index| &self.members[index])
    }

    /// Whether a receiver of this table owned nothing before it.
    pub(crate) fn is_for_newcomer(&self, receiver: &str) -> bool {
        self.is_for_newcomer || self.has_joined(receiver)
    }

    /// Whether a member owned nothing under the previous version.
    #[must_use]
    pub fn has_joined(&self, name: &str) -> bool {
        self.joined.contains(name)
    }

    /// Whether a gateway is a member that may own functions.
    #[must_use]
    pub fn is_owner(&self, name: &str) -> bool {
        self.member(name).is_some() && !self.leaving.contains(name)
    }

    /// Names of the members that may own functions.
    pub(crate) fn owners(&self) -> impl Iterator<Item = &str> {
        let members = self.members.iter().map(|member| member.name.as_str());
        members.filter(|name| !self.leaving.contains(*name))
    }

    /// The owner of a function; `None` if no member may own functions.
    #[must_use]
    pub fn owner_of(&self, function: &str) -> Option<&Member> {
        self.owner_among(function, |_| true)
    }

    /// The owner of a function among the members accepted by `may_own`.
    pub fn owner_among(
        &self,
        function: &str,
        may_own: impl Fn(&Member) -> bool,
    ) -> Option<&Member> {
        let members = self.members.iter();
        let owners = members.filter(|member| !self.leaving.contains(&member.name));
        let candidates = owners.filter(|member| may_own(member));
        if !self.is_agreed {
            let function = legacy_hash::function_hash(function);
            return candidates.max_by_key(|member| legacy_hash::weight(function, &member.name));
        }
        let function = xxh3_64_with_seed(function.as_bytes(), 0);
        candidates.max_by_key(|member| xxh3_64_with_seed(member.name.as_bytes(), function))
    }
}

/// Applies joined and left members to a member list. A joined member replaces one of the same name. The result is sorted by
/// name.
#[must_use]
pub fn changed_members(members: &[Member], joined: &[Member], left: &[String]) -> Vec<Member> {
    let joined_names = names(joined);
    let is_kept =
        |member: &&Member| !left.contains(&member.name) && !joined_names.contains(&member.name);
    let kept = members.iter().filter(is_kept);
    let mut changed: Vec<Member> = kept.chain(joined).cloned().collect();
    changed.sort_by(|one, other| one.name.cmp(&other.name));
    changed
}

fn names(members: &[Member]) -> BTreeSet<String> {
    members.iter().map(|member| member.name.clone()).collect()
}
