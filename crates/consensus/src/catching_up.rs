//! How a controller learns the settled values that it missed, and how its own voter comes to hold them.

use crate::action::ConsensusAction;
use crate::consensus::{Consensus, REPLICATED_KEYS, SCALER_ROLE_KEY};
use crate::disk::{DiskWork, RegisterSnapshot};
use crate::job::Value;
use crate::message::ConsensusMessage;
use rand::Rng;
use register::{Ballot, RegisterState, VersionedValue, VoterSet, VOTERS_KEY};
use speedy::Readable;

/// Time in which a settled value may still come to this controller's own voter.
const OWN_MS: u64 = 100;
/// Time after which a value is asked for again the first time; it doubles with each time.
const WANT_AGAIN: u64 = 300;
/// Longest time after which a value is asked for again.
const WANT_AGAIN_MAX: u64 = 4_800;
/// Time after a start in which values that are on their way are waited for.
pub(crate) const VALUE_PATIENCE_MS: u64 = 1_500;
/// Time between comparisons of this controller's voter with what is settled.
const MEND_MS: u64 = 6_000;

/// A settled value that is not here yet.
#[derive(Clone, Debug)]
pub(crate) struct Want {
    pub mark: (u64, u64),
    pub from: String,
    pub ask_at: u64,
    /// Time to wait once it was asked for. A value may take long to travel, and is not to travel many times.
    pub pause: u64,
}

impl Consensus {
    /// The value of a key that this controller has and that others need not send.
    pub(crate) fn newest_value(&self, key: &str) -> Option<Value> {
        let settled = self.settled.get(key);
        let held = self.held.get(key).and_then(own_value);
        let held = held.filter(|held| settled.is_none_or(|known| held.version > known.version));
        held.or_else(|| settled.cloned())
    }

    /// Whether a value is on its way to this controller after its start, or may be: nobody told it yet what is settled.
    /// A read that begins before would make the value travel from each of the others, in each of its rounds.
    pub(crate) fn awaits_value(&self, now: u64, key: &str) -> bool {
        let own = &self.options.address;
        let voters = self.set.voters.iter();
        let heard = voters.filter(|voter| voter.address == *own || self.hears(now, &voter.address));
        let has_heard_majority = heard.count() >= self.set.majority();
        now < self.value_patience_until && (self.wants.contains_key(key) || !has_heard_majority)
    }

    pub(crate) fn settled_mark(&self, key: &str) -> (u64, u64) {
        self.settled.get(key).map_or((0, 0), Value::mark)
    }

    /// Another controller says which values are settled.
    pub(crate) fn on_settled_marks(&mut self, now: u64, from: &str, marks: &[(u64, u64)]) {
        for (key, mark) in REPLICATED_KEYS.iter().zip(marks) {
            let wanted = self.wants.get(*key).map_or(0, |want| want.mark.0);
            if mark.0 <= self.settled_mark(key).0 || mark.0 < wanted {
                continue;
            }
            // A value that is newer still is asked for no later: changes may come faster than it is waited.
            let known = self.wants.get(*key);
            let patience = if self.is_voting() { OWN_MS } else { 0 };
            let want = Want {
                mark: *mark,
                from: from.to_string(),
                ask_at: known.map_or(now + patience, |want| want.ask_at),
                pause: known.map_or(WANT_AGAIN, |want| want.pause),
            };
            self.wants.insert((*key).to_string(), want);
        }
        self.tend_wants(now);
    }

    /// Takes settled values that have come to this controller's own voter, and asks for the others.
    pub(crate) fn tend_wants(&mut self, now: u64) {
        let keys: Vec<String> = self.wants.keys().cloned().collect();
        for key in keys {
            let Some(want) = self.wants.get_mut(&key) else {
                continue;
            };
            let own = self.held.get(&key).and_then(own_value);
            if let Some(own) = own.filter(|own| own.mark() == want.mark) {
                self.learn_value(now, &key, own);
                continue;
            }
            if now < want.ask_at {
                continue;
            }
            want.ask_at = now + want.pause;
            want.pause = (2 * want.pause).min(WANT_AGAIN_MAX);
            let (to, version) = (want.from.clone(), want.mark.0);
            self.send(&to, ConsensusMessage::RequestValue { key, version });
        }
    }

    /// Tells a settled value, with the ballot where this controller's voter accepted it.
    pub(crate) fn on_want_value(&mut self, from: &str, key: String, version: u64) {
        let Some(value) = self.settled.get(&key) else {
            return;
        };
        if value.version < version {
            return;
        }
        let held = self.held.get(&key);
        let held = held.filter(|held| (held.version, held.tag) == value.mark());
        let message = ConsensusMessage::Value {
            ballot: held.map(|held| held.accepted).unwrap_or_default(),
            value: value.stored(),
            key,
        };
        self.send(from, message);
    }

    /// Takes a settled value, also for this controller's voter where it lags behind.
    pub(crate) fn on_value(&mut self, now: u64, key: &str, ballot: Ballot, stored: VersionedValue) {
        self.learn_settled(now, key, &stored);
        if ballot == Ballot::default() || !self.is_voting() || !self.is_behind(key, &stored) {
            return;
        }
        let held = RegisterState {
            promised: ballot,
            accepted: ballot,
            value: stored,
        };
        let work = DiskWork::Repair(key.to_string(), held);
        self.actions.push(ConsensusAction::Disk(work));
    }

    fn is_behind(&self, key: &str, settled: &VersionedValue) -> bool {
        let (version, tag) = self
            .held
            .get(key)
            .map_or((0, 0), |held| (held.version, held.tag));
        version < settled.version || (version == settled.version && tag != settled.tag)
    }

    /// Asks another member for settled values that this controller's voter lacks, now and then.
    pub(crate) fn tend_mending(&mut self, now: u64) {
        if now < self.mend_at || !self.is_voting() {
            return;
        }
        self.mend_at = now + MEND_MS + self.random.random_range(0..1_000);
        let voters = self.set.voters.iter().map(|voter| voter.address.clone());
        let fresh: Vec<String> = voters
            .filter(|address| *address != self.options.address && self.hears(now, address))
            .collect();
        let lacking: Vec<(String, u64)> = self
            .settled
            .iter()
            .filter(|(key, _)| REPLICATED_KEYS.contains(&key.as_str()))
            .filter(|(key, value)| self.is_behind(key, &value.brief()))
            .map(|(key, value)| (key.clone(), value.version))
            .collect();
        if fresh.is_empty() {
            return;
        }
        for (key, version) in lacking {
            let place = self.random.random_range(0..fresh.len());
            self.send(
                &fresh[place],
                ConsensusMessage::RequestValue { key, version },
            );
        }
    }

    /// A value is known to be settled.
    pub(crate) fn learn_settled(&mut self, now: u64, key: &str, stored: &VersionedValue) {
        if stored.version > self.settled_mark(key).0 {
            self.learn_value(now, key, Value::of(stored));
        }
    }

    fn learn_value(&mut self, now: u64, key: &str, value: Value) {
        let (version, bytes) = (value.version, value.bytes.clone());
        if self
            .wants
            .get(key)
            .is_some_and(|want| want.mark.0 <= version)
        {
            self.wants.remove(key);
        }
        if let Some(want) = self.wants.get_mut(key) {
            // One that is newer still may be asked for as if nothing were under way.
            want.ask_at = now + OWN_MS;
            want.pause = WANT_AGAIN;
        }
        if version <= self.settled_mark(key).0 {
            return;
        }
        self.settled.insert(key.to_string(), value);
        self.wants_heartbeat = true;
        let key = key.to_string();
        if key == VOTERS_KEY {
            if let Ok(set) = VoterSet::read_from_buffer(&bytes) {
                self.learn_set(now, &set);
            }
        }
        if key == SCALER_ROLE_KEY {
            self.on_term_holder(now, version, &bytes);
        }
        self.actions
            .push(ConsensusAction::ValueCommitted { key, version });
    }
}

fn own_value(held: &RegisterSnapshot) -> Option<Value> {
    let bytes = held.bytes.clone()?;
    Some(Value {
        version: held.version,
        tag: held.tag,
        bytes,
    })
}
