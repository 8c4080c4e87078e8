//! How the voters of a new system, or of one that lost all its disks, form the first set of an epoch.

use configuration::Bounds;
use register::{VoterRef, VoterSet};

/// What a peer said of its voter.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerStatus {
    /// Address at which it was asked.
    pub address: String,
    /// Id of its disk.
    pub disk: u64,
    /// Its set; epoch 0 where it is empty.
    pub set: VoterSet,
    /// The newest epoch of which a gateway told it that it holds a value; 0 where none did.
    pub gateway_epoch: u64,
}

/// What the gateways still hold of earlier epochs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GatewayEvidence {
    /// The newest epoch of which they hold a value; 0 where they hold none.
    pub epoch: u64,
    /// Whether enough gateways were heard; see [`GatewayEvidence::is_sufficient`].
    pub is_majority: bool,
}

impl GatewayEvidence {
    /// Whether so many gateways of a membership tell enough. Peers that lost their disks bear no witness, so all members count
    /// for the majority; but there is nobody else to hear where all but as many as there are seeds were heard.
    pub fn is_sufficient(heard: usize, members: usize, seeds: usize) -> bool {
        heard > 0 && (heard > members / 2 || heard + seeds >= members)
    }
}

/// The median of this machine's wall clock and those of others, in milliseconds. `offsets` tells how far others are ahead. A
/// floor by one clock alone that was set back would let in keys from before the loss.
pub fn median_wall_clock(own: u64, offsets: impl Iterator<Item = i64>) -> u64 {
    let mut offsets: Vec<i64> = offsets.chain([0]).collect();
    offsets.sort_unstable();
    own.saturating_add_signed(offsets[offsets.len() / 2])
}

/// What a voter does next about the first set of an epoch.
#[derive(Clone, Debug, PartialEq)]
pub enum BootstrapStep {
    /// Nothing, or not yet.
    Wait,
    /// Form this set and tell its members.
    Form {
        /// The first set of the new epoch.
        set: VoterSet,
        /// Claims issued before this wall time, in milliseconds, are refused.
        refused_before: u64,
    },
    /// Tell these members again that the set was formed: they are named in it and are still empty.
    Resend {
        /// The first set of the epoch.
        set: VoterSet,
        /// Addresses of the empty members.
        addresses: Vec<String>,
    },
}

/// What a decision about an epoch is based on.
#[derive(Clone, Copy, Debug)]
pub struct BootstrapView<'a> {
    /// Boot-time clock of this machine in milliseconds.
    pub now: u64,
    /// Median wall clock in milliseconds; see [`median_wall_clock`].
    pub wall: u64,
    /// The times that the configuration bounds.
    pub bounds: &'a Bounds,
    /// Id of this voter's disk.
    pub own_disk: u64,
    /// Whether this machine is the first of the seeds, which alone forms a set.
    pub is_first_seed: bool,
    /// How many seeds there are.
    pub seeds: usize,
    /// The seeds that answered, this one among them.
    pub peers: &'a [PeerStatus],
    /// What the gateways hold; none where no gateway was heard.
    pub evidence: Option<GatewayEvidence>,
}

/// How an epoch begins: where all seeds say that they are empty, the first of them forms a set. A pure machine.
#[derive(Debug, Default)]
pub struct Bootstrap {
    /// Since when all seeds were heard to be empty.
    empty_since: Option<u64>,
    /// Since when the epoch is known to have no values.
    blank_since: Option<u64>,
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
        let told_epoch = view.peers.iter().map(|peer| peer.gateway_epoch).max();
        let held_epoch = view.evidence.map_or(0, |evidence| evidence.epoch);
        // An epoch must not begin from nothing where there was one before: whoever has just woken, or is cut off from the
        // gateways, hears none of them for a while.
        if held_epoch < told_epoch.unwrap_or(0) {
            return BootstrapStep::Wait;
        }
        if !view.is_first_seed || view.peers.len() < view.seeds {
            self.empty_since = None;
            return BootstrapStep::Wait;
        }
        if !self.has_waited(view) {
            return BootstrapStep::Wait;
        }
        // It has waited for gateways now; the values are not waited for a second time.
        self.blank_since = Some(view.now.saturating_sub(view.bounds.return_ms / 2));
        form(view, held_epoch)
    }

    /// Whether the seeds have been empty for long enough: for a lease at least, and longer where too few gateways were heard.
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

    /// Whether an epoch that has no values yet may start from what the gateways hold: at once where a majority of them was
    /// heard, else after half the return bound.
    pub fn may_restore_values(&mut self, now: u64, bounds: &Bounds, is_majority: bool) -> bool {
        let since = *self.blank_since.get_or_insert(now);
        is_majority || since + bounds.return_ms / 2 <= now
    }
}

fn form(view: &BootstrapView, held_epoch: u64) -> BootstrapStep {
    let voters = view.peers.iter().map(|peer| VoterRef {
        disk: peer.disk,
        address: peer.address.clone(),
    });
    let set = VoterSet {
        epoch: held_epoch + 1,
        number: 1,
        voters: voters.collect(),
    };
    // Keys that callers may have issued before the loss are refused: whether their work ran cannot be known here. A caller's
    // clock may be ahead by as much as a change may take.
    let refused_before = match held_epoch {
        0 => 0,
        _ => view.wall + view.bounds.change_ms + view.bounds.slack_ms(),
    };
    BootstrapStep::Form {
        set,
        refused_before,
    }
}

/// Members that are named in an epoch's first set by their disk and are still empty never took part in the epoch, so they may
/// be told of it again, by one that has taken it and knows its floor. Otherwise a lost message would leave the set without a
/// majority for ever.
fn resend(own_disk: u64, set: &VoterSet, peers: &[PeerStatus]) -> BootstrapStep {
    let mut own = peers.iter().filter(|peer| peer.disk == own_disk);
    if !own.any(|peer| peer.set.version() == set.version()) {
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
