use crate::action::ConsensusAction;
use crate::consensus::Consensus;
use crate::disk::DiskWork;
use crate::job::{Job, Purpose};
use crate::leaving::MembershipState;
use crate::message::{ConsensusMessage, Heartbeat, VoterSetUpdate};
use register::{Change, VoterRef, VoterSet, VOTERS_KEY};
use speedy::Writable;
use std::collections::BTreeSet;
use voter::{MembershipChange, MembershipStep};

impl Consensus {
    /// Learns a set that is settled; an older one is ignored.
    pub(crate) fn learn_set(&mut self, now: u64, set: &VoterSet) {
        if set.version() <= self.set.version() || set.voters.is_empty() {
            return;
        }
        log::info!(
            "consensus: set {:?} has {} voters",
            set.version(),
            set.voters.len()
        );
        let follows = self.set.epoch == set.epoch && self.set.number + 1 == set.number;
        let old = std::mem::replace(&mut self.set, set.clone());
        self.previous = follows.then_some(old);
        self.pulled.clear();
        self.pull_at = now;
        self.pending_since = None;
        if !self.is_beginning_anew() {
            self.departure = None;
        }
        self.wants_heartbeat = true;
        for voter in &set.voters {
            self.admit(&voter.address);
        }
        self.tend_adopting();
        self.move_jobs(now);
    }

    /// Lets this controller's own voter follow into the newest set.
    fn tend_adopting(&mut self) {
        let (own, set) = (&self.own_set, &self.set);
        if !self.is_open || own.epoch == 0 || own.epoch != set.epoch || own.number >= set.number {
            return;
        }
        self.work_on_set(DiskWork::AdoptSet(self.set.clone()));
    }

    pub(crate) fn work_on_set(&mut self, work: DiskWork) {
        self.set_works += 1;
        self.actions.push(ConsensusAction::Disk(work));
    }

    /// Takes the first set, where it names this disk and the voter is empty.
    pub(crate) fn on_form(&mut self, set: &VoterSet) {
        let mut voters = set.voters.iter();
        let is_named = voters.any(|voter| voter.disk == self.options.disk_id);
        let is_empty = self.own_set.epoch == 0 && self.set_works == 0;
        let is_current = set.version() >= self.set.version();
        if is_named && is_empty && is_current && set.number == 1 {
            self.work_on_set(DiskWork::FormSet(set.clone()));
        }
    }

    /// Takes this controller's next step into the set of voters.
    pub(crate) fn tend_membership(&mut self, now: u64) {
        if !self.is_open || self.set_works > 0 {
            return;
        }
        self.tend_adopting();
        match self.membership_state() {
            MembershipState::Bootstrapping => self.found(),
            MembershipState::Joining => self.tend_place(now),
            MembershipState::Installing => self.tend_installing(now),
            MembershipState::Voting => self.tend_relocating(now),
            MembershipState::Resetting => {}
            MembershipState::Leaving => self.tend_leaving(now),
        }
    }

    /// The newest set, and the one before it where that is known.
    pub(crate) fn set_news(&self) -> VoterSetUpdate {
        VoterSetUpdate {
            set: self.set.clone(),
            previous: self.previous.clone(),
        }
    }

    pub(crate) fn on_set_news(&mut self, now: u64, news: VoterSetUpdate) {
        self.learn_set(now, &news.set);
        if news.set.version() != self.set.version() || self.previous.is_some() {
            return;
        }
        let set = &self.set;
        let follows = |old: &VoterSet| old.epoch == set.epoch && old.number + 1 == set.number;
        self.previous = news.previous.filter(follows);
    }

    /// Forms the first set, where this controller is the first seed and all seeds say that they are empty.
    fn found(&mut self) {
        let mut seeds: Vec<String> = Vec::new();
        for seed in &self.options.seeds {
            if !seeds.contains(seed) {
                seeds.push(seed.clone());
            }
        }
        if !self.options.is_first_start || seeds.first() != Some(&self.options.address) {
            return;
        }
        let voters: Option<Vec<VoterRef>> = seeds.iter().map(|seed| self.founder(seed)).collect();
        let Some(voters) = voters else {
            return;
        };
        log::info!("consensus: forms the first set of {} voters", voters.len());
        self.work_on_set(DiskWork::FormSet(VoterSet {
            epoch: 1,
            number: 1,
            voters,
        }));
    }

    fn founder(&self, seed: &str) -> Option<VoterRef> {
        let address = seed.to_string();
        if address == self.options.address {
            let disk = self.options.disk_id;
            return Some(VoterRef { disk, address });
        }
        let peer = self.peers.get(seed)?;
        let Heartbeat {
            disk,
            own_set,
            known_set,
            ..
        } = peer.heartbeat;
        let is_blank = own_set.epoch == 0 && known_set.epoch == 0;
        let is_founder = peer.heard_at.is_some() && is_blank && peer.heartbeat.is_first_start;
        is_founder.then_some(VoterRef { disk, address })
    }

    /// Asks for a place in the set.
    fn tend_place(&mut self, now: u64) {
        let set_version = self.set.version();
        let is_member = |disk: u64| self.set.voters.iter().any(|voter| voter.disk == disk);
        let fresh: Vec<Heartbeat> = self
            .fresh(now)
            .map(|(_, heartbeat)| heartbeat.clone())
            .collect();
        let voting = fresh
            .iter()
            .filter(|heartbeat| is_member(heartbeat.disk) && heartbeat.own_set == set_version);
        let voting: Vec<&Heartbeat> = voting.collect();
        if voting.len() < self.set.majority() {
            // Silence is only told apart from a cut of its own by a controller that hears a majority.
            self.joining = MembershipChange::default();
            return;
        }
        if !self.may_propose_set(now) {
            return;
        }
        let me = VoterRef {
            disk: self.options.disk_id,
            address: self.options.address.clone(),
        };
        let mut answering: BTreeSet<u64> = fresh.iter().map(|heartbeat| heartbeat.disk).collect();
        for (place, voter) in self.set.voters.iter().enumerate().take(64) {
            let is_heard = voting
                .iter()
                .any(|heartbeat| heartbeat.reachable_members >> place & 1 == 1);
            if is_heard && voter.address != me.address {
                answering.insert(voter.disk);
            }
        }
        let answering: Vec<u64> = answering.into_iter().collect();
        let expected = self.set.number - 1;
        let (set, patience) = (self.set.clone(), self.options.replacement_timeout_ms);
        let settled = (expected, &set);
        let step = self
            .joining
            .decide(now, patience, &me, &set, &answering, settled);
        let next = match step {
            MembershipStep::Propose(_, next) => Some(next),
            _ if self.may_grow(&voting) => set.with_member(me),
            _ => None,
        };
        let Some(next) = next else {
            return;
        };
        log::info!("consensus: asks for a place in set {}", next.version());
        self.propose_set(now, &next);
    }

    /// Asks the members to take the set that follows theirs. It settles at a majority of voters that
    /// are durably in the present one, and only where none other follows yet.
    fn propose_set(&mut self, now: u64, next: &VoterSet) {
        let bytes = next.write_to_vec().unwrap_or_default();
        let expected = self.set.number - 1;
        let change = Change::Write { expected, bytes };
        self.propose(now, Purpose::Place, VOTERS_KEY, change);
    }

    /// Whether this controller may ask for another set now.
    fn may_propose_set(&mut self, now: u64) -> bool {
        let is_asking = |job: &Job| job.purpose == Purpose::Place;
        !self.is_change_pending(now) && now >= self.place_at && !self.jobs.values().any(is_asking)
    }

    /// Tells the set where this member is reached, after its disk was moved to another address.
    fn tend_relocating(&mut self, now: u64) {
        let (disk, address) = (self.options.disk_id, self.options.address.clone());
        let Some(next) = self.set.with_address(disk, &address) else {
            return;
        };
        if self.may_propose_set(now) {
            log::info!(
                "consensus: is reached at {address} from set {:?} on",
                next.version()
            );
            self.propose_set(now, &next);
        }
    }

    /// Whether a member that is heard has not installed the newest set yet. The next change leaves it
    /// time, so that one copy is missing at most; a member that never gets there must not block repair.
    fn is_change_pending(&mut self, now: u64) -> bool {
        let set_version = self.set.version();
        let members: Vec<u64> = self.set.voters.iter().map(|voter| voter.disk).collect();
        let is_pending = |heartbeat: &Heartbeat| {
            members.contains(&heartbeat.disk) && heartbeat.own_set != set_version
        };
        if !self.fresh(now).any(|(_, heartbeat)| is_pending(heartbeat)) {
            self.pending_since = None;
            return false;
        }
        let since = *self.pending_since.get_or_insert(now);
        now < since + self.options.replacement_timeout_ms
    }

    /// An odd set grows only where another newcomer follows: an even one tolerates no more losses.
    fn may_grow(&self, voting: &[&Heartbeat]) -> bool {
        let count = self.set.voters.len();
        let spares = voting
            .iter()
            .map(|heartbeat| heartbeat.spare_controllers)
            .max()
            .unwrap_or(0);
        let is_worth_it = count.is_multiple_of(2) || count == 1 || spares >= 2;
        count < self.options.target_voter_count && voting.len() == count && is_worth_it
    }

    /// Tells all members of the newest set.
    pub(crate) fn spread_set(&mut self) {
        let voters = self.set.voters.clone();
        for voter in voters {
            let to = self.locate(&voter);
            if to != self.options.address {
                let message = ConsensusMessage::VoterSet(self.set_news());
                self.send(&to, message);
            }
        }
    }
}
