//! Copies of other members' replicas, collected by an empty voter before it votes.

use crate::message::ReplicaPage;
use register::{merge_replicas, ClaimFloors, RegisterState, VoterSet};
use std::collections::BTreeMap;

/// Interval between checks for due page requests, and delay before the first retry of a request, in milliseconds. The
/// retry delay doubles with each request.
const FIRST_RETRY_MS: u64 = 250;
/// Maximum number of doublings of the retry delay.
const MAX_RETRY_DOUBLINGS: u32 = 4;

/// The partial copy of one member's replica.
#[derive(Clone, Debug, Default)]
struct ReplicaCopy {
    floors: ClaimFloors,
    registers: Vec<(String, RegisterState)>,
    /// The last key received.
    after: String,
    is_complete: bool,
    requested_at: Option<u64>,
    /// Number of repeated page requests. A page may take long to transfer and should not be sent many times.
    retries: u32,
}

impl ReplicaCopy {
    fn is_due(&self, now: u64) -> bool {
        let pause = FIRST_RETRY_MS << self.retries.min(MAX_RETRY_DOUBLINGS);
        !self.is_complete && self.requested_at.is_none_or(|at| now >= at + pause)
    }
}

/// Result of a received page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PageStep {
    /// The page was not the requested one.
    Ignored,
    /// The next page should be requested.
    RequestNext,
    /// The copy of this member's replica is complete.
    Complete,
}

/// Copies of other members' replicas by disk. All are made under the newest set and are restarted when the set
/// changes.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaCopies {
    copies: BTreeMap<u64, ReplicaCopy>,
    next_poll_at: u64,
}

impl ReplicaCopies {
    /// Starts without any copies.
    pub fn new(now: u64) -> Self {
        Self {
            copies: BTreeMap::new(),
            next_poll_at: now,
        }
    }

    /// Starts over under a newer set.
    pub fn restart(&mut self, now: u64) {
        self.copies.clear();
        self.next_poll_at = now;
    }

    /// Drops all copies.
    pub fn clear(&mut self) {
        self.copies.clear();
    }

    /// Whether due page requests should be checked now.
    pub fn poll(&mut self, now: u64) -> bool {
        if now < self.next_poll_at {
            return false;
        }
        self.next_poll_at = now + FIRST_RETRY_MS;
        true
    }

    /// Whether a page should be requested from a member now. Nothing can be in transit from a silent member, so the
    /// request is due immediately once the member is heard from again.
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

    /// Records that the next page is being requested from a member. Returns the key after which the page starts.
    pub fn start_request(&mut self, now: u64, disk: u64) -> String {
        let copy = self.copies.entry(disk).or_default();
        copy.requested_at = Some(now);
        copy.after.clone()
    }

    /// Records a page of a member's replica. Pages may be read at different times, as long as the member was in the
    /// set at each of them.
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

    /// Whether enough copies are complete: from a majority of the other members, or from a majority of the previous
    /// set whose members are all in this set now. Either shares a member with every majority that committed a value
    /// under the previous set.
    pub fn are_sufficient(&self, set: &VoterSet, previous: Option<&VoterSet>) -> bool {
        let is_complete = |disk: u64| self.copies.get(&disk).is_some_and(|copy| copy.is_complete);
        let count = |set: &VoterSet| {
            let voters = set.voters.iter();
            voters.filter(|voter| is_complete(voter.disk)).count()
        };
        let others = set.voters.len() - 1;
        count(set) > others / 2 || previous.is_some_and(|set| count(set) >= set.majority())
    }

    /// Takes the merged state of all complete copies, and drops the copies.
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
