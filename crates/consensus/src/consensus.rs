use crate::action::{ConsensusAction, ConsensusOptions};
use crate::catching_up::{Want, VALUE_PATIENCE_MS};
use crate::contact::ContactLease;
use crate::disk::{DiskCompletion, DiskWork, RegisterSnapshot, VoterSnapshot};
use crate::duty::Duty;
use crate::installing::Pulled;
use crate::job::{Job, Purpose, Value};
use crate::leaving::Departure;
use crate::message::ConsensusMessage;
use crate::peer::Peer;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use register::{Change, ChangeOutcome, VoterSet, VOTERS_KEY};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use voter::MembershipChange;

/// Key of the description's register.
pub const CONFIGURATION_KEY: &str = "description";
/// Key of the closed districts' register.
pub const EVACUATIONS_KEY: &str = "closures";
/// Key of the duty's register.
pub const SCALER_ROLE_KEY: &str = "duty";
/// Keys that are read at a majority before a controller is settled.
pub const REQUIRED_KEYS: [&str; 2] = [CONFIGURATION_KEY, EVACUATIONS_KEY];
/// Keys whose settled values all controllers keep up.
pub(crate) const REPLICATED_KEYS: [&str; 4] = [
    CONFIGURATION_KEY,
    EVACUATIONS_KEY,
    SCALER_ROLE_KEY,
    VOTERS_KEY,
];
const CHANGES_MAX: usize = 64;
const VALUE_MAX: usize = 4 << 20;

/// A controller's part in all that controllers decide among themselves.
#[derive(Clone, Debug)]
pub struct Consensus {
    pub(crate) options: ConsensusOptions,
    pub(crate) random: StdRng,
    pub(crate) incarnation: u64,
    pub(crate) actions: Vec<ConsensusAction>,
    /// The newest set that is known to be settled.
    pub(crate) set: VoterSet,
    /// The set that this controller's own voter is in.
    pub(crate) own_set: VoterSet,
    pub(crate) is_open: bool,
    pub(crate) held: BTreeMap<String, RegisterSnapshot>,
    pub(crate) settled: BTreeMap<String, Value>,
    pub(crate) unread: BTreeSet<&'static str>,
    pub(crate) settle_at: u64,
    /// When the last reads at a majority began, of the keys that were read so.
    pub(crate) read_begun: BTreeMap<&'static str, u64>,
    /// Since when contact with a majority has lasted, and keys that were not read since.
    pub(crate) contact_since: u64,
    pub(crate) unconfirmed: BTreeSet<&'static str>,
    /// Until then a value that is on its way is waited for before its register is read.
    pub(crate) value_patience_until: u64,
    pub(crate) wants: BTreeMap<String, Want>,
    pub(crate) mend_at: u64,
    pub(crate) peers: BTreeMap<String, Peer>,
    pub(crate) heartbeat_number: u64,
    pub(crate) contact: ContactLease,
    /// Whether contact lasted when it was last looked at.
    pub(crate) has_contact: bool,
    pub(crate) next_heartbeat_at: u64,
    pub(crate) heartbeat_sent_at: Option<u64>,
    pub(crate) wants_heartbeat: bool,
    pub(crate) jobs: BTreeMap<u64, Job>,
    pub(crate) number: u64,
    pub(crate) counter: u64,
    pub(crate) duty: Duty,
    /// Rounds over the duty, and changes of the set, that the disk has not ended yet.
    pub(crate) duty_rounds: usize,
    pub(crate) set_works: usize,
    pub(crate) joining: MembershipChange,
    pub(crate) place_at: u64,
    /// The set before the newest, where it is known.
    pub(crate) previous: Option<VoterSet>,
    pub(crate) pulled: BTreeMap<u64, Pulled>,
    pub(crate) pull_at: u64,
    pub(crate) departure: Option<Departure>,
    /// Since when a member that is heard has not installed the newest set.
    pub(crate) pending_since: Option<u64>,
}

impl Consensus {
    /// Begins a incarnation, from what the disk holds.
    pub fn new(options: ConsensusOptions, now: u64, held: VoterSnapshot) -> Self {
        let mut random = StdRng::seed_from_u64(options.seed);
        let values = held.values.into_iter();
        let values: BTreeMap<String, RegisterSnapshot> =
            values.map(|value| (value.key.clone(), value)).collect();
        let counter = values.values().map(|value| value.promised.counter).max();
        let duty = Duty::restored(now, held.set.epoch, values.get(SCALER_ROLE_KEY));
        let mut consensus = Self {
            incarnation: random.random::<u64>() | 1,
            actions: Vec::new(),
            set: held.set.clone(),
            own_set: held.set,
            is_open: held.is_open,
            held: values,
            settled: BTreeMap::new(),
            unread: REQUIRED_KEYS.into_iter().collect(),
            settle_at: now,
            read_begun: BTreeMap::new(),
            contact_since: now,
            unconfirmed: BTreeSet::new(),
            value_patience_until: now + VALUE_PATIENCE_MS,
            wants: BTreeMap::new(),
            mend_at: now + 1_000,
            peers: BTreeMap::new(),
            heartbeat_number: 0,
            contact: ContactLease::new(options.lease_ms),
            has_contact: false,
            next_heartbeat_at: now,
            heartbeat_sent_at: None,
            wants_heartbeat: true,
            jobs: BTreeMap::new(),
            number: random.random::<u64>() >> 16,
            counter: counter.unwrap_or(0),
            duty,
            duty_rounds: 0,
            set_works: 0,
            joining: MembershipChange::default(),
            place_at: now,
            previous: None,
            pulled: BTreeMap::new(),
            pull_at: now,
            departure: None,
            pending_since: None,
            random,
            options,
        };
        let seeds = consensus.options.seeds.clone();
        for seed in seeds {
            consensus.admit(&seed);
        }
        consensus
    }

    /// Takes a message from the controller that is reached at an address.
    pub fn on_message(&mut self, now: u64, from: &str, message: ConsensusMessage) {
        self.expire(now);
        if from == self.options.address || !self.admit(from) {
            return;
        }
        match message {
            ConsensusMessage::Link { .. } => {}
            ConsensusMessage::Heartbeat(heartbeat) => self.on_heartbeat(now, from, heartbeat),
            ConsensusMessage::RoleLeaseAck(ack) => self.on_ack(now, ack),
            ConsensusMessage::VoterRequest {
                number,
                known,
                message,
            } => self.take_ask(now, from, number, known, message),
            ConsensusMessage::VoterResponse {
                disk,
                number,
                is_known,
                reply,
            } => self.on_answer(now, from, disk, number, is_known, reply),
            ConsensusMessage::RequestVoterSet if self.set.epoch > 0 => {
                self.send(from, ConsensusMessage::VoterSet(self.set_news()));
            }
            ConsensusMessage::RequestVoterSet => {}
            ConsensusMessage::VoterSet(news) => self.on_set_news(now, news),
            ConsensusMessage::FormVoterSet(set) => self.on_form(&set),
            ConsensusMessage::ConfirmInstalled { set_version } => {
                let to = from.to_string();
                let work = DiskWork::ConfirmInstalled { to, set_version };
                self.actions.push(ConsensusAction::Disk(work));
            }
            ConsensusMessage::Installed { disk, set_version } => {
                self.on_installed(disk, set_version)
            }
            ConsensusMessage::RequestReplica { set_version, after } => {
                let to = from.to_string();
                let work = DiskWork::ReadReplica {
                    to,
                    set_version,
                    after,
                };
                self.actions.push(ConsensusAction::Disk(work));
            }
            ConsensusMessage::Replica(page) => self.on_copy(now, page),
            ConsensusMessage::RequestValue { key, version } => {
                self.on_want_value(from, key, version);
            }
            ConsensusMessage::Value {
                key,
                ballot,
                value: stored,
            } => self.on_value(now, &key, ballot, stored),
        }
        self.tend(now);
    }

    /// Takes what the disk's thread has done.
    pub fn on_disk(&mut self, now: u64, done: DiskCompletion) {
        self.expire(now);
        match done {
            DiskCompletion::VoterState(summary) => self.on_held(now, summary),
            DiskCompletion::SetWorkEnded => self.set_works = self.set_works.saturating_sub(1),
            DiskCompletion::InstallationConfirmed { to, set_version } => {
                let disk = self.options.disk_id;
                self.send(&to, ConsensusMessage::Installed { disk, set_version });
            }
            DiskCompletion::ResetEnded(identity) => self.on_begun_anew(now, identity),
            DiskCompletion::ReplicaPage { to, mut page } => {
                page.disk = self.options.disk_id;
                self.send(&to, ConsensusMessage::Replica(page));
            }
            DiskCompletion::VoterResponse {
                to,
                number,
                is_known,
                is_role_round,
                reply,
            } => {
                let is_over = usize::from(is_role_round);
                self.duty_rounds = self.duty_rounds.saturating_sub(is_over);
                if to == self.options.address {
                    self.on_answer(now, &to, self.options.disk_id, number, is_known, reply);
                } else {
                    self.answer(&to, number, is_known, reply);
                }
            }
        }
        self.tend(now);
    }

    fn on_held(&mut self, now: u64, summary: VoterSnapshot) {
        if summary.is_open && !self.is_open {
            // A claim that this voter backed before its disk failed may still be held.
            let lease_end = now + self.options.lease_ms;
            self.duty.closed_until = self.duty.closed_until.max(lease_end);
        }
        self.is_open = summary.is_open;
        for mut value in summary.values {
            if value.bytes.is_none() {
                let old = self.held.get(&value.key);
                value.bytes = old.and_then(|old| old.bytes.clone());
            }
            self.held.insert(value.key.clone(), value);
        }
        // What a failed disk has taken in memory alone is not a set that this controller's voter is in.
        if self.is_open && summary.set.version() != self.own_set.version() {
            log::info!("consensus: votes in set {}", summary.set.version());
            self.own_set = summary.set;
            self.wants_heartbeat = true;
            let set = self.own_set.clone();
            self.learn_set(now, &set);
        }
        self.tend_wants(now);
    }

    /// Lets time pass. It is called every 50 ms or so, and at [`Consensus::next_deadline`].
    pub fn tick(&mut self, now: u64) {
        self.expire(now);
        self.tend_settling(now);
        self.tend_membership(now);
        self.tend_wants(now);
        self.tend_mending(now);
        self.tend_peers(now);
        self.tend(now);
    }

    fn tend(&mut self, now: u64) {
        self.tend_contact(now);
        self.tend_jobs(now);
        self.tend_duty(now);
        self.send_due_heartbeats(now);
    }

    /// When a change that has paused goes on, where that is soon.
    pub fn next_deadline(&self) -> Option<u64> {
        let paused = self.jobs.values().filter_map(|job| job.paused);
        let paused = paused.map(|(at, _)| at);
        paused.chain(self.duty.contend_at).min()
    }

    fn tend_settling(&mut self, now: u64) {
        if self.set.epoch == 0 || now < self.settle_at {
            return;
        }
        let missing: Vec<&'static str> = self.unread.union(&self.unconfirmed).copied().collect();
        for key in missing {
            let purpose = Purpose::Settle(key);
            if self.awaits_value(now, key) {
                continue;
            }
            if !self.jobs.values().any(|job| job.purpose == purpose) {
                self.propose(now, purpose, key, Change::Read);
            }
        }
    }

    /// Reads a register at a majority.
    pub fn read(&mut self, now: u64, token: u64, key: &str) {
        self.change(now, token, key, Change::Read);
    }

    /// Writes a register at a majority where its version is the expected one.
    pub fn write(&mut self, now: u64, token: u64, key: &str, expected: u64, bytes: Vec<u8>) {
        if bytes.len() > VALUE_MAX {
            return self.refuse(token, "the value is too large");
        }
        let known = self.settled.get(key);
        if let Some(newer) = known.filter(|known| known.version > expected) {
            let outcome = ChangeOutcome::Conflict(newer.stored());
            return self
                .actions
                .push(ConsensusAction::RequestCompleted { token, outcome });
        }
        self.change(now, token, key, Change::Write { expected, bytes });
    }

    fn change(&mut self, now: u64, token: u64, key: &str, change: Change) {
        let is_client = |job: &&Job| matches!(job.purpose, Purpose::Client(_));
        if self.jobs.values().filter(is_client).count() >= CHANGES_MAX {
            return self.refuse(token, "too many changes at once");
        }
        self.propose(now, Purpose::Client(token), key, change);
    }

    fn refuse(&mut self, token: u64, reason: &str) {
        let outcome = ChangeOutcome::NoQuorum(reason.into());
        self.actions
            .push(ConsensusAction::RequestCompleted { token, outcome });
    }

    /// Takes out what the daemon has to do, in its order.
    pub fn take_actions(&mut self) -> Vec<ConsensusAction> {
        std::mem::take(&mut self.actions)
    }

    /// The newest value of a key that is known to be settled, with its version.
    pub fn committed(&self, key: &str) -> Option<(u64, &Arc<Vec<u8>>)> {
        let value = self.settled.get(key)?;
        Some((value.version, &value.bytes))
    }

    /// The term under which this controller holds the scaling duty at this moment.
    pub fn role_term(&self, now: u64) -> Option<u64> {
        let claim = self.duty.claim.as_ref();
        claim
            .filter(|claim| now < claim.held_until)
            .map(|claim| claim.term)
    }

    /// Addresses of this controller and all others that are known.
    pub fn known_controllers(&self) -> Vec<String> {
        let voters = self.set.voters.iter().map(|voter| voter.address.clone());
        let heard = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.heard_at.is_some());
        let heard = heard.map(|(address, _)| address.clone());
        let own = std::iter::once(self.options.address.clone());
        let all: BTreeSet<String> = voters.chain(heard).chain(own).collect();
        all.into_iter().collect()
    }

    /// Whether all keys were read at a majority in this incarnation.
    pub fn has_read_required_keys(&self) -> bool {
        self.unread.is_empty()
    }

    /// The newest set of voters that is known.
    pub fn voter_set(&self) -> &VoterSet {
        &self.set
    }

    /// What this controller is about, in a few words.
    pub fn status(&self) -> String {
        let set_version = self.set.version();
        match self.unread.first() {
            _ if !self.is_open => "the disk is not to be trusted".into(),
            _ if self.set.epoch == 0 => "no voters are known yet".into(),
            _ if self.own_set.epoch == 0 => format!("waits for a place in set {set_version}"),
            _ if self.is_beginning_anew() => "empties its disk".into(),
            _ if !self.is_named() => format!("left out of set {set_version}"),
            Some(key) => format!("{key} was not read at a majority yet"),
            None => format!("votes in set {set_version}"),
        }
    }

    pub(crate) fn send(&mut self, to: &str, message: ConsensusMessage) {
        let to = to.to_string();
        self.actions.push(ConsensusAction::Send { to, message });
    }

    /// Whether the newest set names this controller's disk.
    pub(crate) fn is_named(&self) -> bool {
        let mut voters = self.set.voters.iter();
        voters.any(|voter| voter.disk == self.options.disk_id)
    }

    /// Whether this controller's voter counts.
    pub(crate) fn is_voting(&self) -> bool {
        self.is_open && self.own_set.epoch > 0 && self.is_named()
    }
}
