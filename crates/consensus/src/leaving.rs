//! How a controller whose place another took leaves the set and becomes a newcomer, within its incarnation.

use crate::consensus::{Consensus, REQUIRED_KEYS};
use crate::disk::DiskWork;
use crate::message::ConsensusMessage;
use rand::Rng;
use register::{SetVersion, VoterSet};
use std::collections::BTreeSet;

/// Time between questions whether the members have installed the set.
const ASK_AGAIN_MS: u64 = 250;
/// Spans of patience for which a member that is heard may take to install the set.
const INSTALL_SPANS: u64 = 4;

/// Where a controller stands with the set of voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipState {
    /// No set is known yet.
    Bootstrapping,
    /// The voter is empty and has no place in the newest set.
    Joining,
    /// The newest set names the voter's disk, and the voter is still empty.
    Installing,
    /// The voter counts.
    Voting,
    /// The newest set names the voter's disk no more. It keeps its copy until the set is installed.
    Leaving,
    /// The disk is being emptied.
    Resetting,
}

/// How far a controller is with leaving.
#[derive(Clone, Debug)]
pub(crate) struct Departure {
    since: u64,
    ask_at: u64,
    /// Disks of members that said that they have durably installed the newest set.
    installed: BTreeSet<u64>,
    is_beginning_anew: bool,
}

impl Consensus {
    /// Where this controller stands with the set of voters.
    pub fn membership_state(&self) -> MembershipState {
        match (self.own_set.epoch > 0, self.is_named()) {
            _ if self.is_beginning_anew() => MembershipState::Resetting,
            _ if self.set.epoch == 0 => MembershipState::Bootstrapping,
            (true, true) => MembershipState::Voting,
            (true, false) => MembershipState::Leaving,
            (false, true) => MembershipState::Installing,
            (false, false) => MembershipState::Joining,
        }
    }

    pub(crate) fn is_beginning_anew(&self) -> bool {
        let departure = self.departure.as_ref();
        departure.is_some_and(|departure| departure.is_beginning_anew)
    }

    /// Keeps this controller's copy until the newest set can do without it, and gives it up then.
    pub(crate) fn tend_leaving(&mut self, now: u64) {
        let departure = self.departure.get_or_insert_with(|| Departure {
            since: now,
            ask_at: now,
            installed: BTreeSet::new(),
            is_beginning_anew: false,
        });
        let wants_answers = now >= departure.ask_at;
        if wants_answers {
            departure.ask_at = now + ASK_AGAIN_MS;
        }
        if self.may_leave(now) {
            return self.begin_anew();
        }
        if wants_answers {
            self.ask_whether_installed();
        }
    }

    fn ask_whether_installed(&mut self) {
        let set_version = self.set.version();
        for voter in self.set.voters.clone() {
            let to = self.locate(&voter);
            if to != self.options.address {
                self.send(&to, ConsensusMessage::ConfirmInstalled { set_version });
            }
        }
    }

    /// A member said that it durably is in the set of a version.
    pub(crate) fn on_installed(&mut self, disk: u64, set_version: SetVersion) {
        let is_current = set_version == self.set.version();
        if let Some(departure) = self.departure.as_mut().filter(|_| is_current) {
            departure.installed.insert(disk);
        }
    }

    /// A majority must have installed the set, so that whatever was acknowledged is held by a member of
    /// it. The others are left time beyond that, since a newcomer may need this copy to install.
    fn may_leave(&self, now: u64) -> bool {
        let Some(departure) = self.departure.as_ref() else {
            return false;
        };
        let members = self.set.voters.iter();
        let missing = members.filter(|voter| !departure.installed.contains(&voter.disk));
        let missing: Vec<u64> = missing.map(|voter| voter.disk).collect();
        let installed = self.set.voters.len() - missing.len();
        let is_heard = self
            .fresh(now)
            .any(|(_, heartbeat)| missing.contains(&heartbeat.disk));
        let spans = if is_heard { INSTALL_SPANS } else { 1 };
        let is_long_ago = now >= departure.since + spans * self.options.replacement_timeout_ms;
        installed >= self.set.majority() && (missing.is_empty() || is_long_ago)
    }

    fn begin_anew(&mut self) {
        log::warn!(
            "consensus: another controller took this one's place; it begins anew as a newcomer"
        );
        if let Some(departure) = self.departure.as_mut() {
            departure.is_beginning_anew = true;
        }
        let identity = self.random.random();
        self.work_on_set(DiskWork::Reset(identity));
    }

    /// The disk was emptied: this controller is another one from now on, which has voted for nothing. What it
    /// knows of others, and which values are settled, stays true.
    pub(crate) fn on_begun_anew(&mut self, now: u64, identity: Option<u64>) {
        self.set_works = self.set_works.saturating_sub(1);
        self.departure = None;
        let Some(identity) = identity else {
            return;
        };
        self.drop_claim(now);
        self.options.disk_id = identity;
        self.options.is_first_start = false;
        self.incarnation = self.random.random::<u64>() | 1;
        self.own_set = VoterSet::default();
        self.is_open = true;
        self.held.clear();
        self.unread = REQUIRED_KEYS.into_iter().collect();
        self.read_begun.clear();
        self.settle_at = now;
        self.joining = voter::MembershipChange::default();
        self.place_at = now;
        self.pulled.clear();
        self.wants_heartbeat = true;
        log::info!("consensus: the disk is empty; this controller asks for a place as a newcomer");
    }
}
