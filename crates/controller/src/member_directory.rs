//! What a daemon without a disk knows of the daemons that keep the configuration. A pure state machine.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Most members that are known at once.
const MEMBERS_MAX: usize = 16;
/// Milliseconds after which a member is forgotten that was neither heard nor named by another.
const FORGET_MS: u64 = 5_000;
/// Milliseconds between questions to a member that does not answer.
const SILENT_PAUSE_MS: u64 = 1_000;

/// What a member said of itself last.
#[derive(Clone, Debug, Default)]
struct Member {
    /// When it was heard, and whether it was in contact with a majority then.
    heard: Option<Heard>,
    /// When a member named it, or the settings did.
    named_at: u64,
    asked_at: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: u64,
    is_current: bool,
}

/// The members of the consensus group that are known, by the address at which they listen for other daemons.
#[derive(Clone, Debug)]
pub struct MemberDirectory {
    own: SocketAddr,
    pause_ms: u64,
    fresh_ms: u64,
    seeds: Vec<SocketAddr>,
    members: BTreeMap<SocketAddr, Member>,
}

impl MemberDirectory {
    /// Knows the seeds alone. Members are asked after each pause, and what one said counts while it is fresh.
    pub fn new(own: SocketAddr, seeds: Vec<SocketAddr>, pause_ms: u64, fresh_ms: u64) -> Self {
        let mut directory = Self {
            own,
            pause_ms,
            fresh_ms,
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

    /// A member has answered, and named the members that it knows.
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
        member.heard = Some(Heard { at, is_current });
        for address in members.take(MEMBERS_MAX) {
            self.name(now, address);
        }
    }

    /// The link to a member has ended: what it said counts no more.
    pub fn on_link_ended(&mut self, address: SocketAddr) {
        if let Some(member) = self.members.get_mut(&address) {
            member.heard = None;
        }
    }

    /// Members that are alive and in contact with a majority, as far as they said so lately.
    pub fn current(&self, now: u64) -> Vec<SocketAddr> {
        let current = self.members.iter().filter(|(_, member)| {
            let heard = member.heard;
            heard.is_some_and(|heard| heard.is_current && now < heard.at + self.fresh_ms)
        });
        current.map(|(address, _)| *address).collect()
    }

    /// Members to ask now; they are noted as asked.
    pub fn due(&mut self, now: u64) -> Vec<SocketAddr> {
        let (pause, fresh) = (self.pause_ms, self.fresh_ms);
        let due = self.members.iter_mut().filter(|(_, member)| {
            let is_heard = member.heard.is_some_and(|heard| now < heard.at + fresh);
            let is_early = now < SILENT_PAUSE_MS;
            let pause = if is_heard || is_early {
                pause
            } else {
                SILENT_PAUSE_MS
            };
            member.asked_at.is_none_or(|at| now >= at + pause)
        });
        due.map(|(address, member)| {
            member.asked_at = Some(now);
            *address
        })
        .collect()
    }

    /// Forgets members that are gone, and returns them.
    pub fn forget(&mut self, now: u64) -> Vec<SocketAddr> {
        let seeds = &self.seeds;
        let gone = self.members.iter().filter(|(address, member)| {
            let known_at = member.heard.map_or(0, |heard| heard.at);
            let is_old = now >= known_at.max(member.named_at) + FORGET_MS;
            is_old && !seeds.contains(address)
        });
        let gone: Vec<SocketAddr> = gone.map(|(address, _)| *address).collect();
        for address in &gone {
            self.members.remove(address);
        }
        gone
    }
}
