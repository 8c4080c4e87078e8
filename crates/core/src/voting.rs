use crate::shared::{CoreError, Shared};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use journal::DiskFolder;
use register::{RegisterState, VoterRequest, VoterResponse, VoterSet};
use std::path::Path;
use std::time::{Duration, Instant};
use transport::{PeerMessage, ReplicaDigest, Responder};
use voter::{Installation, Voter};

/// Most questions that are answered with one sync.
const BATCH_MAX: usize = 256;

/// What the voter's thread is asked.
pub enum VoterTask {
    /// A question from the wire.
    Ask(VoterRequest, Responder),
    /// Take this first set with its floor, and tell what is held then.
    Form(VoterSet, u64, Sender<VoterSet>),
    /// Take the set that follows.
    Adopt(VoterSet, Responder),
    /// Take a set with all that its other members hold, into an empty voter.
    Install(Installation, Sender<VoterSet>),
    /// Take newer values from another copy.
    Repair(Vec<(String, RegisterState)>),
    /// Tell who this is, with the id of the disk and the newest epoch that fronts reported.
    Hello(u64, u64, Responder),
    /// Tell the copy in short, to another core.
    ReplicaDigest(Responder),
    /// Tell the copy in short, here.
    Digests(Sender<ReplicaDigest>),
    /// Tell all that is held in a range.
    Range(u16, Responder),
    /// Forget claims, by this wall clock and the time for which they are remembered.
    AgeOut(u64, u64),
    /// Tell the set and how many keys are held.
    Report(Sender<(VoterSet, usize)>),
}

/// What came of the work that is synced together.
#[derive(Default)]
struct Batch {
    replies: Vec<(Responder, VoterResponse)>,
    set_waiters: Vec<Sender<VoterSet>>,
    adopted: Vec<Responder>,
}

/// Opens the voter of a data folder.
pub fn open(path: &Path) -> Result<Voter, CoreError> {
    let folder = DiskFolder::open(&path.join("register")).map_err(CoreError::Io)?;
    Voter::open(Box::new(folder)).map_err(CoreError::Voter)
}

/// What comes next; nothing after a pause, where the disk has failed and may be tried again.
fn next(
    voter: &Voter,
    work: &Receiver<VoterTask>,
    pause: Duration,
) -> Result<Option<VoterTask>, ()> {
    if !voter.can_reopen() {
        return work.recv().map(Some).map_err(|_| ());
    }
    match work.recv_timeout(pause) {
        Ok(first) => Ok(Some(first)),
        Err(RecvTimeoutError::Timeout) => Ok(None),
        Err(RecvTimeoutError::Disconnected) => Err(()),
    }
}

/// Opens the data folder again after its disk has failed.
fn reopen(path: &Path) -> Option<Voter> {
    let folder = DiskFolder::open(&path.join("register")).ok()?;
    let voter = Voter::reopen(Box::new(folder)).ok()?;
    log::warn!("voter: the disk works again, and all was written anew");
    Some(voter)
}

/// Works until nobody asks any more: one sync for all that has come in meanwhile. A disk that failed
/// is tried again three times in a bound on changes.
pub fn run(shared: &Shared, mut voter: Voter, work: &Receiver<VoterTask>) {
    let pause =
        || Duration::from_millis(shared.store.committed().configuration.bounds.change_ms / 3);
    let mut tried_at = Instant::now();
    while let Ok(first) = next(&voter, work, pause()) {
        if voter.can_reopen() && tried_at.elapsed() >= pause() {
            tried_at = Instant::now();
            voter = reopen(&shared.settings.data).unwrap_or(voter);
        }
        let Some(first) = first else {
            continue;
        };
        let mut batch = Batch::default();
        for item in std::iter::once(first).chain(work.try_iter().take(BATCH_MAX)) {
            take(&mut voter, item, &mut batch);
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
        for reported in batch.set_waiters {
            let _ = reported.send(set.clone());
        }
        for responder in batch.adopted {
            responder.answer(PeerMessage::Adopted(set.clone()));
        }
    }
}

fn take(voter: &mut Voter, item: VoterTask, batch: &mut Batch) {
    match item {
        VoterTask::Ask(message, responder) => {
            let reply = voter.handle(message);
            batch.replies.push((responder, reply));
        }
        VoterTask::Form(set, floor, reported) => {
            voter.bootstrap(set, floor);
            batch.set_waiters.push(reported);
        }
        VoterTask::Adopt(set, responder) => {
            voter.adopt_set(set);
            if voter.is_open() {
                batch.adopted.push(responder);
            }
        }
        VoterTask::Install(given, reported) => {
            voter.install(given);
            batch.set_waiters.push(reported);
        }
        VoterTask::Repair(keys) => voter.repair(keys),
        VoterTask::AgeOut(wall, remembered) => voter.expire_claims(wall, remembered),
        VoterTask::Hello(disk, fronts_epoch, responder) => {
            let set = voter.acceptor().set().clone();
            responder.answer(PeerMessage::HelloResponse {
                disk,
                set,
                fronts_epoch,
            });
        }
        VoterTask::ReplicaDigest(responder) => {
            responder.answer(PeerMessage::DigestsResponse(copy_of(voter)));
        }
        VoterTask::Digests(reported) => {
            let _ = reported.send(copy_of(voter));
        }
        VoterTask::Range(range, responder) => {
            responder.answer(PeerMessage::RangeResponse(
                voter.acceptor().registers_in_range(range),
            ));
        }
        VoterTask::Report(reported) => {
            let held = voter.acceptor();
            let _ = reported.send((held.set().clone(), held.len()));
        }
    }
}

fn copy_of(voter: &Voter) -> ReplicaDigest {
    let held = voter.acceptor();
    ReplicaDigest {
        is_open: voter.is_open(),
        set: held.set().clone(),
        claim_floors: held.claim_floors(),
        ranges: held.digests().as_slice().to_vec(),
    }
}
