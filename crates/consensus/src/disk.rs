//! Work for the thread that has the disk, and what comes of it.

use crate::consensus::REPLICATED_KEYS;
use crate::duty::is_role_round;
use crate::message::ReplicaPage;
use register::{
    Ballot, RegisterState, SetVersion, VoterOperation, VoterRequest, VoterResponse, VoterSet,
};
use std::collections::BTreeMap;
use std::sync::Arc;
use voter::{Installation, Voter, VoterDisk};

/// Most bytes of a part of a copy, unless one key alone is larger: a quarter of a second at 2 Mbit/s.
const PAGE_MAX: usize = 64 << 10;
/// Bytes that a key takes beside its name and its value.
const KEY_OVERHEAD: usize = 80;

/// Work for the thread that has the disk.
#[derive(Clone, Debug, PartialEq)]
pub enum DiskWork {
    /// Ask the voter.
    VoterRequest {
        /// Address of the controller that asks.
        to: String,
        /// Number of the question.
        number: u64,
        /// Version and tag of a value that the asker has.
        known: (u64, u64),
        /// The question.
        message: VoterRequest,
    },
    /// Take the first set.
    FormSet(VoterSet),
    /// Take the set that follows.
    AdoptSet(VoterSet),
    /// Take a set with all that its other members hold, into an empty voter.
    Install(Installation),
    /// Take a newer value from another copy.
    Repair(String, RegisterState),
    /// Let one span pass for which jobs are remembered.
    RotateJobWindow,
    /// Say so where the voter is in the set of this version, or in a later one.
    ConfirmInstalled {
        /// Address of the controller that asks.
        to: String,
        /// Version of the set.
        set_version: SetVersion,
    },
    /// Give up all that is held and begin as an empty voter under this identity.
    Reset(u64),
    /// Tell part of what is held.
    ReadReplica {
        /// Address of the controller that asks.
        to: String,
        /// Version of the set that it must be held under.
        set_version: SetVersion,
        /// The key after which the part begins.
        after: String,
    },
}

impl DiskWork {
    /// Bytes that the work takes while it waits for the disk.
    pub fn size(&self) -> usize {
        let held =
            |key: &String, held: &RegisterState| key.len() + held.value.bytes.len() + KEY_OVERHEAD;
        match self {
            Self::VoterRequest { message, .. } => match &message.operation {
                VoterOperation::Accept {
                    key, value: stored, ..
                } => key.len() + stored.bytes.len() + KEY_OVERHEAD,
                VoterOperation::Query { key } | VoterOperation::Prepare { key, .. } => {
                    key.len() + KEY_OVERHEAD
                }
            },
            Self::Install(given) => given
                .registers
                .iter()
                .map(|(key, value)| held(key, value))
                .sum(),
            Self::Repair(key, value) => held(key, value),
            Self::FormSet(_)
            | Self::AdoptSet(_)
            | Self::RotateJobWindow
            | Self::ConfirmInstalled { .. }
            | Self::Reset(_)
            | Self::ReadReplica { .. } => KEY_OVERHEAD,
        }
    }

    /// What is said of work that was never given to the disk, since too much waits for it already. It is no
    /// other than a question whose answer got lost, or work on the set that comes again.
    pub fn refused(self) -> Option<DiskCompletion> {
        match self {
            Self::VoterRequest {
                to,
                number,
                message,
                ..
            } => Some(DiskCompletion::VoterResponse {
                to,
                number,
                is_known: false,
                is_role_round: is_role_round(&message.operation),
                reply: VoterResponse::Unavailable {
                    reason: "too much waits for the disk".into(),
                },
            }),
            Self::FormSet(_) | Self::AdoptSet(_) | Self::Install(_) => {
                Some(DiskCompletion::SetWorkEnded)
            }
            Self::Reset(_) => Some(DiskCompletion::ResetEnded(None)),
            Self::Repair(..)
            | Self::RotateJobWindow
            | Self::ConfirmInstalled { .. }
            | Self::ReadReplica { .. } => None,
        }
    }
}

/// What came of the disk's work. Give it to the consensus in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum DiskCompletion {
    /// What the voter holds now, of the keys that were touched.
    VoterState(VoterSnapshot),
    /// A reply to a question.
    VoterResponse {
        /// Address of the controller that asked.
        to: String,
        /// Number of the question.
        number: u64,
        /// Whether the value is left out.
        is_known: bool,
        /// Whether the question was a round over the duty.
        is_role_round: bool,
        /// The reply.
        reply: VoterResponse,
    },
    /// Work on the set is over; what came of it is in [`DiskCompletion::VoterState`].
    SetWorkEnded,
    /// The voter is durably in the set of this version, or in a later one.
    InstallationConfirmed {
        /// Address of the controller that asked.
        to: String,
        /// Version of the set that was asked about.
        set_version: SetVersion,
    },
    /// The voter began anew under this identity; none where the disk failed and nothing is known to
    /// have changed.
    ResetEnded(Option<u64>),
    /// Part of what is held.
    ReplicaPage {
        /// Address of the controller that asked.
        to: String,
        /// The part.
        page: ReplicaPage,
    },
}

/// What a voter holds, as its consensus machine knows it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VoterSnapshot {
    /// The voter's set; epoch 0 where it is empty.
    pub set: VoterSet,
    /// Whether the disk can be trusted.
    pub is_open: bool,
    /// Values of the keys that controllers keep up.
    pub values: Vec<RegisterSnapshot>,
}

/// What a voter holds for one key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegisterSnapshot {
    /// Key of the register.
    pub key: String,
    /// Highest ballot promised.
    pub promised: Ballot,
    /// Ballot of the accepted value.
    pub accepted: Ballot,
    /// Version of the accepted value.
    pub version: u64,
    /// Tag of the accepted value.
    pub tag: u64,
    /// The value itself; none where it is as it was.
    pub bytes: Option<Arc<Vec<u8>>>,
}

impl VoterSnapshot {
    /// All that a voter holds, when it was just opened. After its disk had failed and was opened again,
    /// the consensus machine is told by [`DiskCompletion::VoterState`].
    pub fn of(voter: &Voter) -> Self {
        let keys = REPLICATED_KEYS.iter().map(|key| (*key, true));
        Self::of_keys(voter, keys)
    }

    fn of_keys<'a>(voter: &Voter, keys: impl Iterator<Item = (&'a str, bool)>) -> Self {
        let held = voter.acceptor();
        let values = keys.map(|(key, has_bytes)| {
            let held = held.register(key).cloned().unwrap_or_default();
            RegisterSnapshot {
                key: key.to_string(),
                promised: held.promised,
                accepted: held.accepted,
                version: held.value.version,
                tag: held.value.tag,
                bytes: has_bytes.then(|| Arc::new(held.value.bytes)),
            }
        });
        Self {
            set: held.set().clone(),
            is_open: voter.is_open(),
            values: values.collect(),
        }
    }
}

fn accepted(voter: &Voter, key: &str) -> Ballot {
    let held = voter.acceptor().register(key);
    held.map(|held| held.accepted).unwrap_or_default()
}

fn all_accepted(voter: &Voter) -> BTreeMap<&'static str, (Ballot, Ballot)> {
    let of = |key: &str| {
        let held = voter.acceptor().register(key);
        held.map(|held| (held.promised, held.accepted))
    };
    let kept = REPLICATED_KEYS.iter();
    kept.map(|key| (*key, of(key).unwrap_or_default()))
        .collect()
}

/// Does a batch of work on a disk, in its order, with as few syncs as that allows.
pub fn execute_batch_on_disk(disk: &mut VoterDisk, batch: Vec<DiskWork>) -> Vec<DiskCompletion> {
    let mut dones = Vec::new();
    let mut waiting = Vec::new();
    for work in batch {
        let DiskWork::Reset(identity) = work else {
            waiting.push(work);
            continue;
        };
        dones.extend(execute_batch(
            disk.voter_mut(),
            std::mem::take(&mut waiting),
        ));
        let begun = disk.reset(identity);
        if let Err(report) = &begun {
            log::error!("consensus: the disk could not be emptied: {report:#}");
        }
        dones.push(DiskCompletion::ResetEnded(begun.ok().map(|()| identity)));
    }
    if !waiting.is_empty() {
        dones.extend(execute_batch(disk.voter_mut(), waiting));
    }
    dones
}

/// Does a batch of work with one sync. What is given back is safe on the disk.
pub fn execute_batch(voter: &mut Voter, batch: Vec<DiskWork>) -> Vec<DiskCompletion> {
    let before = all_accepted(voter);
    let mut dones: Vec<DiskCompletion> = batch
        .into_iter()
        .filter_map(|work| take(voter, work))
        .collect();
    let is_synced = voter.sync();
    if !is_synced {
        dones.retain(|done| {
            !matches!(
                done,
                DiskCompletion::ReplicaPage { .. } | DiskCompletion::InstallationConfirmed { .. }
            )
        });
        for done in &mut dones {
            if let DiskCompletion::VoterResponse {
                reply, is_known, ..
            } = done
            {
                *reply = Voter::disk_failed_response();
                *is_known = false;
            }
        }
    }
    let after = all_accepted(voter);
    let touched = before
        .iter()
        .filter(|(key, old)| after.get(*key) != Some(old));
    let touched = touched.map(|(key, old)| (*key, accepted(voter, key) != old.1));
    dones.insert(
        0,
        DiskCompletion::VoterState(VoterSnapshot::of_keys(voter, touched)),
    );
    dones
}

fn take(voter: &mut Voter, work: DiskWork) -> Option<DiskCompletion> {
    match work {
        DiskWork::VoterRequest {
            to,
            number,
            known,
            message,
        } => {
            let is_role_round = is_role_round(&message.operation);
            let mut reply = voter.handle(message);
            let is_known = leave_out(&mut reply, known);
            return Some(DiskCompletion::VoterResponse {
                to,
                number,
                is_known,
                is_role_round,
                reply,
            });
        }
        DiskWork::FormSet(set) => voter.bootstrap(set, 0),
        DiskWork::AdoptSet(set) => voter.adopt_set(set),
        DiskWork::Install(given) => voter.install(given),
        DiskWork::Repair(key, held) => {
            voter.repair(vec![(key, held)]);
            return None;
        }
        DiskWork::RotateJobWindow => {
            voter.advance_job_window();
            return None;
        }
        DiskWork::ConfirmInstalled { to, set_version } => {
            let own = voter.acceptor().set().version();
            let is_installed = voter.is_open()
                && own.epoch == set_version.epoch
                && own >= set_version
                && set_version.epoch > 0;
            return is_installed
                .then_some(DiskCompletion::InstallationConfirmed { to, set_version });
        }
        // It needs the whole disk: see `execute_batch_on_disk`.
        DiskWork::Reset(_) => return Some(DiskCompletion::ResetEnded(None)),
        DiskWork::ReadReplica {
            to,
            set_version,
            after,
        } => {
            let page = page(voter, set_version, after)?;
            return Some(DiskCompletion::ReplicaPage { to, page });
        }
    }
    Some(DiskCompletion::SetWorkEnded)
}

fn leave_out(reply: &mut VoterResponse, known: (u64, u64)) -> bool {
    let VoterResponse::LastAccepted { value: stored, .. } = reply else {
        return false;
    };
    let is_known = known.0 > 0 && (stored.version, stored.tag) == known;
    if is_known {
        stored.bytes = Vec::new();
    }
    is_known
}

fn page(voter: &Voter, set_version: SetVersion, after: String) -> Option<ReplicaPage> {
    let held = voter.acceptor();
    if !voter.is_open() || held.set().version() != set_version || set_version.epoch == 0 {
        return None;
    }
    let mut keys: Vec<(String, RegisterState)> = Vec::new();
    let mut size = 0;
    let mut is_last = true;
    for (key, value) in held.registers_after(&after) {
        size += key.len() + value.value.bytes.len() + KEY_OVERHEAD;
        if size > PAGE_MAX && !keys.is_empty() {
            is_last = false;
            break;
        }
        keys.push((key.clone(), value.clone()));
    }
    Some(ReplicaPage {
        disk: 0,
        set_version,
        claim_floors: held.claim_floors(),
        after,
        keys,
        is_last,
    })
}

/// Key that a question is about.
pub(crate) fn key_of(ask: &VoterOperation) -> &str {
    match ask {
        VoterOperation::Query { key }
        | VoterOperation::Prepare { key, .. }
        | VoterOperation::Accept { key, .. } => key,
    }
}
