use crate::action::Ticket;
use crate::message::RankCount;
use std::collections::BTreeMap;

/// One in so many tickets is taken by age alone, so that low ranks do not starve.
pub(crate) const AGEING_SHARE: u64 = 8;

/// What became of a ticket that asked to be held.
#[derive(Debug, PartialEq)]
pub enum Admission {
    /// It is held.
    Held,
    /// It is held, and this one of a lower rank was shed for it.
    HeldFor(Ticket),
    /// It is not held.
    Full(Ticket),
}

/// Tickets of one function that wait for a seat, by rank and then by age.
#[derive(Debug, Default)]
pub struct Holding {
    tickets: BTreeMap<(u8, u64, u64), Ticket>,
    entered: u64,
    taken: u64,
}

impl Holding {
    /// How many wait.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Holds a ticket, where need be in place of the youngest of the lowest rank.
    pub fn admit(&mut self, ticket: Ticket, most: usize) -> Admission {
        let mut shed = None;
        if self.tickets.len() >= most {
            let lowest = self.tickets.keys().next_back().copied();
            let Some(key) = lowest.filter(|(rank, ..)| *rank > ticket.rank) else {
                return Admission::Full(ticket);
            };
            shed = self.tickets.remove(&key);
        }
        self.entered += 1;
        self.tickets
            .insert((ticket.rank, ticket.arrived, self.entered), ticket);
        match shed {
            Some(shed) => Admission::HeldFor(shed),
            None => Admission::Held,
        }
    }

    /// Takes the next ticket: by rank, and every so often the oldest of all.
    pub fn take(&mut self) -> Option<Ticket> {
        self.taken += 1;
        if self.taken.is_multiple_of(AGEING_SHARE) {
            let oldest = self.tickets.keys().min_by_key(|(_, arrived, _)| *arrived);
            let key = oldest.copied()?;
            return self.tickets.remove(&key);
        }
        self.tickets.pop_first().map(|(_, ticket)| ticket)
    }

    /// Takes out a ticket by its slot.
    pub fn remove(&mut self, slot: u64) -> Option<Ticket> {
        let found = self.tickets.iter().find(|(_, held)| held.slot == slot);
        let key = *found?.0;
        self.tickets.remove(&key)
    }

    /// Takes out all whose budget is over, or will be before work of the needed time could end. Who has
    /// half of the budget left may always try, also where answers take nearly all of it.
    pub fn expire(&mut self, now: u64, needed: u64) -> Vec<Ticket> {
        let over = |ticket: &Ticket| {
            let half = ticket.budget_end.saturating_sub(ticket.arrived) / 2;
            ticket.budget_end <= now + needed.min(half)
        };
        let keys: Vec<_> = self
            .tickets
            .iter()
            .filter(|(_, ticket)| over(ticket))
            .map(|(key, _)| *key)
            .collect();
        keys.iter()
            .filter_map(|key| self.tickets.remove(key))
            .collect()
    }

    /// Takes out everything.
    pub fn clear(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.tickets).into_values().collect()
    }

    /// What waits, by rank, the most urgent first.
    pub fn ranks(&self, now: u64) -> Vec<RankCount> {
        let mut ranks: Vec<RankCount> = Vec::new();
        for (rank, arrived, _) in self.tickets.keys() {
            let oldest_ms = now.saturating_sub(*arrived);
            match ranks.last_mut() {
                Some(last) if last.rank == *rank => last.count += 1,
                _ => ranks.push(RankCount {
                    rank: *rank,
                    count: 1,
                    oldest_ms,
                }),
            }
        }
        ranks
    }
}
