use configuration::Bounds;
use register::{VoterRef, VoterSet};

/// What a core said of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerStatus {
    /// Address at which it was asked.
    pub address: String,
    /// Id of its disk.
    pub disk: u64,
    /// Its set; epoch 0 where it is empty.
    pub set: VoterSet,
    /// The newest epoch of which a front told it that it holds a value; 0 where none did.
    pub gateway_epoch: u64,
}

/// What the fronts still hold of earlier eras.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GatewayEvidence {
    /// The newest epoch of which they hold a value; 0 where they hold none.
    pub epoch: u64,
    /// Whether a majority of the roster was heard, or all fronts on it.
    pub is_majority: bool,
}

impl GatewayEvidence {
    /// Whether so many fronts of a roster tell enough. Cores that lost their disks bear no witness, so
    /// all members count for the majority; but there is nobody else to hear where all but as many as
    /// there are cores were heard.
    pub fn is_sufficient(fronts: usize, roster: usize, cores: usize) -> bool {
        fronts > 0 && (fronts > roster / 2 || fronts + cores >= roster)
    }
}

/// The wall time that most clocks agree on, from this core's own and how far others are ahead of it.
/// A floor by one clock alone that was set back would let in keys from before the loss.
pub fn median_wall_clock(own: u64, ahead: impl Iterator<Item = i64>) -> u64 {
    let mut ahead: Vec<i64> = ahead.chain([0]).collect();
    ahead.sort_unstable();
    own.saturating_add_signed(ahead[ahead.len() / 2])
}

/// What a core does about the set's first founding in an epoch.
#[derive(Clone, Debug, PartialEq)]
pub enum BootstrapStep {
    /// Nothing, or not yet.
    Wait,
    /// Form this set, refusing keys issued before a time, and tell its members.
    Form(VoterSet, u64),
    /// Tell these members again that the set was formed: they are named in it and are still empty.
    Resend(VoterSet, Vec<String>),
}

/// How an epoch begins: where all seeds say that they are empty, the first of them forms a set. A
/// pure machine.
#[derive(Debug, Default)]
pub struct Bootstrap {
    empty_since: Option<u64>,
    blank_since: Option<u64>,
}

impl Bootstrap {
    /// Decides the next step. `now` is this core's boot-time clock, `wall` its wall clock, and `own` the
    /// id of its disk.
    #[allow(clippy::too_many_arguments)]
    pub fn decide(
        &mut self,
        now: u64,
        wall: u64,
        bounds: &Bounds,
        own: u64,
        is_first: bool,
        seeds: usize,
        heard: &[PeerStatus],
        held: Option<GatewayEvidence>,
    ) -> BootstrapStep {
        let sets = heard.iter().map(|one| &one.set);
        let newest = sets
            .max_by_key(|set| set.version())
            .cloned()
            .unwrap_or_default();
        if newest.epoch > 0 {
            self.empty_since = None;
            return tell_again(own, &newest, heard);
        }
        let told = heard.iter().map(|one| one.gateway_epoch).max();
        let held_epoch = held.map_or(0, |held| held.epoch);
        // An epoch must not begin from nothing where there was one before: whoever has just woken, or
        // is cut off from the fronts, hears none of them for a while.
        if held_epoch < told.unwrap_or(0) {
            return BootstrapStep::Wait;
        }
        if !is_first || heard.len() < seeds {
            self.empty_since = None;
            return BootstrapStep::Wait;
        }
        let waited = now - *self.empty_since.get_or_insert(now);
        let is_complete = held.is_some_and(|held| held.is_majority);
        let patience = match held {
            None => bounds.lease_ms(),
            Some(_) => bounds.return_ms / 2,
        };
        if waited < bounds.lease_ms() || (!is_complete && waited < patience) {
            return BootstrapStep::Wait;
        }
        // It has waited for fronts now; the values are not waited for a second time.
        self.blank_since = Some(now.saturating_sub(bounds.return_ms / 2));
        let before = held.map_or(0, |held| held.epoch);
        let voters = heard.iter().map(|one| VoterRef {
            disk: one.disk,
            address: one.address.clone(),
        });
        let set = VoterSet {
            epoch: before + 1,
            number: 1,
            voters: voters.collect(),
        };
        // Keys that callers may have issued before the loss are refused: whether their work ran
        // cannot be known here. A caller's clock may be ahead by as much as a change may take.
        let floor = match before {
            0 => 0,
            _ => wall + bounds.change_ms + bounds.slack_ms(),
        };
        BootstrapStep::Form(set, floor)
    }

    /// Whether an epoch that has no values yet may start from what the fronts hold: at once where a
    /// majority of the roster was heard, else after half the return bound.
    pub fn may_restore_values(&mut self, now: u64, bounds: &Bounds, is_majority: bool) -> bool {
        let since = *self.blank_since.get_or_insert(now);
        is_majority || since + bounds.return_ms / 2 <= now
    }
}

/// Members that are named in an epoch's first set by their disk and are still empty never took part in
/// the epoch, so they may be told of it again, by one that has taken it and knows its floor. Otherwise a
/// lost word would leave the set without a majority for ever.
fn tell_again(own: u64, set: &VoterSet, heard: &[PeerStatus]) -> BootstrapStep {
    let mut mine = heard.iter().filter(|one| one.disk == own);
    if !mine.any(|one| one.set.version() == set.version()) {
        return BootstrapStep::Wait;
    }
    let is_named = |one: &&PeerStatus| {
        let mut voters = set.voters.iter();
        one.set.epoch == 0 && voters.any(|voter| voter.disk == one.disk)
    };
    let empty = heard.iter().filter(is_named);
    let empty: Vec<String> = empty.map(|one| one.address.clone()).collect();
    if set.number != 1 || empty.is_empty() {
        return BootstrapStep::Wait;
    }
    BootstrapStep::Resend(set.clone(), empty)
}
