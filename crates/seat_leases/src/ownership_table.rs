//! Which gateway owns the seats of a function: a table of the gateways, published by the controller that scales, and rendezvous hashing
//! (highest random weight) over it. A gateway that goes or comes moves only its own functions.
//!
//! A table is *agreed* where all of its members understand hand-overs. Only then does its version bind: a member leases no seat of a
//! function that the table gives to another. Under a table that is not agreed each gateway decides by itself whom it takes for the owner.

use crate::legacy_hash;
use protocol::{Member, OwnershipChange, UpdateVersion};
use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Which gateways own functions, under one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnershipTable {
    version: UpdateVersion,
    is_agreed: bool,
    /// In the order of their names.
    members: Vec<Member>,
    /// Names of the members that owned nothing under the version before.
    joined: BTreeSet<String>,
    /// Names of the members that own nothing any more.
    leaving: BTreeSet<String>,
    /// Whether its receiver came anew, so that it owns nothing before a hand-over.
    is_for_newcomer: bool,
}

impl OwnershipTable {
    /// The agreed table of a message.
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

    /// The message that tells an agreed table.
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

    /// A table of gateways of which some do not understand hand-overs.
    #[must_use]
    pub fn not_agreed(version: UpdateVersion, mut members: Vec<Member>) -> Self {
        members.sort_by(|one, other| one.name.cmp(&other.name));
        Self {
            version,
            members,
            ..Self::default()
        }
    }

    /// The table after a change; none where the change builds on another version.
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

    /// The table as it was before a newcomer and all others joined that joined under this version, as far as it tells.
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

    /// Its version; the highest one wins.
    #[must_use]
    pub fn version(&self) -> UpdateVersion {
        self.version
    }

    /// Whether all members understand hand-overs, so that it binds them.
    #[must_use]
    pub fn is_agreed(&self) -> bool {
        self.is_agreed
    }

    /// The gateways, in the order of their names, also those that are leaving.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The member with this name.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<&Member> {
        let index = self
            .members
            .binary_search_by(|member| member.name.as_str().cmp(name));
        index.ok().map(|index| &self.members[index])
    }

    /// Whether a gateway that receives this table owned nothing before.
    pub(crate) fn is_for_newcomer(&self, receiver: &str) -> bool {
        self.is_for_newcomer || self.has_joined(receiver)
    }

    /// Whether a member owned nothing under the version before.
    #[must_use]
    pub fn has_joined(&self, name: &str) -> bool {
        self.joined.contains(name)
    }

    /// Whether a gateway owns functions.
    #[must_use]
    pub fn is_owner(&self, name: &str) -> bool {
        self.member(name).is_some() && !self.leaving.contains(name)
    }

    /// Names of the members that own functions.
    pub(crate) fn owners(&self) -> impl Iterator<Item = &str> {
        let members = self.members.iter().map(|member| member.name.as_str());
        members.filter(|name| !self.leaving.contains(*name))
    }

    /// The owner of a function; none without a member that may own one.
    #[must_use]
    pub fn owner_of(&self, function: &str) -> Option<&Member> {
        self.owner_among(function, |_| true)
    }

    /// The owner of a function, were the members that may not own it none.
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

/// Members after some joined, in place of those of the same name, and some left; in the order of their names.
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
