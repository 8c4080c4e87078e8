use crate::shared::{CoreError, Shared};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use journal::DiskFolder;
use register::{RegisterState, VoterRequest, VoterResponse, VoterSet};
use std::path::Path;
use std::time::{Duration, Instant};
use transport::{PeerMessage, ReplicaDigest, Responder};
use voter::{Installation, Voter};

/// Most tasks handled with one disk sync, beyond the first.
const MAX_BATCH: usize = 256;

/// A task for the voter thread.
pub enum VoterTask {
    /// Handle a register request from another daemon.
    Ask(VoterRequest, Responder),
    /// Store this first set and the claim floor; reply with the set that is then in force.
    Bootstrap(VoterSet, u64, Sender<VoterSet>),
    /// Adopt a newer set.
    Adopt(VoterSet, Responder),
    /// Install a set and the registers of its other members into an empty voter.
    Install(Installation, Sender<VoterSet>),
    /// Apply newer register states from another replica.
    Repair(Vec<(String, RegisterState)>),
    /// Answer a hello with the disk id, the set and the newest epoch that fronts reported.
    Hello(u64, u64, Responder),
    /// Send the digest of the replica to another core.
    ReplicaDigest(Responder),
    /// Return the digest of the replica to a thread of this core.
    OwnDigest(Sender<ReplicaDigest>),
    /// Send all registers of a range.
    ReadRange(u16, Responder),
    /// Expire claims, given the wall clock and how long claims are kept, both in milliseconds.
    ExpireClaims(u64, u64),
    /// Return the set and the number of registers.
    Summary(Sender<(VoterSet, usize)>),
}

/// Replies that are sent after the sync of a batch of tasks.
#[derive(Default)]
struct Batch {
    replies: Vec<(Responder, VoterResponse)>,
    set_waiters: Vec<Sender<VoterSet>>,
    adopted: Vec<Responder>,
}

/// Opens the voter stored in a data folder.
pub fn open(path: &Path) -> Result<Voter, CoreError> {
    let folder = DiskFolder::open(&path.join("register")).map_err(CoreError::Io)?;
    Voter::open(Box::new(folder)).map_err(CoreError::Voter)
}

/// Waits for the next task. With a failed disk, returns `None` after `reopen_interval`, so that reopening is tried.
fn next_task(
    voter: &Voter,
    tasks: &Receiver<VoterTask>,
    reopen_interval: Duration,
) -> Result<Option<VoterTask>, ()> {
    if !voter.can_reopen() {
        return tasks.recv().map(Some).map_err(|_| ());
    }
    match tasks.recv_timeout(reopen_interval) {
        Ok(first) => Ok(Some(first)),
        Err(RecvTimeoutError::Timeout) => Ok(None),
        Err(RecvTimeoutError::Disconnected) => Err(()),
    }
}

/// Reopens the data folder after a disk failure.
fn reopen(path: &Path) -> Option<Voter> {
    let folder = DiskFolder::open(&path.join("register")).ok()?;
    let voter = Voter::reopen(Box::new(folder)).ok()?;
    log::warn!("voter: the disk works again, and all was written anew");
    Some(voter)
}

/// Handles tasks until all senders are gone, with one sync for each batch of queued tasks. A failed disk is
/// reopened up to three times per `change_ms`.
pub fn run(shared: &Shared, mut voter: Voter, tasks: &Receiver<VoterTask>) {
    let reopen_interval =
        || Duration::from_millis(shared.store.committed().configuration.bounds.change_ms / 3);
    let mut reopen_tried_at = Instant::now();
    while let Ok(first) = next_task(&voter, tasks, reopen_interval()) {
        if voter.can_reopen() && reopen_tried_at.elapsed() >= reopen_interval() {
            reopen_tried_at = Instant::now();
            voter = reopen(&shared.settings.data).unwrap_or(voter);
        }
        let Some(first) = first else {
            continue;
        };
        let mut batch = Batch::default();
        for task in std::iter::once(first).chain(tasks.try_iter().take(MAX_BATCH)) {
            process(&mut voter, task, &mut batch);
        }
        let is_synced = voter.sync();
        for (responder, reply) in batch.replies {
            let reply = if is_synced {
                reply
            } else {
                Voter::disk_failed_response()
            };
            responder.answer(PeerMessage::VoterResponse(reply));
        }
        voter.compact();
        if !is_synced {
            continue;
        }
        let set = voter.acceptor().set();
        for reply_to in batch.set_waiters {
            let _ = reply_to.send(set.clone());
        }
        for responder in batch.adopted {
            responder.answer(PeerMessage::Adopted(set.clone()));
        }
    }
}

fn process(voter: &mut Voter, task: VoterTask, batch: &mut Batch) {
    match task {
        VoterTask::Ask(message, responder) => {
            let reply = voter.handle(message);
            batch.replies.push((responder, reply));
        }
        VoterTask::Bootstrap(set, floor, reply_to) => {
            voter.bootstrap(set, floor);
            batch.set_waiters.push(reply_to);
        }
        VoterTask::Adopt(set, responder) => {
            voter.adopt_set(set);
            if voter.is_open() {
                batch.adopted.push(responder);
            }
        }
        VoterTask::Install(installation, reply_to) => {
            voter.install(installation);
            batch.set_waiters.push(reply_to);
        }
        VoterTask::Repair(keys) => voter.repair(keys),
        VoterTask::ExpireClaims(wall_ms, claim_ms) => voter.expire_claims(wall_ms, claim_ms),
        VoterTask::Hello(disk, fronts_epoch, responder) => {
            let set = voter.acceptor().set().clone();
            responder.answer(PeerMessage::HelloResponse {
                disk,
                set,
                fronts_epoch,
            });
        }
        VoterTask::ReplicaDigest(responder) => {
            responder.answer(PeerMessage::DigestsResponse(replica_digest(voter)));
        }
        VoterTask::OwnDigest(reply_to) => {
            let _ = reply_to.send(replica_digest(voter));
        }
        VoterTask::ReadRange(range, responder) => {
            responder.answer(PeerMessage::RangeResponse(
                voter.acceptor().registers_in_range(range),
            ));
        }
        VoterTask::Summary(reply_to) => {
            let acceptor = voter.acceptor();
            let _ = reply_to.send((acceptor.set().clone(), acceptor.len()));
        }
    }
}

fn replica_digest(voter: &Voter) -> ReplicaDigest {
    let acceptor = voter.acceptor();
    ReplicaDigest {
        is_open: voter.is_open(),
        set: acceptor.set().clone(),
        claim_floors: acceptor.claim_floors(),
        ranges: acceptor.digests().as_slice().to_vec(),
    }
}
