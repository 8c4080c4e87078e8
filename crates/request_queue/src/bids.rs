use crate::message::RankCount;
use configuration::PeerRef;
use std::collections::BTreeMap;

/// Seats lent to one front of which it has not yet said that it saw them.
const AWARDED_MAX: usize = 4_096;

#[derive(Debug)]
pub(crate) struct StandingBid {
    pub from: PeerRef,
    pub stamp: u64,
    pub heard_at: u64,
    pub ranks: Vec<RankCount>,
}

/// Tickets that were bid for, by rank, and the highest seat number seen by then.
type SentBid = (Vec<(u8, u32)>, u64);

/// Bids that came in from other fronts, and what was lent to and seen from each.
#[derive(Debug, Default)]
pub(crate) struct BidTable {
    /// By function and bidder.
    bids: BTreeMap<String, BTreeMap<String, StandingBid>>,
    /// Number of the last seat lent to each front, and for which function.
    awarded: BTreeMap<PeerRef, Vec<(u64, String)>>,
    last: BTreeMap<String, u64>,
    /// Highest seat number seen from each keeper.
    seen: BTreeMap<PeerRef, u64>,
    /// The life of each keeper that was heard last.
    lives: BTreeMap<String, u64>,
    /// Newest stamp of each front's list of held seats.
    pub holds_stamps: BTreeMap<PeerRef, u64>,
    /// What was last bid, by function and keeper, and the highest seat number seen by then.
    pub sent: BTreeMap<(String, String), SentBid>,
}

impl BidTable {
    pub fn last_award(&self, front: &str) -> u64 {
        self.last.get(front).copied().unwrap_or(0)
    }

    pub fn note_award(&mut self, front: &PeerRef, seat_no: u64, function: &str) {
        self.last.insert(front.name.clone(), seat_no);
        let awarded = self.awarded.entry(front.clone()).or_default();
        awarded.push((seat_no, function.to_string()));
        if awarded.len() > AWARDED_MAX {
            awarded.remove(0);
        }
    }

    /// The front has seen all seats up to this number.
    pub fn note_seen(&mut self, front: &PeerRef, seen_award: u64) {
        if let Some(awarded) = self.awarded.get_mut(front) {
            awarded.retain(|(seat_no, _)| *seat_no > seen_award);
        }
    }

    /// Takes a bid in; seats lent since the bidder last looked count against it.
    pub fn take_in(&mut self, function: &str, seen_award: u64, mut bid: StandingBid) {
        let front = bid.from.name.clone();
        let known = self.bids.get(function).and_then(|bids| bids.get(&front));
        if known.is_some_and(|known| known.from == bid.from && known.stamp > bid.stamp) {
            return;
        }
        self.note_seen(&bid.from, seen_award);
        bid.ranks.retain(|count| count.count > 0);
        let awarded = self.awarded.get(&bid.from).into_iter().flatten();
        let unseen = awarded.filter(|(_, name)| name == function).count();
        for _ in 0..unseen {
            drop_one(&mut bid.ranks);
        }
        let bids = self.bids.entry(function.to_string()).or_default();
        if bid.ranks.is_empty() {
            bids.remove(&front);
        } else {
            bids.insert(front, bid);
        }
        if bids.is_empty() {
            self.bids.remove(function);
        }
    }

    /// Bids for a function that were heard since a time.
    pub fn of(&self, function: &str, since: u64) -> impl Iterator<Item = &StandingBid> {
        let bids = self
            .bids
            .get(function)
            .into_iter()
            .flat_map(BTreeMap::values);
        bids.filter(move |bid| bid.heard_at >= since)
    }

    /// One ticket of a rank of this bidder was served.
    pub fn serve(&mut self, function: &str, front: &str, rank: u8) -> Option<u64> {
        let bid = self.bids.get_mut(function)?.get_mut(front)?;
        if let Some(count) = bid.ranks.iter_mut().find(|count| count.rank == rank) {
            count.count -= 1;
        }
        bid.ranks.retain(|count| count.count > 0);
        Some(bid.stamp)
    }

    pub fn forget_old(&mut self, since: u64) {
        self.bids.retain(|_, bids| {
            bids.retain(|_, bid| bid.heard_at >= since && !bid.ranks.is_empty());
            !bids.is_empty()
        });
    }

    pub fn functions(&self) -> Vec<String> {
        self.bids.keys().cloned().collect()
    }

    /// Keepers that hold a bid of this front for the function.
    pub fn sent_to(&self, function: &str) -> Vec<String> {
        let sent = self.sent.keys().filter(|(name, _)| name == function);
        sent.map(|(_, keeper)| keeper.clone()).collect()
    }

    /// A keeper's life that was heard last, and the highest seat number seen from it. Numbers of
    /// two lives must not be compared.
    pub fn seen(&self, keeper: &str) -> (u64, u64) {
        let life = self.lives.get(keeper).copied().unwrap_or_default();
        let peer = PeerRef {
            name: keeper.to_string(),
            incarnation: life,
        };
        (life, self.seen.get(&peer).copied().unwrap_or(0))
    }

    /// Whether a seat is newer than all seen from its keeper.
    pub fn see(&mut self, keeper: &PeerRef, seat_no: u64) -> bool {
        self.lives.insert(keeper.name.clone(), keeper.incarnation);
        let seen = self.seen.entry(keeper.clone()).or_default();
        let is_new = seat_no > *seen;
        *seen = seat_no.max(*seen);
        is_new
    }

    /// Forgets fronts that are not on the roster.
    pub fn keep_only(&mut self, roster: &[String]) {
        self.seen.retain(|peer, _| roster.contains(&peer.name));
        self.lives.retain(|name, _| roster.contains(name));
        self.awarded
            .retain(|peer, awarded| roster.contains(&peer.name) && !awarded.is_empty());
        self.holds_stamps
            .retain(|peer, _| roster.contains(&peer.name));
        self.sent.retain(|(_, name), _| roster.contains(name));
    }
}

fn drop_one(ranks: &mut Vec<RankCount>) {
    if let Some(first) = ranks.first_mut() {
        first.count -= 1;
        if first.count == 0 {
            ranks.remove(0);
        }
    }
}
