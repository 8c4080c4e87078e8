//! The controllers that a redirector knows, without I/O.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of known members; limits how many an incorrect heartbeat can add.
const MEMBERS_MAX: usize = 16;
/// Milliseconds after which a member is removed that neither sent a heartbeat nor was listed by another member.
const MEMBER_TIMEOUT_MS: u64 = 5_000;
/// Milliseconds between polls of a member that does not respond.
const SILENT_POLL_INTERVAL_MS: u64 = 1_000;

/// The known state of a member.
#[derive(Clone, Debug, Default)]
struct KnownMember {
    /// Its newest heartbeat; cleared when its link ends.
    heartbeat: Option<LastHeartbeat>,
    /// When another member or the settings last listed it, in milliseconds since the start.
    last_listed_at: u64,
    last_polled_at: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct LastHeartbeat {
    at: u64,
    is_current: bool,
}

/// The known members of the consensus group, by the address on which they listen for other daemons.
#[derive(Clone, Debug)]
pub struct MemberDirectory {
    own_address: SocketAddr,
    poll_interval_ms: u64,
    freshness_ms: u64,
    seeds: Vec<SocketAddr>,
    members: BTreeMap<SocketAddr, KnownMember>,
}

impl MemberDirectory {
    /// Creates a directory of the seeds. Members are polled every `poll_interval_ms`, and a heartbeat is valid for
    /// `freshness_ms`.
    pub fn new(
        own_address: SocketAddr,
        seeds: Vec<SocketAddr>,
        poll_interval_ms: u64,
        freshness_ms: u64,
    ) -> Self {
        let mut directory = Self {
            own_address,
            poll_interval_ms,
            freshness_ms,
            seeds: Vec::new(),
            members: BTreeMap::new(),
        };
        directory.set_seeds(0, seeds);
        directory
    }

    /// Replaces the seeds after a change of the settings. Members that are no longer seeds stay until they time out.
    pub fn set_seeds(&mut self, now: u64, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        for seed in self.seeds.clone() {
            self.record_listed(now, seed);
        }
    }

    fn record_listed(&mut self, now: u64, address: SocketAddr) {
        if address == self.own_address {
            return;
        }
        if self.members.len() >= MEMBERS_MAX && !self.members.contains_key(&address) {
            return;
        }
        self.members.entry(address).or_default().last_listed_at = now;
    }

    /// Handles a heartbeat, which lists the members that its sender knows. A heartbeat from an unknown sender is ignored.
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
            self.record_listed(now, address);
        }
    }

    /// Handles the end of the link to a member: its heartbeat is no longer valid.
    pub fn on_link_ended(&mut self, address: SocketAddr) {
        if let Some(member) = self.members.get_mut(&address) {
            member.heartbeat = None;
        }
    }

    /// Members whose newest heartbeat is still valid and reported contact with a majority.
    pub fn members_in_contact(&self, now: u64) -> Vec<SocketAddr> {
        let in_contact = self.members.iter().filter(|(_, member)| {
            let heartbeat = member.heartbeat;
            heartbeat.is_some_and(|heartbeat| {
                heartbeat.is_current && now < heartbeat.at + self.freshness_ms
            })
        });
        in_contact.map(|(address, _)| *address).collect()
    }

    /// Returns the members to poll now, and records them as polled.
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
            member.last_polled_at.is_none_or(|at| now >= at + interval)
        });
        due.map(|(address, member)| {
            member.last_polled_at = Some(now);
            *address
        })
        .collect()
    }

    /// Removes members that have timed out, and returns them. Seeds are kept.
    pub fn remove_gone(&mut self, now: u64) -> Vec<SocketAddr> {
        let seeds = &self.seeds;
        let timed_out = self.members.iter().filter(|(address, member)| {
            let last_heartbeat_at = member.heartbeat.map_or(0, |heartbeat| heartbeat.at);
            let is_old = now >= last_heartbeat_at.max(member.last_listed_at) + MEMBER_TIMEOUT_MS;
            is_old && !seeds.contains(address)
        });
        let timed_out: Vec<SocketAddr> = timed_out.map(|(address, _)| *address).collect();
        for address in &timed_out {
            self.members.remove(address);
        }
        timed_out
    }
}
