//! Formation of the first voter set of an epoch, in a new system or in one that lost all its disks.

use configuration::Bounds;
use register::{VoterRef, VoterSet};

/// What a peer reported about its voter.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerStatus {
    /// Address at which the peer was polled.
    pub address: String,
    /// Id of the voter's disk.
    pub disk: u64,
    /// The voter's set; epoch 0 if the voter is empty.
    pub set: VoterSet,
    /// Newest epoch of which a gateway reported a value to this peer; 0 if none did.
    pub gateway_epoch: u64,
}

/// What the gateways still know of earlier epochs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GatewayEvidence {
    /// Newest epoch of which a gateway has a value; 0 if none has any.
    pub epoch: u64,
    /// Whether enough gateways reported; see [`GatewayEvidence::is_sufficient`].
    pub is_majority: bool,
}

impl GatewayEvidence {
    /// Whether reports from `reporting` gateways suffice in a membership of `members`. Peers that lost their disks report
    /// nothing, so the majority is one of all members. If at most as many members are missing as there are seeds, nobody else
    /// is left to report.
    pub fn is_sufficient(reporting: usize, members: usize, seeds: usize) -> bool {
        reporting > 0 && (reporting > members / 2 || reporting + seeds >= members)
    }
}

/// Median of this machine's wall clock and those of others, in milliseconds. `offsets` are the leads of the others over `own`.
/// A floor taken from a single clock that was set back would admit keys from before the loss.
pub fn median_wall_clock(own: u64, offsets: impl Iterator<Item = i64>) -> u64 {
    let mut offsets: Vec<i64> = offsets.chain([0]).collect();
    offsets.sort_unstable();
    own.saturating_add_signed(offsets[offsets.len() / 2])
}

/// The next step of a voter towards the first set of an epoch.
#[derive(Clone, Debug, PartialEq)]
pub enum BootstrapStep {
    /// Nothing to do for now.
    Wait,
    /// Form this set and send it to its members.
    Form {
        /// The first set of the new epoch.
        set: VoterSet,
        /// Claims issued before this time, in milliseconds of the wall clock, are rejected.
        refused_before: u64,
    },
    /// Send the set again to these members, which are named in it but still empty.
    Resend {
        /// The first set of the epoch.
        set: VoterSet,
        /// Addresses of the empty members.
        addresses: Vec<String>,
    },
}

/// Input of a decision about an epoch.
#[derive(Clone, Copy, Debug)]
pub struct BootstrapView<'a> {
    /// Boot-time clock of this machine, in milliseconds.
    pub now: u64,
    /// Median wall clock, in milliseconds; see [`median_wall_clock`].
    pub wall: u64,
    /// Time bounds from the configuration.
    pub bounds: &'a Bounds,
    /// Id of this voter's disk.
    pub own_disk: u64,
    /// Whether this machine is the first seed, the only one that may form a set.
    pub is_first_seed: bool,
    /// Number of seeds.
    pub seeds: usize,
    /// The seeds that responded, including this one.
    pub peers: &'a [PeerStatus],
    /// What the gateways know; `None` if no gateway has reported.
    pub evidence: Option<GatewayEvidence>,
}

/// Begins an epoch: once all seeds report that they are empty, the first one forms a set. A state machine without I/O.
#[derive(Debug, Default)]
pub struct Bootstrap {
    /// Since when all seeds have reported that they are empty.
    empty_since: Option<u64>,
    /// Since when the epoch is known to have no values.
    no_values_since: Option<u64>,
}

impl Bootstrap {
    /// Decides the next step.
    pub fn decide(&mut self, view: &BootstrapView) -> BootstrapStep {
        let sets = view.peers.iter().map(|peer| &peer.set);
        let newest = sets.max_by_key(|set| set.version());
        if let Some(newest) = newest.filter(|set| set.epoch > 0) {
            self.empty_since = None;
            return resend(view.own_disk, newest, view.peers);
        }
        let reported_epoch = view.peers.iter().map(|peer| peer.gateway_epoch).max();
        let last_epoch = view.evidence.map_or(0, |evidence| evidence.epoch);
        // An epoch must not begin empty if there was one before: a seed that has just started, or is cut off from the gateways,
        // receives no reports from them for a while, but other peers may have.
        if last_epoch < reported_epoch.unwrap_or(0) {
            return BootstrapStep::Wait;
        }
        if !view.is_first_seed || view.peers.len() < view.seeds {
            self.empty_since = None;
            return BootstrapStep::Wait;
        }
        if !self.has_waited(view) {
            return BootstrapStep::Wait;
        }
        // This seed has waited for the gateways; waiting again for values would add nothing.
        self.no_values_since = Some(view.now.saturating_sub(view.bounds.return_ms / 2));
        form(view, last_epoch)
    }

    /// Whether the seeds have been empty for long enough: at least a lease, and longer if some gateways reported, but too few.
    fn has_waited(&mut self, view: &BootstrapView) -> bool {
        let waited = view.now - *self.empty_since.get_or_insert(view.now);
        let lease = view.bounds.lease_ms();
        let timeout = match view.evidence {
            None => lease,
            Some(_) => view.bounds.return_ms / 2,
        };
        let is_sufficient = view.evidence.is_some_and(|evidence| evidence.is_majority);
        waited >= lease && (is_sufficient || waited >= timeout)
    }

    /// Whether an epoch that has no values yet may be restored from the gateways: at once if a majority of them reported,
    /// otherwise after half the return bound.
    pub fn may_restore_values(&mut self, now: u64, bounds: &Bounds, is_majority: bool) -> bool {
        let since = *self.no_values_since.get_or_insert(now);
        is_majority || since + bounds.return_ms / 2 <= now
    }
}

fn form(view: &BootstrapView, last_epoch: u64) -> BootstrapStep {
    let voters = view.peers.iter().map(|peer| VoterRef {
        disk: peer.disk,
        address: peer.address.clone(),
    });
    let set = VoterSet {
        epoch: last_epoch + 1,
        number: 1,
        voters: voters.collect(),
    };
    // Keys that callers may have issued before the loss are rejected, since it is unknown whether their work ran. A caller's
    // clock may be ahead by as much as a change may take.
    let refused_before = match last_epoch {
        0 => 0,
        _ => view.wall + view.bounds.change_ms + view.bounds.slack_ms(),
    };
    BootstrapStep::Form {
        set,
        refused_before,
    }
}

/// Sends an epoch's first set again to members that are still empty. Their disk is named in the set, so they have never taken
/// part in the epoch. Only a voter that has adopted the set does so, since it knows the floor for claims. Without this, a lost
/// message could leave the set without a majority forever.
fn resend(own_disk: u64, set: &VoterSet, peers: &[PeerStatus]) -> BootstrapStep {
    let mut own_status = peers.iter().filter(|peer| peer.disk == own_disk);
    if !own_status.any(|peer| peer.set.version() == set.version()) {
        return BootstrapStep::Wait;
    }
    let empty = peers
        .iter()
        .filter(|peer| peer.set.epoch == 0 && set.contains_disk(peer.disk));
    let addresses: Vec<String> = empty.map(|peer| peer.address.clone()).collect();
    if set.number != 1 || addresses.is_empty() {
        return BootstrapStep::Wait;
    }
    BootstrapStep::Resend {
        set: set.clone(),
        addresses,
    }
}
