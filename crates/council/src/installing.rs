use crate::council::{Council, DUTY_KEY};
use crate::disk::{DiskWork, Installation};
use crate::message::{CopyPage, CouncilMessage};
use register::{merged, Held};

/// Time after which a part of a copy is asked for again.
const PULL_AGAIN: u64 = 250;

/// What has come of another member's copy.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pulled {
    floors: (u64, u64),
    keys: Vec<(String, Held)>,
    after: String,
    is_whole: bool,
}

impl Council {
    /// Asks the other members for their copies, as a member that holds nothing yet.
    pub(crate) fn tend_installing(&mut self, now: u64) {
        if now < self.pull_at {
            return;
        }
        self.pull_at = now + PULL_AGAIN;
        let others = self.set.voters.iter();
        let others = others.filter(|voter| voter.disk != self.options.disk);
        let others: Vec<String> = others.map(|voter| voter.address.clone()).collect();
        for other in others {
            if self.pulled.get(&other).is_none_or(|copy| !copy.is_whole) {
                self.pull(&other);
            }
        }
    }

    fn pull(&mut self, from: &str) {
        let pulled = self.pulled.get(from);
        let after = pulled.map(|copy| copy.after.clone()).unwrap_or_default();
        let mark = self.set.mark();
        self.send(from, CouncilMessage::Pull { mark, after });
    }

    /// Takes a part of a member's copy. Each part may be of its own time, as long as the member was
    /// in the set by then.
    pub(crate) fn on_copy(&mut self, now: u64, from: &str, page: CopyPage) {
        let mut others = self.set.voters.iter();
        let is_other =
            others.any(|voter| voter.address == from && voter.disk != self.options.disk);
        let is_wanted = self.own_set.era == 0 && self.set_works == 0 && self.is_named();
        if !is_wanted || !is_other || page.mark != self.set.mark() {
            return;
        }
        let pulled = self.pulled.entry(from.to_string()).or_default();
        if pulled.is_whole || pulled.after != page.after {
            return;
        }
        pulled.floors.0 = pulled.floors.0.max(page.floors.0);
        pulled.floors.1 = pulled.floors.1.max(page.floors.1);
        pulled.is_whole = page.is_last;
        if let Some((last, _)) = page.keys.last() {
            pulled.after = last.clone();
        }
        pulled.keys.extend(page.keys);
        if page.is_last {
            self.install(now);
        } else {
            self.pull(from);
        }
    }

    /// Votes from now on, where the copies of a majority of the other members are whole. A value that
    /// was settled is in one of these; before that, this core's disk never voted.
    fn install(&mut self, now: u64) {
        let others = self.set.voters.len() - 1;
        let whole = self.pulled.values().filter(|copy| copy.is_whole);
        let whole: Vec<&Pulled> = whole.collect();
        if whole.len() < others / 2 + 1 {
            return;
        }
        let floors = whole.iter().fold((0, 0), |floors: (u64, u64), copy| {
            (floors.0.max(copy.floors.0), floors.1.max(copy.floors.1))
        });
        let keys = merged(whole.iter().map(|copy| copy.keys.clone()).collect());
        self.pulled.clear();
        // No member of an old set backs a claim any more that a majority of it had backed, since one of
        // them gave its copy here. What they had backed must be over before this core's voter promises.
        let mut held = keys.iter();
        if held.any(|(key, held)| key == DUTY_KEY && held.stored.version > 0) {
            self.duty.closed_until = now + self.options.lease_ms;
        }
        let set = self.set.clone();
        self.work_on_set(DiskWork::Install(Installation { set, floors, keys }));
    }
}
