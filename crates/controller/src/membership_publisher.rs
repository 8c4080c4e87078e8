//! The gateways under one term, and who is yet to be notified of which version.

use protocol::{frame, Member, Message, UpdateVersion};
use std::collections::BTreeSet;

/// The gateways that own functions' seats, with a version that rises with each change. Only the scaler publishes it.
///
/// A gateway that has the version before a change, and understands changes, is told the change; any other is told the whole. Messages on a link keep their
/// order, and a gateway whose link ended comes anew, so that who was told a version has it before the next change arrives.
#[derive(Default)]
pub(crate) struct MembershipPublisher {
    term: u64,
    version: u64,
    members: Vec<Member>,
    /// Names of the gateways that do not know the version before the newest.
    uninformed: BTreeSet<String>,
    /// The newest change, until it is taken, with the names of those that know the version before.
    change: Option<(MembershipChange, BTreeSet<String>)>,
    /// When a gateway linked last.
    linked_at: u64,
}

/// How a membership differs from the one before.
#[derive(Debug, Default)]
struct MembershipChange {
    joined: Vec<Member>,
    left: Vec<String>,
}

impl MembershipChange {
    fn between(before: &[Member], after: &[Member]) -> Self {
        let joined = after.iter().filter(|member| !before.contains(member));
        let is_left = |name: &str| !after.iter().any(|member| member.name == name);
        let left = before.iter().filter(|member| is_left(&member.name));
        Self {
            joined: joined.cloned().collect(),
            left: left.map(|member| member.name.clone()).collect(),
        }
    }
}

/// A message about the membership, and to whom it goes.
pub(crate) struct MembershipUpdate {
    /// The framed message.
    pub frame: Vec<u8>,
    /// Names of the gateways that it goes to.
    pub receivers: BTreeSet<String>,
}

impl MembershipPublisher {
    /// Begins anew under a term, with no membership.
    pub fn begin_term(&mut self, term: u64) {
        self.term = term;
        self.version = 0;
        self.members.clear();
        self.change = None;
    }

    /// A gateway came that does not know the membership.
    pub fn add_receiver(&mut self, now: u64, name: &str) {
        self.linked_at = now;
        self.uninformed.insert(name.into());
    }

    /// Whether no gateway has linked for so many milliseconds.
    pub fn is_settled(&self, now: u64, quiet_ms: u64) -> bool {
        now >= self.linked_at + quiet_ms
    }

    /// The members, in the order of their names.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Takes the gateways that have a link now. While it is early, the first membership is not made: gateways that have not
    /// found this controller yet are waited for.
    pub fn update<'a>(&mut self, linked: impl Iterator<Item = &'a Member> + Clone, is_early: bool) {
        let has_changed = !linked.clone().eq(&self.members);
        if !has_changed || (is_early && self.version == 0) {
            return;
        }
        let members: Vec<Member> = linked.cloned().collect();
        let names: BTreeSet<String> = members.iter().map(|member| member.name.clone()).collect();
        if self.version == 0 {
            self.uninformed = names;
        } else {
            self.uninformed.retain(|name| names.contains(name));
            let informed = names.difference(&self.uninformed).cloned().collect();
            let change = MembershipChange::between(&self.members, &members);
            self.change = Some((change, informed));
        }
        self.members = members;
        self.version += 1;
    }

    /// What is to be sent now; nothing where every gateway knows the newest membership. Some gateways understand changes.
    pub fn take_updates(
        &mut self,
        understands_changes: impl Fn(&str) -> bool,
    ) -> Vec<MembershipUpdate> {
        let change = self.change.take().map(|(change, informed)| {
            let (receivers, others) = informed
                .into_iter()
                .partition(|name| understands_changes(name));
            let others: BTreeSet<String> = others;
            self.uninformed.extend(others);
            MembershipUpdate {
                frame: self.frame_of_change(change),
                receivers,
            }
        });
        let whole = self.whole_membership();
        let updates = change.into_iter().chain(whole);
        updates
            .filter(|update| !update.receivers.is_empty())
            .collect()
    }

    fn whole_membership(&mut self) -> Option<MembershipUpdate> {
        if self.version == 0 || self.uninformed.is_empty() {
            return None;
        }
        let message = Message::GatewayMembership {
            version: self.version_of(self.version),
            members: self.members.clone(),
        };
        Some(MembershipUpdate {
            frame: frame(&message),
            receivers: std::mem::take(&mut self.uninformed),
        })
    }

    fn frame_of_change(&self, change: MembershipChange) -> Vec<u8> {
        frame(&Message::GatewayMembershipChange {
            base: self.version_of(self.version - 1),
            version: self.version_of(self.version),
            joined: change.joined,
            left: change.left,
        })
    }

    fn version_of(&self, number: u64) -> UpdateVersion {
        let term = self.term;
        UpdateVersion { term, number }
    }
}
