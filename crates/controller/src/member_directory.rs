//! What a redirector knows of the controllers, without I/O.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Most members that are known at once; it bounds what a wrong heartbeat can add.
const MEMBERS_MAX: usize = 16;
/// Milliseconds after which a member is removed that neither sent a heartbeat nor was named by another.
const MEMBER_TIMEOUT_MS: u64 = 5_000;
/// Milliseconds between polls of a member that does not answer.
const SILENT_POLL_INTERVAL_MS: u64 = 1_000;

/// What is known of a member.
#[derive(Clone, Debug, Default)]
struct KnownMember {
    /// Its newest heartbeat, while its link lasts.
    heartbeat: Option<LastHeartbeat>,
    /// When another member or the settings named it, in milliseconds since the start.
    named_at: u64,
    polled_at: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct LastHeartbeat {
    at: u64,
    is_current: bool,
}

/// The members of the consensus group that are known, by the address at which they listen for other daemons.
#[derive(Clone, Debug)]
pub struct MemberDirectory {
    own: SocketAddr,
    poll_interval_ms: u64,
    freshness_ms: u64,
    seeds: Vec<SocketAddr>,
    members: BTreeMap<SocketAddr, KnownMember>,
}

impl MemberDirectory {
    /// Knows the seeds alone. Members are polled at the interval, and a heartbeat counts for `freshness_ms`.
    pub fn new(
        own: SocketAddr,
        seeds: Vec<SocketAddr>,
        poll_interval_ms: u64,
        freshness_ms: u64,
    ) -> Self {
        let mut directory = Self {
            own,
            poll_interval_ms,
            freshness_ms,
            seeds: Vec::new(),
            members: BTreeMap::new(),
        };
        directory.set_seeds(0, seeds);
        directory
    }

    /// The settings name these seeds from now on.
    pub fn set_seeds(&mut self, now: u64, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        for seed in self.seeds.clone() {
            self.name(now, seed);
        }
    }

    fn name(&mut self, now: u64, address: SocketAddr) {
        if address == self.own {
            return;
        }
        if self.members.len() >= MEMBERS_MAX && !self.members.contains_key(&address) {
            return;
        }
        self.members.entry(address).or_default().named_at = now;
    }

    /// A member has sent a heartbeat, which names the members that it knows. One from a stranger is ignored.
    pub fn on_heartbeat(
        &mut self,
        now: u64,
        from: SocketAddr,
        is_current: bool,
        members: impl Iterator<Item = SocketAddr>,
    ) {
        let Some(member) = self.members.get_mut(&from) else {
            return;
        };
        let at = now;
        member.heartbeat = Some(LastHeartbeat { at, is_current });
        for address in members.take(MEMBERS_MAX) {
            self.name(now, address);
        }
    }

    /// The link to a member has ended: its heartbeat counts no more.
    pub fn on_link_ended(&mut self, address: SocketAddr) {
        if let Some(member) = self.members.get_mut(&address) {
            member.heartbeat = None;
        }
    }

    /// Members whose newest heartbeat is fresh and said that they are in contact with a majority.
    pub fn members_in_contact(&self, now: u64) -> Vec<SocketAddr> {
        let current = self.members.iter().filter(|(_, member)| {
            let heartbeat = member.heartbeat;
            heartbeat.is_some_and(|heartbeat| {
                heartbeat.is_current && now < heartbeat.at + self.freshness_ms
            })
        });
        current.map(|(address, _)| *address).collect()
    }

    /// Members to poll now; they count as polled from then on.
    pub fn take_due_polls(&mut self, now: u64) -> Vec<SocketAddr> {
        let (poll_interval, freshness) = (self.poll_interval_ms, self.freshness_ms);
        let due = self.members.iter_mut().filter(|(_, member)| {
            let is_fresh = member
                .heartbeat
                .is_some_and(|heartbeat| now < heartbeat.at + freshness);
            let is_early = now < SILENT_POLL_INTERVAL_MS;
            let interval = if is_fresh || is_early {
                poll_interval
            } else {
                SILENT_POLL_INTERVAL_MS
            };
            member.polled_at.is_none_or(|at| now >= at + interval)
        });
        due.map(|(address, member)| {
            member.polled_at = Some(now);
            *address
        })
        .collect()
    }

    /// Removes members that are gone, and returns them. Seeds stay.
    pub fn remove_gone(&mut self, now: u64) -> Vec<SocketAddr> {
        let seeds = &self.seeds;
        let gone = self.members.iter().filter(|(address, member)| {
            let known_at = member.heartbeat.map_or(0, |heartbeat| heartbeat.at);
            let is_old = now >= known_at.max(member.named_at) + MEMBER_TIMEOUT_MS;
            is_old && !seeds.contains(address)
        });
        let gone: Vec<SocketAddr> = gone.map(|(address, _)| *address).collect();
        for address in &gone {
            self.members.remove(address);
        }
        gone
    }
}
