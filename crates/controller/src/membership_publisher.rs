//! The membership of gateways under one term, and who is yet to be notified of it.

use protocol::{frame, Member, Message, UpdateVersion};
use std::collections::BTreeSet;

/// The gateways that own functions' seats, with a version that rises with each change. Only the scaler publishes it.
#[derive(Default)]
pub(crate) struct MembershipPublisher {
    term: u64,
    version: u64,
    members: Vec<Member>,
    /// Names of the gateways that do not know the newest membership.
    unnotified: BTreeSet<String>,
    /// When a gateway linked last.
    linked_at: u64,
}

/// A membership to be sent.
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
    }

    /// A gateway came that does not know the membership.
    pub fn add_receiver(&mut self, now: u64, name: &str) {
        self.linked_at = now;
        self.unnotified.insert(name.into());
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
        self.members = linked.cloned().collect();
        self.version += 1;
        let names = self.members.iter().map(|member| member.name.clone());
        self.unnotified = names.collect();
    }

    /// What is to be sent now; none where every gateway knows the newest membership.
    pub fn take_update(&mut self) -> Option<MembershipUpdate> {
        if self.version == 0 || self.unnotified.is_empty() {
            return None;
        }
        let message = Message::GatewayMembership {
            version: UpdateVersion {
                term: self.term,
                number: self.version,
            },
            members: self.members.clone(),
        };
        Some(MembershipUpdate {
            frame: frame(&message),
            receivers: std::mem::take(&mut self.unnotified),
        })
    }
}
