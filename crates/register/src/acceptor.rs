use crate::jobs::{is_job_key, JobWindow, FORGOTTEN_KEY};
use crate::message::{
    Ballot, VersionedValue, VoterOperation, VoterRequest, VoterResponse, VoterSet,
};
use anti_entropy::{range_of, RangeDigests};
use speedy::{Readable, Writable};
use std::collections::BTreeMap;
use std::ops::Bound;

/// Most keys that a voter keeps.
pub const MAX_KEYS: usize = 200_000;
const KEY_MAX: usize = 256;
const VALUE_MAX: usize = 4 << 20;

/// What a voter holds for one key.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct RegisterState {
    /// Highest ballot promised.
    pub promised: Ballot,
    /// Ballot of the accepted value.
    pub accepted: Ballot,
    /// The accepted value.
    pub value: VersionedValue,
}

/// Times, in milliseconds of the wall clock, that decide on claims (keys `once/<time>/..`) which a voter does not hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ClaimFloors {
    /// Claims issued before this time have been forgotten; all of them are refused.
    pub forgotten_before: u64,
    /// Claims issued before this time are refused unless they are held.
    pub refused_before: u64,
}

impl ClaimFloors {
    /// The later of both voters' floors, each by itself.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            forgotten_before: self.forgotten_before.max(other.forgotten_before),
            refused_before: self.refused_before.max(other.refused_before),
        }
    }
}

/// A change that must be synced before the answer that goes with it is given.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum Record {
    /// A key's new content.
    Register(String, RegisterState),
    /// The voter's set.
    VoterSet(VoterSet),
    /// Claims issued before this time are forgotten and refused, for good.
    ForgottenBefore(u64),
    /// Claims issued before this time that are not held are refused, for good.
    RefusedBefore(u64),
}

/// A voter's state. It has no disk of its own: the caller syncs each [`Record`] first.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct Acceptor {
    set: VoterSet,
    forgotten_before: u64,
    refused_before: u64,
    keys: BTreeMap<String, RegisterState>,
    #[speedy(skip)]
    digests: RangeDigests,
    #[speedy(skip)]
    window: JobWindow,
}

fn stamp_of(held: &RegisterState) -> (u64, u64) {
    (held.accepted.counter, held.accepted.proposer)
}

fn closed(reason: &str) -> VoterResponse {
    VoterResponse::Unavailable {
        reason: reason.into(),
    }
}

fn claim_time(key: &str) -> Option<u64> {
    key.strip_prefix("once/")?.split('/').next()?.parse().ok()
}

impl Acceptor {
    /// The set that this voter believes in; epoch 0 where it has none.
    pub fn set(&self) -> &VoterSet {
        &self.set
    }

    /// Keys held.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// What is held for a key.
    pub fn register(&self, key: &str) -> Option<&RegisterState> {
        self.keys.get(key)
    }

    /// Puts a record read back from the disk in place.
    pub fn replay(&mut self, record: Record) {
        match record {
            Record::Register(key, held) => {
                if key == FORGOTTEN_KEY {
                    self.drop_jobs(held.promised.counter);
                }
                let new = Some(stamp_of(&held));
                let old = self.keys.get(&key);
                self.window.note(&key, old, Some(&held));
                let old = self.keys.insert(key.clone(), held);
                self.digests.update(&key, old.as_ref().map(stamp_of), new);
            }
            Record::VoterSet(set) => self.set = set,
            Record::RefusedBefore(time) => self.refused_before = self.refused_before.max(time),
            Record::ForgottenBefore(forgotten_before) => {
                self.forgotten_before = forgotten_before;
                let digests = &mut self.digests;
                self.keys.retain(|key, held| {
                    let is_kept = claim_time(key).is_none_or(|time| time >= forgotten_before);
                    if !is_kept {
                        digests.update(key, Some(stamp_of(held)), None);
                    }
                    is_kept
                });
            }
        }
    }

    fn drop_jobs(&mut self, counter: u64) {
        let (digests, window) = (&mut self.digests, &mut self.window);
        self.keys.retain(|key, held| {
            let is_kept = !is_job_key(key) || held.promised.counter > counter;
            if !is_kept {
                digests.update(key, Some(stamp_of(held)), None);
                window.note(key, Some(held), None);
            }
            is_kept
        });
    }

    /// Lets one span of remembering pass: jobs that were claimed before the last turn are forgotten, all others
    /// last for one more at least.
    pub fn advance_job_window(&mut self) -> Option<Record> {
        let held = self.window.turn(&self.keys)?;
        let record = Record::Register(FORGOTTEN_KEY.to_string(), held);
        self.replay(record.clone());
        Some(record)
    }

    /// Makes anew what is not kept on the disk, after a snapshot was read back.
    pub fn rebuild_indexes(&mut self) {
        self.window = JobWindow::of(&self.keys);
        self.digests = RangeDigests::default();
        for (key, held) in &self.keys {
            self.digests.update(key, None, Some(stamp_of(held)));
        }
    }

    /// RangeDigests over ranges of what was accepted.
    pub fn digests(&self) -> &RangeDigests {
        &self.digests
    }

    /// All that is held in a range.
    pub fn registers_in_range(&self, range: u16) -> Vec<(String, RegisterState)> {
        let held = self.keys.iter();
        held.filter(|(key, _)| range_of(key) == range)
            .map(|(key, held)| (key.clone(), held.clone()))
            .collect()
    }

    /// All that is held for keys after one, in their order.
    pub fn registers_after(&self, key: &str) -> impl Iterator<Item = (&String, &RegisterState)> {
        let after = (Bound::Excluded(key), Bound::Unbounded);
        self.keys.range::<str, _>(after)
    }

    /// Time before which claims are forgotten, and time before which claims not held are refused.
    pub fn claim_floors(&self) -> ClaimFloors {
        ClaimFloors {
            forgotten_before: self.forgotten_before,
            refused_before: self.refused_before,
        }
    }

    /// Takes the first set of an epoch. A voter that has one keeps it.
    pub fn bootstrap(&mut self, set: VoterSet) -> Option<Record> {
        if self.set.epoch != 0 || set.epoch == 0 {
            return None;
        }
        self.set = set.clone();
        Some(Record::VoterSet(set))
    }

    /// Takes a later set of its epoch, which must be settled. It keeps all that it holds, and answers
    /// under the new set alone from now on. It may have missed sets between: that is no other than
    /// having missed what was accepted under them.
    pub fn adopt_set(&mut self, set: VoterSet) -> Option<Record> {
        let follows = set.epoch == self.set.epoch && set.number > self.set.number && set.epoch != 0;
        if !follows {
            return None;
        }
        self.set = set.clone();
        Some(Record::VoterSet(set))
    }

    /// An empty voter takes a set together with all that a majority of its other members holds.
    pub fn install(
        &mut self,
        set: VoterSet,
        floors: ClaimFloors,
        keys: Vec<(String, RegisterState)>,
    ) -> Vec<Record> {
        if self.set.epoch != 0 {
            return Vec::new();
        }
        let mut records = vec![
            Record::ForgottenBefore(floors.forgotten_before),
            Record::RefusedBefore(floors.refused_before),
        ];
        records.extend(
            keys.into_iter()
                .map(|(key, held)| Record::Register(key, held)),
        );
        records.push(Record::VoterSet(set));
        for record in records.clone() {
            self.replay(record);
        }
        self.window = JobWindow::of(&self.keys);
        records
    }

    /// Takes newer values from another voter's copy, as if their accepting had come late.
    pub fn repair(&mut self, keys: Vec<(String, RegisterState)>) -> Vec<Record> {
        let mut records = Vec::new();
        for (key, theirs) in keys {
            let mine = self.keys.get(&key).cloned().unwrap_or_default();
            let is_known = self.set.epoch != 0 && key.len() <= KEY_MAX;
            let is_aged = claim_time(&key).is_some_and(|time| time < self.forgotten_before)
                || self.window.has_forgotten(&self.keys, &key, theirs.accepted);
            let has_room = self.keys.contains_key(&key) || self.keys.len() < MAX_KEYS;
            let is_newer = theirs.accepted > mine.accepted && theirs.accepted >= mine.promised;
            if !is_known || is_aged || !has_room || !is_newer {
                continue;
            }
            let held = RegisterState {
                promised: theirs.accepted,
                accepted: theirs.accepted,
                value: theirs.value,
            };
            let record = Record::Register(key, held);
            self.replay(record.clone());
            records.push(record);
        }
        records
    }

    /// Refuses claims that are not held and were issued before a time.
    pub fn refuse_claims_before(&mut self, time: u64) -> Option<Record> {
        if time <= self.refused_before {
            return None;
        }
        self.refused_before = time;
        Some(Record::RefusedBefore(time))
    }

    /// Forgets claims that were issued longer ago than they are remembered, and refuses them ever
    /// after. The time is this voter's own or that of the newest claim, whichever is earlier, so
    /// that a clock which jumps ahead makes it forget nothing early.
    pub fn expire_claims(&mut self, wall: u64, remembered: u64) -> Option<Record> {
        let mut claims = self.keys.range("once/".to_string().."once0".to_string());
        let oldest = claims.next().and_then(|(key, _)| claim_time(key))?;
        let newest = claims.next_back().and_then(|(key, _)| claim_time(key));
        let now = wall.min(newest.unwrap_or(oldest));
        let before = now.saturating_sub(remembered);
        if before <= self.forgotten_before || oldest >= before {
            return None;
        }
        let record = Record::ForgottenBefore(before);
        self.replay(record.clone());
        Some(record)
    }

    /// Answers a question; where there is a record, it must be synced before the answer leaves.
    pub fn handle(&mut self, request: VoterRequest) -> (Option<Record>, VoterResponse) {
        if request.set_version != self.set.version() || self.set.epoch == 0 {
            let set = self.set.clone();
            return (None, VoterResponse::SetMismatch { set });
        }
        let (key, ballot) = match &request.operation {
            VoterOperation::Query { key } => (key, None),
            VoterOperation::Prepare { key, ballot }
            | VoterOperation::Accept { key, ballot, .. } => (key, Some(*ballot)),
        };
        if key.len() > KEY_MAX {
            return (None, closed("the key is too long"));
        }
        if claim_time(key).is_some_and(|time| {
            time < self.forgotten_before
                || (time < self.refused_before && !self.keys.contains_key(key))
        }) {
            return (None, VoterResponse::Expired);
        }
        if let Some(rejection) = self.window.rejection(&self.keys, &request.operation) {
            return (None, rejection);
        }
        let mut held = self.keys.get(key).cloned().unwrap_or_default();
        if let Some(ballot) = ballot {
            if ballot < held.promised {
                let promised = held.promised;
                return (None, VoterResponse::Rejected { promised });
            }
            if !self.keys.contains_key(key) && self.keys.len() >= MAX_KEYS {
                return (None, closed("the table of keys is full"));
            }
            held.promised = ballot;
        }
        let response = match &request.operation {
            VoterOperation::Accept { ballot, value, .. } => {
                if value.bytes.len() > VALUE_MAX {
                    return (None, closed("the value is too large"));
                }
                held.accepted = *ballot;
                held.value = value.clone();
                VoterResponse::Accepted
            }
            _ => VoterResponse::LastAccepted {
                ballot: held.accepted,
                value: held.value.clone(),
            },
        };
        if ballot.is_none() {
            return (None, response);
        }
        let record = Record::Register(key.clone(), held);
        self.replay(record.clone());
        (Some(record), response)
    }
}
