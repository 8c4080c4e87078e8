//! Executes work on the voter's disk. It runs in the disk thread, not in the consensus.

use crate::disk_work::{register_size, DiskCompletion, DiskWork};
use crate::keys::REPLICATED_KEYS;
use crate::message::ReplicaPage;
use crate::role_register::is_role_round;
use crate::snapshot::VoterSnapshot;
use crate::value::ValueId;
use register::{Ballot, RegisterState, SetVersion, VoterRequest, VoterResponse};
use std::collections::BTreeMap;
use voter::{Voter, VoterDisk};

/// Maximum size of a page in bytes, unless a single register is larger: a quarter of a second at 2 Mbit/s.
const MAX_PAGE_BYTES: usize = 64 << 10;

/// Executes a batch of disk work in order, with as few syncs as possible.
pub fn execute_batch_on_disk(disk: &mut VoterDisk, batch: Vec<DiskWork>) -> Vec<DiskCompletion> {
    let mut completions = Vec::new();
    let mut waiting = Vec::new();
    for work in batch {
        let DiskWork::Reset(identity) = work else {
            waiting.push(work);
            continue;
        };
        let before = std::mem::take(&mut waiting);
        completions.extend(execute_batch(disk.voter_mut(), before));
        let reset = disk.reset(identity);
        if let Err(report) = &reset {
            log::error!("consensus: disk reset failed error={report:#}");
        }
        completions.push(DiskCompletion::ResetEnded(reset.ok().map(|()| identity)));
    }
    if !waiting.is_empty() {
        completions.extend(execute_batch(disk.voter_mut(), waiting));
    }
    completions
}

/// Executes a batch of work with a single sync. The returned completions are durable.
pub fn execute_batch(voter: &mut Voter, batch: Vec<DiskWork>) -> Vec<DiskCompletion> {
    let before = replicated_ballots(voter);
    let mut completions: Vec<DiskCompletion> = batch
        .into_iter()
        .filter_map(|work| execute(voter, work))
        .collect();
    let is_synced = voter.sync();
    if !is_synced {
        withhold_unsynced(&mut completions);
    }
    let state = DiskCompletion::VoterState(changes_since(voter, &before));
    completions.insert(0, state);
    completions
}

/// Removes or replaces every completion that would report something as durable.
fn withhold_unsynced(completions: &mut Vec<DiskCompletion>) {
    completions.retain(|completion| {
        !matches!(
            completion,
            DiskCompletion::ReplicaPage { .. } | DiskCompletion::InstallationConfirmed { .. }
        )
    });
    for completion in completions {
        if let DiskCompletion::VoterResponse {
            response,
            is_value_omitted,
            ..
        } = completion
        {
            *response = Voter::disk_failed_response();
            *is_value_omitted = false;
        }
    }
}

/// Promised and accepted ballot of a register.
type RegisterBallots = (Ballot, Ballot);

fn replicated_ballots(voter: &Voter) -> BTreeMap<&'static str, RegisterBallots> {
    let keys = REPLICATED_KEYS.iter();
    keys.map(|key| (*key, ballots(voter, key))).collect()
}

fn ballots(voter: &Voter, key: &str) -> RegisterBallots {
    let state = voter.acceptor().register(key);
    let ballots = state.map(|state| (state.promised, state.accepted));
    ballots.unwrap_or_default()
}

/// Snapshot of the registers whose ballots have changed, including the value bytes of those that accepted a value.
fn changes_since(voter: &Voter, before: &BTreeMap<&'static str, RegisterBallots>) -> VoterSnapshot {
    let compared = before
        .iter()
        .map(|(key, old)| (*key, *old, ballots(voter, key)));
    let changed = compared.filter(|(_, old, new)| old != new);
    VoterSnapshot::of_keys(voter, changed.map(|(key, old, new)| (key, old.1 != new.1)))
}

fn execute(voter: &mut Voter, work: DiskWork) -> Option<DiskCompletion> {
    match work {
        DiskWork::VoterRequest {
            to,
            number,
            known,
            request,
        } => return Some(respond(voter, to, number, known, request)),
        DiskWork::FormSet(set) => voter.bootstrap(set, 0),
        DiskWork::AdoptSet(set) => voter.adopt_set(set),
        DiskWork::Install(installation) => voter.install(installation),
        DiskWork::Repair(key, state) => {
            voter.repair(vec![(key, state)]);
            return None;
        }
        DiskWork::RotateJobWindow => {
            voter.advance_job_window();
            return None;
        }
        DiskWork::ConfirmInstalled { to, set_version } => {
            let confirmed = DiskCompletion::InstallationConfirmed { to, set_version };
            return is_installed(voter, set_version).then_some(confirmed);
        }
        // A reset needs the whole disk and is executed by `execute_batch_on_disk`.
        DiskWork::Reset(_) => return Some(DiskCompletion::ResetEnded(None)),
        DiskWork::ReadReplica {
            to,
            set_version,
            after,
        } => {
            let page = read_page(voter, set_version, after)?;
            return Some(DiskCompletion::ReplicaPage { to, page });
        }
    }
    Some(DiskCompletion::SetWorkEnded)
}

fn respond(
    voter: &mut Voter,
    to: String,
    number: u64,
    known: ValueId,
    request: VoterRequest,
) -> DiskCompletion {
    let is_role_round = is_role_round(&request.operation);
    let mut response = voter.handle(request);
    let is_value_omitted = omit_known_value(&mut response, known);
    DiskCompletion::VoterResponse {
        to,
        number,
        is_value_omitted,
        is_role_round,
        response,
    }
}

/// Omits the value from a response if the receiver already has it. Returns whether it did.
fn omit_known_value(response: &mut VoterResponse, known: ValueId) -> bool {
    let VoterResponse::LastAccepted { value, .. } = response else {
        return false;
    };
    let is_value_omitted = known.version > 0 && ValueId::of(value) == known;
    if is_value_omitted {
        value.bytes = Vec::new();
    }
    is_value_omitted
}

fn is_installed(voter: &Voter, set_version: SetVersion) -> bool {
    let own = voter.acceptor().set().version();
    let has_same_epoch = own.epoch == set_version.epoch && own.epoch > 0;
    voter.is_open() && has_same_epoch && own >= set_version
}

/// Reads the registers after a key. The voter must be in exactly this set, so that a new member does not mix state of
/// different sets.
fn read_page(voter: &Voter, set_version: SetVersion, after: String) -> Option<ReplicaPage> {
    let acceptor = voter.acceptor();
    if !voter.is_open() || acceptor.set().version() != set_version || set_version.epoch == 0 {
        return None;
    }
    let mut registers: Vec<(String, RegisterState)> = Vec::new();
    let mut size = 0;
    let mut is_last = true;
    for (key, state) in acceptor.registers_after(&after) {
        size += register_size(key, state);
        if size > MAX_PAGE_BYTES && !registers.is_empty() {
            is_last = false;
            break;
        }
        registers.push((key.clone(), state.clone()));
    }
    Some(ReplicaPage {
        // Filled in by the consensus, which knows the disk's identity.
        disk: 0,
        set_version,
        claim_floors: acceptor.claim_floors(),
        after,
        registers,
        is_last,
    })
}
