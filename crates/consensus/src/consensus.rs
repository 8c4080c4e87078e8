//! Coordinator of the consensus state machine. It owns the components, passes messages, disk completions and ticks to
//! them, and turns their results into actions. Each submodule implements one concern of the protocol.

mod changes;
mod contact;
mod heartbeats;
mod installation;
mod leaving;
mod membership;
mod replication;
mod scaler_role;
mod settlement;
mod shutdown;

use crate::action::ConsensusAction;
use crate::contact_lease::ContactLease;
use crate::departure::Departure;
use crate::disk_work::{DiskCompletion, DiskWork};
use crate::heartbeat_schedule::HeartbeatSchedule;
use crate::keys::SCALER_ROLE_KEY;
use crate::message::ConsensusMessage;
use crate::options::ConsensusOptions;
use crate::peers::PeerTable;
use crate::pending_changes::PendingChanges;
use crate::replica_copies::ReplicaCopies;
use crate::replicated_values::ReplicatedValues;
use crate::required_reads::RequiredReads;
use crate::scaler_role::ScalerRole;
use crate::shutdown::Shutdown;
use crate::snapshot::VoterSnapshot;
use crate::unsettled_values::UnsettledValues;
use crate::voter_sets::{MembershipState, VoterSets};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use register::VoterSet;
use std::collections::BTreeSet;
use std::sync::Arc;
use voter::MembershipChange;

/// Delay after start before the local voter is first compared with the committed values, in milliseconds.
const FIRST_REPAIR_AFTER_MS: u64 = 1_000;

/// Consensus state machine of one controller.
///
/// It performs no I/O. [`Consensus::on_message`], [`Consensus::on_disk`] and [`Consensus::tick`] are its inputs, and
/// [`Consensus::take_actions`] returns the resulting actions. All times are milliseconds of one monotonic clock.
#[derive(Clone, Debug)]
pub struct Consensus {
    options: ConsensusOptions,
    random: StdRng,
    /// Random id of this run of the controller. Replaced when the disk is reset.
    incarnation: u64,
    actions: Vec<ConsensusAction>,
    sets: VoterSets,
    values: ReplicatedValues,
    unsettled: UnsettledValues,
    next_settlement_at: u64,
    reads: RequiredReads,
    peers: PeerTable,
    heartbeats: HeartbeatSchedule,
    contact: ContactLease,
    /// Whether this controller was in contact with a majority at the last check.
    has_contact: bool,
    changes: PendingChanges,
    role: ScalerRole,
    membership_change: MembershipChange,
    next_set_proposal_at: u64,
    copies: ReplicaCopies,
    departure: Option<Departure>,
    shutdown: Option<Shutdown>,
    next_repair_at: u64,
}

impl Consensus {
    /// Starts a new incarnation from the state stored by the local voter.
    pub fn new(options: ConsensusOptions, now: u64, voter: VoterSnapshot) -> Self {
        let mut random = StdRng::seed_from_u64(options.seed);
        let incarnation = new_incarnation(&mut random);
        let first_number = random.random::<u64>() >> 16;
        let epoch = voter.set.epoch;
        let values = ReplicatedValues::new(voter.values);
        let role_register = values.local(SCALER_ROLE_KEY);
        let ballot_counter = values.highest_promised_counter().unwrap_or(0);
        let mut consensus = Self {
            incarnation,
            actions: Vec::new(),
            sets: VoterSets::new(options.disk_id, voter.set, voter.is_open),
            unsettled: UnsettledValues::default(),
            next_settlement_at: now,
            reads: RequiredReads::new(now),
            peers: PeerTable::new(options.address.clone(), options.heartbeat_interval_ms),
            heartbeats: HeartbeatSchedule::new(now),
            contact: ContactLease::new(options.lease_ms),
            has_contact: false,
            changes: PendingChanges::new(first_number, ballot_counter),
            role: ScalerRole::restored(now, options.lease_ms, epoch, role_register),
            membership_change: MembershipChange::default(),
            next_set_proposal_at: now,
            copies: ReplicaCopies::new(now),
            departure: None,
            shutdown: None,
            next_repair_at: now + FIRST_REPAIR_AFTER_MS,
            values,
            random,
            options,
        };
        consensus.admit_seeds();
        consensus.update_unsettled(now);
        consensus
    }

    /// Handles a message from the controller at the given address.
    pub fn on_message(&mut self, now: u64, from: &str, message: ConsensusMessage) {
        self.expire_leases(now);
        if self.admit(from) {
            self.dispatch(now, from, message);
            self.advance(now);
        }
    }

    fn dispatch(&mut self, now: u64, from: &str, message: ConsensusMessage) {
        match message {
            ConsensusMessage::Link { .. } => {}
            ConsensusMessage::Heartbeat(heartbeat) => self.on_heartbeat(now, from, &heartbeat),
            ConsensusMessage::RoleLeaseAck(ack) => self.on_role_lease_ack(now, &ack),
            ConsensusMessage::VoterRequest {
                number,
                known,
                request,
            } => self.on_voter_request(now, from, number, known, request),
            ConsensusMessage::VoterResponse {
                disk,
                number,
                is_value_omitted,
                response,
            } => self.on_voter_response(now, from, disk, number, is_value_omitted, response),
            ConsensusMessage::RequestVoterSet => self.on_voter_set_request(from),
            ConsensusMessage::VoterSet(update) => self.on_voter_set(now, update),
            ConsensusMessage::FormVoterSet(set) => self.on_form_voter_set(&set),
            ConsensusMessage::ConfirmInstalled { set_version } => {
                self.on_confirmation_request(from, set_version);
            }
            ConsensusMessage::Installed { disk, set_version } => {
                self.on_installed(disk, set_version);
            }
            ConsensusMessage::ShuttingDown { disk, incarnation } => {
                self.on_shutdown_notice(from, disk, incarnation);
            }
            ConsensusMessage::RequestReplica { set_version, after } => {
                self.on_replica_request(from, set_version, after);
            }
            ConsensusMessage::Replica(page) => self.on_replica_page(now, page),
            ConsensusMessage::RequestValue { key, version } => {
                self.on_value_request(from, key, version);
            }
            ConsensusMessage::Value { key, ballot, value } => {
                self.on_value(now, &key, ballot, value)
            }
        }
    }

    /// Handles a completion of the disk thread. Completions must be passed in the order in which the thread returned
    /// them.
    pub fn on_disk(&mut self, now: u64, completion: DiskCompletion) {
        self.expire_leases(now);
        match completion {
            DiskCompletion::VoterState(snapshot) => self.on_voter_state(now, snapshot),
            DiskCompletion::SetWorkEnded => self.sets.end_disk_work(),
            DiskCompletion::InstallationConfirmed { to, set_version } => {
                let disk = self.sets.own_disk();
                self.send(&to, ConsensusMessage::Installed { disk, set_version });
            }
            DiskCompletion::ResetEnded(identity) => self.on_reset_ended(now, identity),
            DiskCompletion::ReplicaPage { to, mut page } => {
                page.disk = self.sets.own_disk();
                self.send(&to, ConsensusMessage::Replica(page));
            }
            DiskCompletion::VoterResponse {
                to,
                number,
                is_value_omitted,
                is_role_round,
                response,
            } => {
                if is_role_round {
                    self.role.end_round();
                }
                self.on_local_voter_response(now, &to, number, is_value_omitted, response);
            }
        }
        self.advance(now);
    }

    fn on_voter_state(&mut self, now: u64, snapshot: VoterSnapshot) {
        if snapshot.is_open && !self.sets.is_disk_trusted() {
            // This voter may have backed a lease before its disk failed, and that lease may still be held.
            self.role.withhold_promises(now);
        }
        self.sets.set_disk_trusted(snapshot.is_open);
        self.values.record_local(snapshot.values);
        self.update_unsettled(now);
        if self.sets.record_local(snapshot.set) {
            let set = self.sets.local().clone();
            log::info!("consensus: voting set={}", set.version());
            self.heartbeats.request();
            self.learn_set(now, &set);
        }
        self.poll_missing_values(now);
    }

    /// Advances time. Must be called about every 50 ms and at [`Consensus::next_deadline`].
    pub fn tick(&mut self, now: u64) {
        self.expire_leases(now);
        self.start_required_reads(now);
        self.poll_membership(now);
        self.poll_shutdown(now);
        self.poll_missing_values(now);
        self.settle_values(now);
        self.repair_local_voter(now);
        self.forget_silent_peers(now);
        self.advance(now);
    }

    /// Performs the follow-up steps of any state change. Called at the end of every input.
    fn advance(&mut self, now: u64) {
        self.update_contact(now);
        self.poll_changes(now);
        self.poll_campaign(now);
        self.send_due_heartbeats(now);
    }

    /// The time at which the next paused change or planned campaign continues, if there is one.
    pub fn next_deadline(&self) -> Option<u64> {
        let pause_end = self.changes.next_pause_end();
        pause_end
            .into_iter()
            .chain(self.role.next_campaign_at())
            .min()
    }

    /// Returns the pending actions in the order in which they must be carried out, and clears them.
    #[must_use]
    pub fn take_actions(&mut self) -> Vec<ConsensusAction> {
        std::mem::take(&mut self.actions)
    }

    /// The newest value of a key that is known to be committed, with its version.
    pub fn committed(&self, key: &str) -> Option<(u64, &Arc<Vec<u8>>)> {
        let value = self.values.committed(key)?;
        Some((value.version, &value.bytes))
    }

    /// The term under which this controller holds the scaler role at this time, if it does.
    pub fn role_term(&self, now: u64) -> Option<u64> {
        self.role.held_term(now)
    }

    /// Sorted addresses of this controller and of all other known controllers.
    pub fn known_controllers(&self) -> Vec<String> {
        let voters = self.sets.newest().voters.iter();
        let voters = voters.map(|voter| voter.address.clone());
        let heard = self.peers.heard_addresses().cloned();
        let own = std::iter::once(self.options.address.clone());
        let all: BTreeSet<String> = voters.chain(heard).chain(own).collect();
        all.into_iter().collect()
    }

    /// Whether all required keys have been read from a majority in this incarnation.
    pub fn has_read_required_keys(&self) -> bool {
        self.reads.are_complete()
    }

    /// The newest voter set that is known to be committed; epoch 0 if none is.
    pub fn voter_set(&self) -> &VoterSet {
        self.sets.newest()
    }

    /// Relation of this controller to the voter set.
    pub fn membership_state(&self) -> MembershipState {
        if self.is_resetting() {
            return MembershipState::Resetting;
        }
        self.sets.membership_state()
    }

    /// Short description of the current state for operators.
    pub fn status(&self) -> String {
        let version = self.sets.version();
        match self.reads.first_unread() {
            _ if !self.sets.is_disk_trusted() => "the disk is not to be trusted".into(),
            _ if !self.sets.has_set() => "no voters are known yet".into(),
            _ if self.sets.is_voter_empty() => format!("waits for a place in set {version}"),
            _ if self.is_resetting() => "empties its disk".into(),
            _ if !self.sets.is_member() => format!("left out of set {version}"),
            Some(key) => format!("{key} was not read at a majority yet"),
            None => format!("votes in set {version}"),
        }
    }

    fn send(&mut self, to: &str, message: ConsensusMessage) {
        let to = to.to_string();
        self.actions.push(ConsensusAction::Send { to, message });
    }

    fn submit_disk_work(&mut self, work: DiskWork) {
        self.actions.push(ConsensusAction::Disk(work));
    }
}

fn new_incarnation(random: &mut StdRng) -> u64 {
    random.random::<u64>() | 1
}
