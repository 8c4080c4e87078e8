//! Voter set membership: learning sets, forming the first one, and proposing changes.

use super::Consensus;
use crate::disk_work::DiskWork;
use crate::message::{ConsensusMessage, Heartbeat, VoterSetUpdate};
use crate::pending_change::ChangePurpose;
use crate::voter_sets::MembershipState;
use register::{Change, VoterRef, VoterSet, VOTERS_KEY};
use speedy::Writable;
use std::collections::BTreeSet;
use voter::{MembershipChange, MembershipStep, MembershipView};

/// Maximum number of members whose reachability is reported in a heartbeat, one bit each.
const MAX_REACHABLE_BITS: usize = 64;
/// Number of spare controllers required before an odd set grows to an even size. An even set tolerates no more losses
/// than the odd set below it.
const MIN_SPARES_FOR_EVEN_SET: u8 = 2;

impl Consensus {
    /// Records a committed set and adopts it. Older sets are ignored.
    pub(super) fn learn_set(&mut self, now: u64, set: &VoterSet) {
        if !self.sets.learn(set) {
            return;
        }
        log::info!(
            "consensus: voter set changed set={} voters={}",
            set.version(),
            set.voters.len()
        );
        self.copies.restart(now);
        if !self.is_resetting() {
            self.departure = None;
        }
        self.heartbeats.request();
        for voter in &set.voters {
            self.admit(&voter.address);
        }
        self.adopt_newest_set();
        self.move_changes_to_newest_set(now);
    }

    /// Moves the local voter to the newest set if it is in an older one of the same epoch.
    fn adopt_newest_set(&mut self) {
        if self.sets.needs_adoption() {
            let set = self.sets.newest().clone();
            self.change_local_set(DiskWork::AdoptSet(set));
        }
    }

    /// Submits disk work that changes the set of the local voter.
    pub(super) fn change_local_set(&mut self, work: DiskWork) {
        self.sets.start_disk_work();
        self.submit_disk_work(work);
    }

    pub(super) fn on_voter_set_request(&mut self, from: &str) {
        if self.sets.has_set() {
            self.send_voter_set(from);
        }
    }

    pub(super) fn on_voter_set(&mut self, now: u64, update: VoterSetUpdate) {
        self.learn_set(now, &update.set);
        self.sets.learn_previous(update);
    }

    /// Handles the first set. It is taken only if it contains this disk and the local voter is empty.
    pub(super) fn on_form_voter_set(&mut self, set: &VoterSet) {
        let own_disk = self.sets.own_disk();
        let is_named = set.voters.iter().any(|voter| voter.disk == own_disk);
        let is_empty = self.sets.is_voter_empty() && !self.sets.has_disk_work();
        let is_current = set.version() >= self.sets.version();
        if is_named && is_empty && is_current && set.number == 1 {
            self.change_local_set(DiskWork::FormSet(set.clone()));
        }
    }

    pub(super) fn send_voter_set(&mut self, to: &str) {
        let update = self.sets.update();
        self.send(to, ConsensusMessage::VoterSet(update));
    }

    /// Sends the newest set to all other members.
    pub(super) fn broadcast_voter_set(&mut self) {
        for voter in self.sets.newest().voters.clone() {
            let to = self.locate(&voter);
            if to != self.options.address {
                self.send_voter_set(&to);
            }
        }
    }

    /// Performs the next step of joining, installing, voting or leaving.
    pub(super) fn poll_membership(&mut self, now: u64) {
        if !self.sets.is_disk_trusted() || self.sets.has_disk_work() {
            return;
        }
        self.adopt_newest_set();
        match self.membership_state() {
            MembershipState::Bootstrapping | MembershipState::Joining
                if self.is_shutting_down() => {}
            MembershipState::Bootstrapping => self.form_first_set(),
            MembershipState::Joining => self.propose_joining_set(now),
            MembershipState::Installing => self.poll_installation(now),
            MembershipState::Voting => self.propose_own_address(now),
            MembershipState::Resetting => {}
            MembershipState::Leaving => self.poll_departure(now),
        }
    }

    /// Forms the first set if this controller is the first seed and all other seeds report that they are empty.
    fn form_first_set(&mut self) {
        let mut seeds: Vec<&String> = Vec::new();
        for seed in &self.options.seeds {
            if !seeds.contains(&seed) {
                seeds.push(seed);
            }
        }
        let is_first = seeds.first() == Some(&&self.options.address);
        if !self.options.is_first_start || !is_first {
            return;
        }
        let voters: Option<Vec<VoterRef>> =
            seeds.iter().map(|seed| self.initial_voter(seed)).collect();
        let Some(voters) = voters else {
            return;
        };
        log::info!(
            "consensus: forming the first voter set voters={}",
            voters.len()
        );
        self.change_local_set(DiskWork::FormSet(VoterSet {
            epoch: 1,
            number: 1,
            voters,
        }));
    }

    /// A seed as a voter of the first set, if it is empty and starting for the first time.
    fn initial_voter(&self, seed: &str) -> Option<VoterRef> {
        if seed == self.options.address {
            return Some(self.own_ref());
        }
        let heartbeat = self.peers.last_heartbeat(seed)?;
        let is_empty = heartbeat.own_set.epoch == 0 && heartbeat.known_set.epoch == 0;
        let is_eligible = is_empty && heartbeat.is_first_start;
        is_eligible.then(|| VoterRef {
            disk: heartbeat.disk,
            address: seed.to_string(),
        })
    }

    fn own_ref(&self) -> VoterRef {
        VoterRef {
            disk: self.sets.own_disk(),
            address: self.options.address.clone(),
        }
    }

    /// Proposes a voter set that includes this controller.
    fn propose_joining_set(&mut self, now: u64) {
        let voting = self.live_voting_members(now);
        if voting.len() < self.sets.newest().majority() {
            // Only a controller that hears from a majority can tell that a member is down rather than that it is
            // partitioned itself.
            self.membership_change = MembershipChange::default();
            return;
        }
        if !self.may_propose_set(now) {
            return;
        }
        let Some(next) = self.next_set_with_self(now, &voting) else {
            return;
        };
        log::info!("consensus: proposing membership set={}", next.version());
        self.propose_set(now, &next);
    }

    /// Latest heartbeats of live members that have installed the newest set.
    fn live_voting_members(&self, now: u64) -> Vec<Heartbeat> {
        let version = self.sets.version();
        let live = self.peers.live(now).map(|(_, heartbeat)| heartbeat);
        let voting = live.filter(|heartbeat| {
            self.sets.is_member_disk(heartbeat.disk) && heartbeat.own_set == version
        });
        voting.cloned().collect()
    }

    /// The next set that includes this controller: it replaces a member that shuts down or is silent, or is added to the
    /// set.
    fn next_set_with_self(&mut self, now: u64, voting: &[Heartbeat]) -> Option<VoterSet> {
        let me = self.own_ref();
        if let Some(next) = self.set_after_shutdown(now, &me) {
            return Some(next);
        }
        let reachable = self.reachable_disks(now, voting);
        let set = self.sets.newest();
        let view = MembershipView {
            now,
            replacement_timeout_ms: self.options.replacement_timeout_ms,
            local_voter: &me,
            set,
            answering: &reachable,
            committed_version: set.number - 1,
            committed_set: set,
        };
        match self.membership_change.decide(&view) {
            MembershipStep::Propose { next, .. } => Some(next),
            _ if self.may_grow(voting) => set.with_member(me),
            _ => None,
        }
    }

    /// Disks that this controller hears from, and members that any voting member hears from.
    fn reachable_disks(&self, now: u64, voting: &[Heartbeat]) -> Vec<u64> {
        let live = self.peers.live(now);
        let mut reachable: BTreeSet<u64> = live.map(|(_, heartbeat)| heartbeat.disk).collect();
        let members = self.sets.newest().voters.iter().enumerate();
        for (index, voter) in members.take(MAX_REACHABLE_BITS) {
            let is_heard = voting
                .iter()
                .any(|heartbeat| heartbeat.reachable_members >> index & 1 == 1);
            if is_heard && voter.address != self.options.address {
                reachable.insert(voter.disk);
            }
        }
        reachable.into_iter().collect()
    }

    /// Whether the set may grow. All members must be live and voting.
    fn may_grow(&self, voting: &[Heartbeat]) -> bool {
        let count = self.sets.newest().voters.len();
        let spares = voting.iter().map(|heartbeat| heartbeat.spare_controllers);
        let has_spares = spares.max().unwrap_or(0) >= MIN_SPARES_FOR_EVEN_SET;
        let is_useful_size = count.is_multiple_of(2) || count == 1 || has_spares;
        count < self.options.target_voter_count && voting.len() == count && is_useful_size
    }

    /// Proposes a set as successor of the newest one. It commits at a majority of voters that have durably installed
    /// the newest set, and only if that has no other successor yet.
    fn propose_set(&mut self, now: u64, next: &VoterSet) {
        let bytes = next.write_to_vec().unwrap_or_default();
        let expected = self.sets.newest().number - 1;
        let change = Change::Write { expected, bytes };
        self.propose(now, ChangePurpose::VoterSet, VOTERS_KEY, change);
    }

    /// Whether a set change may be proposed now. Live members are given time to install the newest set first, so that
    /// at most one replica is missing at a time.
    fn may_propose_set(&mut self, now: u64) -> bool {
        let version = self.sets.version();
        let mut live = self.peers.live(now).map(|(_, heartbeat)| heartbeat);
        let has_uninstalled = live.any(|heartbeat| {
            self.sets.is_member_disk(heartbeat.disk)
                && heartbeat.own_set != version
                && !self.is_ending_member(now, heartbeat.disk)
        });
        let timeout_ms = self.options.replacement_timeout_ms;
        let must_wait = self
            .sets
            .awaits_installation(now, has_uninstalled, timeout_ms);
        let is_proposing = self.changes.has(ChangePurpose::VoterSet);
        !must_wait && now >= self.next_set_proposal_at && !is_proposing
    }

    /// Proposes a set with this member's new address after its disk was moved to another host.
    fn propose_own_address(&mut self, now: u64) {
        let (set, own_disk) = (self.sets.newest(), self.sets.own_disk());
        let Some(next) = set.with_address(own_disk, &self.options.address) else {
            return;
        };
        if self.may_propose_set(now) {
            log::info!(
                "consensus: proposing a new address address={} set={}",
                self.options.address,
                next.version()
            );
            self.propose_set(now, &next);
        }
    }
}
