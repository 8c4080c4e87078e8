use crate::jobs::{is_job, JobWindow, FORGOTTEN_KEY};
use crate::message::{Ballot, Stored, VoterAsk, VoterMessage, VoterReply, VoterSet};
use anti_entropy::{range_of, Digests};
use speedy::{Readable, Writable};
use std::collections::BTreeMap;
use std::ops::Bound;

/// Most keys that a voter keeps.
pub const KEYS_MAX: usize = 200_000;
const KEY_MAX: usize = 256;
const VALUE_MAX: usize = 4 << 20;

/// What a voter holds for one key.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct Held {
    /// Highest ballot promised.
    pub promised: Ballot,
    /// Ballot of the accepted value.
    pub accepted: Ballot,
    /// The accepted value.
    pub stored: Stored,
}

/// A change that must be synced before the answer that goes with it is given.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum Record {
    /// A key's new content.
    Key(String, Held),
    /// The voter's set.
    Set(VoterSet),
    /// Claims issued before this time are forgotten and refused, for good.
    Water(u64),
    /// Claims issued before this time that are not held are refused, for good.
    Shut(u64),
}

/// A voter's state. It has no disk of its own: the caller syncs each [`Record`] first.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct Acceptor {
    set: VoterSet,
    water: u64,
    shut: u64,
    keys: BTreeMap<String, Held>,
    #[speedy(skip)]
    digests: Digests,
    #[speedy(skip)]
    window: JobWindow,
}

fn stamp_of(held: &Held) -> (u64, u64) {
    (held.accepted.counter, held.accepted.proposer)
}

fn closed(reason: &str) -> VoterReply {
    VoterReply::Closed {
        reason: reason.into(),
    }
}

fn claim_time(key: &str) -> Option<u64> {
    key.strip_prefix("once/")?.split('/').next()?.parse().ok()
}

impl Acceptor {
    /// The set that this voter believes in; era 0 where it has none.
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
    pub fn held(&self, key: &str) -> Option<&Held> {
        self.keys.get(key)
    }

    /// Puts a record read back from the disk in place.
    pub fn replay(&mut self, record: Record) {
        match record {
            Record::Key(key, held) => {
                if key == FORGOTTEN_KEY {
                    self.drop_jobs(held.promised.counter);
                }
                let new = Some(stamp_of(&held));
                let old = self.keys.get(&key);
                self.window.note(&key, old, Some(&held));
                let old = self.keys.insert(key.clone(), held);
                self.digests.change(&key, old.as_ref().map(stamp_of), new);
            }
            Record::Set(set) => self.set = set,
            Record::Shut(time) => self.shut = self.shut.max(time),
            Record::Water(water) => {
                self.water = water;
                let digests = &mut self.digests;
                self.keys.retain(|key, held| {
                    let is_kept = claim_time(key).is_none_or(|time| time >= water);
                    if !is_kept {
                        digests.change(key, Some(stamp_of(held)), None);
                    }
                    is_kept
                });
            }
        }
    }

    fn drop_jobs(&mut self, counter: u64) {
        let (digests, window) = (&mut self.digests, &mut self.window);
        self.keys.retain(|key, held| {
            let is_kept = !is_job(key) || held.promised.counter > counter;
            if !is_kept {
                digests.change(key, Some(stamp_of(held)), None);
                window.note(key, Some(held), None);
            }
            is_kept
        });
    }

    /// Lets one span of remembering pass: jobs that were claimed before the last turn are forgotten, all others
    /// last for one more at least.
    pub fn turn_jobs(&mut self) -> Option<Record> {
        let held = self.window.turn(&self.keys)?;
        let record = Record::Key(FORGOTTEN_KEY.to_string(), held);
        self.replay(record.clone());
        Some(record)
    }

    /// Makes anew what is not kept on the disk, after a snapshot was read back.
    pub fn restore_digests(&mut self) {
        self.window = JobWindow::of(&self.keys);
        self.digests = Digests::default();
        for (key, held) in &self.keys {
            self.digests.change(key, None, Some(stamp_of(held)));
        }
    }

    /// Digests over ranges of what was accepted.
    pub fn digests(&self) -> &Digests {
        &self.digests
    }

    /// All that is held in a range.
    pub fn range(&self, range: u16) -> Vec<(String, Held)> {
        let held = self.keys.iter();
        held.filter(|(key, _)| range_of(key) == range)
            .map(|(key, held)| (key.clone(), held.clone()))
            .collect()
    }

    /// All that is held for keys after one, in their order.
    pub fn after(&self, key: &str) -> impl Iterator<Item = (&String, &Held)> {
        let after = (Bound::Excluded(key), Bound::Unbounded);
        self.keys.range::<str, _>(after)
    }

    /// Time before which claims are forgotten, and time before which claims not held are refused.
    pub fn floors(&self) -> (u64, u64) {
        (self.water, self.shut)
    }

    /// Takes the first set of an era. A voter that has one keeps it.
    pub fn form(&mut self, set: VoterSet) -> Option<Record> {
        if self.set.era != 0 || set.era == 0 {
            return None;
        }
        self.set = set.clone();
        Some(Record::Set(set))
    }

    /// Takes a later set of its era, which must be settled. It keeps all that it holds, and answers
    /// under the new set alone from now on. It may have missed sets between: that is no other than
    /// having missed what was accepted under them.
    pub fn adopt(&mut self, set: VoterSet) -> Option<Record> {
        let follows = set.era == self.set.era && set.no > self.set.no && set.era != 0;
        if !follows {
            return None;
        }
        self.set = set.clone();
        Some(Record::Set(set))
    }

    /// An empty voter takes a set together with all that a majority of its other members holds.
    pub fn install(
        &mut self,
        set: VoterSet,
        floors: (u64, u64),
        keys: Vec<(String, Held)>,
    ) -> Vec<Record> {
        if self.set.era != 0 {
            return Vec::new();
        }
        let mut records = vec![Record::Water(floors.0), Record::Shut(floors.1)];
        records.extend(keys.into_iter().map(|(key, held)| Record::Key(key, held)));
        records.push(Record::Set(set));
        for record in records.clone() {
            self.replay(record);
        }
        self.window = JobWindow::of(&self.keys);
        records
    }

    /// Takes newer values from another voter's copy, as if their accepting had come late.
    pub fn mend(&mut self, keys: Vec<(String, Held)>) -> Vec<Record> {
        let mut records = Vec::new();
        for (key, theirs) in keys {
            let mine = self.keys.get(&key).cloned().unwrap_or_default();
            let is_known = self.set.era != 0 && key.len() <= KEY_MAX;
            let is_aged = claim_time(&key).is_some_and(|time| time < self.water)
                || self.window.has_forgotten(&self.keys, &key, theirs.accepted);
            let has_room = self.keys.contains_key(&key) || self.keys.len() < KEYS_MAX;
            let is_newer = theirs.accepted > mine.accepted && theirs.accepted >= mine.promised;
            if !is_known || is_aged || !has_room || !is_newer {
                continue;
            }
            let held = Held {
                promised: theirs.accepted,
                accepted: theirs.accepted,
                stored: theirs.stored,
            };
            let record = Record::Key(key, held);
            self.replay(record.clone());
            records.push(record);
        }
        records
    }

    /// Refuses claims that are not held and were issued before a time.
    pub fn shut_before(&mut self, time: u64) -> Option<Record> {
        if time <= self.shut {
            return None;
        }
        self.shut = time;
        Some(Record::Shut(time))
    }

    /// Forgets claims that were issued longer ago than they are remembered, and refuses them ever
    /// after. The time is this voter's own or that of the newest claim, whichever is earlier, so
    /// that a clock which jumps ahead makes it forget nothing early.
    pub fn age_out(&mut self, wall: u64, remembered: u64) -> Option<Record> {
        let mut claims = self.keys.range("once/".to_string().."once0".to_string());
        let oldest = claims.next().and_then(|(key, _)| claim_time(key))?;
        let newest = claims.next_back().and_then(|(key, _)| claim_time(key));
        let now = wall.min(newest.unwrap_or(oldest));
        let before = now.saturating_sub(remembered);
        if before <= self.water || oldest >= before {
            return None;
        }
        let record = Record::Water(before);
        self.replay(record.clone());
        Some(record)
    }

    /// Answers a question; where there is a record, it must be synced before the answer leaves.
    pub fn handle(&mut self, message: VoterMessage) -> (Option<Record>, VoterReply) {
        if message.mark != self.set.mark() || self.set.era == 0 {
            let set = self.set.clone();
            return (None, VoterReply::OtherSet { set });
        }
        let (key, ballot) = match &message.ask {
            VoterAsk::Peek { key } => (key, None),
            VoterAsk::Promise { key, ballot } | VoterAsk::Accept { key, ballot, .. } => {
                (key, Some(*ballot))
            }
        };
        if key.len() > KEY_MAX {
            return (None, closed("the key is too long"));
        }
        if claim_time(key).is_some_and(|time| {
            time < self.water || (time < self.shut && !self.keys.contains_key(key))
        }) {
            return (None, VoterReply::AgedOut);
        }
        if let Some(refusal) = self.window.refusal(&self.keys, &message.ask) {
            return (None, refusal);
        }
        let mut held = self.keys.get(key).cloned().unwrap_or_default();
        if let Some(ballot) = ballot {
            if ballot < held.promised {
                let promised = held.promised;
                return (None, VoterReply::Refused { promised });
            }
            if !self.keys.contains_key(key) && self.keys.len() >= KEYS_MAX {
                return (None, closed("the table of keys is full"));
            }
            held.promised = ballot;
        }
        let reply = match &message.ask {
            VoterAsk::Accept { ballot, stored, .. } => {
                if stored.bytes.len() > VALUE_MAX {
                    return (None, closed("the value is too large"));
                }
                held.accepted = *ballot;
                held.stored = stored.clone();
                VoterReply::Accepted
            }
            _ => VoterReply::Holds {
                ballot: held.accepted,
                stored: held.stored.clone(),
            },
        };
        if ballot.is_none() {
            return (None, reply);
        }
        let record = Record::Key(key.clone(), held);
        self.replay(record.clone());
        (Some(record), reply)
    }
}
