//! Copies of other members' replicas that an empty voter gathers before it votes.

use crate::message::ReplicaPage;
use register::{merge_replicas, ClaimFloors, RegisterState, VoterSet};
use std::collections::BTreeMap;

/// Time between looks at which pages are to be requested, and after which a page is requested again the first time, in
/// milliseconds; the latter doubles with each request.
const FIRST_RETRY_MS: u64 = 250;
/// How often it doubles.
const MAX_RETRY_DOUBLINGS: u32 = 4;

/// What has come of one member's replica.
#[derive(Clone, Debug, Default)]
struct ReplicaCopy {
    floors: ClaimFloors,
    registers: Vec<(String, RegisterState)>,
    /// The last key that has come.
    after: String,
    is_complete: bool,
    requested_at: Option<u64>,
    /// How often pages had to be requested again. A page may take long to travel, and is not to travel many times.
    retries: u32,
}

impl ReplicaCopy {
    fn is_due(&self, now: u64) -> bool {
        let pause = FIRST_RETRY_MS << self.retries.min(MAX_RETRY_DOUBLINGS);
        !self.is_complete && self.requested_at.is_none_or(|at| now >= at + pause)
    }
}

/// What a page was good for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PageStep {
    /// It was not the one that was requested.
    Ignored,
    /// The next page is to be requested.
    RequestNext,
    /// The member's copy is complete.
    Complete,
}

/// Copies of other members' replicas, by the members' disks. All are of the newest set: they begin again with each.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaCopies {
    copies: BTreeMap<u64, ReplicaCopy>,
    next_poll_at: u64,
}

impl ReplicaCopies {
    /// Nothing has come yet.
    pub fn new(now: u64) -> Self {
        Self {
            copies: BTreeMap::new(),
            next_poll_at: now,
        }
    }

    /// Begins again under a newer set.
    pub fn restart(&mut self, now: u64) {
        self.copies.clear();
        self.next_poll_at = now;
    }

    /// Drops all that has come.
    pub fn clear(&mut self) {
        self.copies.clear();
    }

    /// Whether it is time to look at which pages are to be requested.
    pub fn poll(&mut self, now: u64) -> bool {
        if now < self.next_poll_at {
            return false;
        }
        self.next_poll_at = now + FIRST_RETRY_MS;
        true
    }

    /// Whether a page is to be requested from a member now. Nothing is on its way from a member that is not heard: it is
    /// asked at once when it is heard again.
    pub fn poll_source(&mut self, now: u64, disk: u64, is_heard: bool) -> bool {
        let copy = self.copies.entry(disk).or_default();
        if !is_heard {
            copy.retries = 0;
            copy.requested_at = None;
        }
        let is_due = copy.is_due(now);
        if is_due {
            copy.retries += u32::from(copy.requested_at.is_some());
        }
        is_due
    }

    /// The next page is requested from a member now. Returns the key after which it begins.
    pub fn start_request(&mut self, now: u64, disk: u64) -> String {
        let copy = self.copies.entry(disk).or_default();
        copy.requested_at = Some(now);
        copy.after.clone()
    }

    /// Takes a page of a member's replica. Each page may be of its own time, as long as the member was in the set by
    /// then.
    pub fn record_page(&mut self, page: ReplicaPage) -> PageStep {
        let copy = self.copies.entry(page.disk).or_default();
        if copy.is_complete || copy.after != page.after {
            return PageStep::Ignored;
        }
        copy.floors = copy.floors.max(page.claim_floors);
        copy.is_complete = page.is_last;
        if let Some((last, _)) = page.registers.last() {
            copy.after = last.clone();
        }
        copy.registers.extend(page.registers);
        if page.is_last {
            PageStep::Complete
        } else {
            PageStep::RequestNext
        }
    }

    /// Whether enough copies are complete: of a majority of the other members, or of a majority of the set before, all of
    /// which are in this set now. Either shares a member with every majority that committed anything under the set
    /// before.
    pub fn are_sufficient(&self, set: &VoterSet, previous: Option<&VoterSet>) -> bool {
        let is_complete = |disk: u64| self.copies.get(&disk).is_some_and(|copy| copy.is_complete);
        let count = |set: &VoterSet| {
            let voters = set.voters.iter();
            voters.filter(|voter| is_complete(voter.disk)).count()
        };
        let others = set.voters.len() - 1;
        count(set) > others / 2 || previous.is_some_and(|set| count(set) >= set.majority())
    }

    /// All that the complete copies hold. Nothing is kept.
    pub fn take_merged(&mut self) -> (ClaimFloors, Vec<(String, RegisterState)>) {
        let copies = std::mem::take(&mut self.copies).into_values();
        let complete: Vec<ReplicaCopy> = copies.filter(|copy| copy.is_complete).collect();
        let floors = complete
            .iter()
            .fold(ClaimFloors::default(), |floors, copy| {
                floors.max(copy.floors)
            });
        let registers = complete.into_iter().map(|copy| copy.registers).collect();
        (floors, merge_replicas(registers))
    }
}
