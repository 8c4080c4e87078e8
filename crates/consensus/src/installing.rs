use crate::consensus::{Consensus, SCALER_ROLE_KEY};
use crate::disk::DiskWork;
use crate::message::{ConsensusMessage, ReplicaPage};
use register::{merge_replicas, ClaimFloors, RegisterState, VoterRef, VoterSet};
use voter::Installation;

/// Time after which a part of a copy is asked for again the first time; it doubles with each time.
const PULL_AGAIN: u64 = 250;
/// Time of silence after which nothing is taken to be on its way from a member. Behind a slow line a sign of
/// incarnation may wait for a part that is on its way.
const SOURCE_SILENT_MS: u64 = 2_000;
/// How often it doubles.
const PULL_DOUBLINGS: u32 = 4;

/// What has come of another member's copy.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pulled {
    claim_floors: ClaimFloors,
    keys: Vec<(String, RegisterState)>,
    after: String,
    is_whole: bool,
    /// When the next part was asked for, and how often parts had to be asked for again. A part may take long to
    /// travel, and is not to travel many times.
    asked_at: Option<u64>,
    repeats: u32,
}

impl Pulled {
    fn is_due(&self, now: u64) -> bool {
        let pause = PULL_AGAIN << self.repeats.min(PULL_DOUBLINGS);
        !self.is_whole && self.asked_at.is_none_or(|at| now >= at + pause)
    }
}

impl Consensus {
    /// Members whose copies count: the others of this set, and all of the set before, if it is known.
    fn sources(&self) -> Vec<VoterRef> {
        let mut sources = self.set.voters.clone();
        for voter in self.previous.iter().flat_map(|set| &set.voters) {
            if !sources.iter().any(|known| known.disk == voter.disk) {
                sources.push(voter.clone());
            }
        }
        let own_disk = self.options.disk_id;
        sources.retain(|voter| voter.disk != own_disk);
        sources
    }

    /// Asks other members for their copies, as a member that holds nothing yet.
    pub(crate) fn tend_installing(&mut self, now: u64) {
        if now < self.pull_at {
            return;
        }
        self.pull_at = now + PULL_AGAIN;
        for source in self.sources() {
            let peer = self.peers.get(&self.locate(&source));
            let is_heard = peer.is_some_and(|peer| peer.is_fresh(now, SOURCE_SILENT_MS));
            let copy = self.pulled.entry(source.disk).or_default();
            if !is_heard {
                // Nothing is on its way from there: once it is heard again it is asked at once.
                copy.repeats = 0;
                copy.asked_at = None;
            }
            if copy.is_due(now) {
                copy.repeats += u32::from(copy.asked_at.is_some());
                self.pull(now, &source);
            }
        }
    }

    fn pull(&mut self, now: u64, from: &VoterRef) {
        let pulled = self.pulled.entry(from.disk).or_default();
        pulled.asked_at = Some(now);
        let after = pulled.after.clone();
        let set_version = self.set.version();
        let to = self.locate(from);
        if to != self.options.address {
            self.send(&to, ConsensusMessage::RequestReplica { set_version, after });
        }
    }

    /// Takes a part of a member's copy. Each part may be of its own time, as long as the member was
    /// in the set by then.
    pub(crate) fn on_copy(&mut self, now: u64, page: ReplicaPage) {
        let mut sources = self.sources().into_iter();
        let source = sources.find(|source| source.disk == page.disk);
        let is_wanted = self.own_set.epoch == 0 && self.set_works == 0 && self.is_named();
        let Some(source) = source.filter(|_| is_wanted && page.set_version == self.set.version())
        else {
            return;
        };
        let pulled = self.pulled.entry(page.disk).or_default();
        if pulled.is_whole || pulled.after != page.after {
            return;
        }
        pulled.claim_floors = pulled.claim_floors.max(page.claim_floors);
        pulled.is_whole = page.is_last;
        if let Some((last, _)) = page.keys.last() {
            pulled.after = last.clone();
        }
        pulled.keys.extend(page.keys);
        if page.is_last {
            self.install(now);
        } else {
            self.pull(now, &source);
        }
    }

    /// Whether enough copies are whole: of a majority of the other members, or of a majority of the set
    /// before, all of which are in this set now. Either shares a member with every majority that
    /// settled anything under the set before.
    fn is_enough(&self) -> bool {
        let whole = self.pulled.iter().filter(|(_, copy)| copy.is_whole);
        let whole: Vec<u64> = whole.map(|(disk, _)| *disk).collect();
        let count = |set: &VoterSet| {
            let voters = set.voters.iter();
            voters.filter(|voter| whole.contains(&voter.disk)).count()
        };
        let others = self.set.voters.len() - 1;
        let previous = self.previous.as_ref();
        count(&self.set) > others / 2 || previous.is_some_and(|set| count(set) >= set.majority())
    }

    /// Votes from now on, where enough copies are whole; before that, this controller's disk never voted.
    fn install(&mut self, now: u64) {
        if !self.is_enough() {
            return;
        }
        let whole = self.pulled.values().filter(|copy| copy.is_whole);
        let whole: Vec<&Pulled> = whole.collect();
        let claim_floors = whole.iter().fold(ClaimFloors::default(), |floors, copy| {
            floors.max(copy.claim_floors)
        });
        let keys = merge_replicas(whole.iter().map(|copy| copy.keys.clone()).collect());
        self.pulled.clear();
        // No member of an old set backs a claim any more that a majority of it had backed, since one of
        // them gave its copy here. What they had backed must be over before this controller's voter promises.
        let mut held = keys.iter();
        if held.any(|(key, held)| key == SCALER_ROLE_KEY && held.value.version > 0) {
            self.duty.closed_until = now + self.options.lease_ms;
        }
        let set = self.set.clone();
        self.work_on_set(DiskWork::Install(Installation {
            set,
            claim_floors,
            registers: keys,
        }));
    }
}
