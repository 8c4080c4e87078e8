use event_loop::ConnectionId;
use http1::Request;
use jobs::Pass;
use slab::Slab;

/// Who lends seats of a function: the daemon's name.
pub(crate) type Lender = String;

/// Where a request is on its way.
#[derive(Debug)]
pub(crate) enum Stage {
    /// It waits for a seat.
    Waiting { lender: Lender, since: u64 },
    /// It is at a runner, or on the way there.
    Sent(Sent),
    /// It waits until it may be sent again, or until its function has a keeper.
    Resting,
}

/// A request at a runner.
#[derive(Debug)]
pub(crate) struct Sent {
    pub lender: Lender,
    pub runner: String,
    pub address: String,
    pub district: String,
    pub line: ConnectionId,
    pub at: u64,
    pub has_left: bool,
}

/// A request that was read whole and is not answered yet.
#[derive(Debug)]
pub(crate) struct Ticket {
    pub client: Option<ConnectionId>,
    pub request: Request,
    pub id: Vec<u8>,
    pub function: String,
    pub is_once: bool,
    pub rank: u8,
    pub tries: u32,
    pub sends: u32,
    pub unreached: u32,
    pub may_have_run: bool,
    pub began_at: u64,
    pub ends_at: u64,
    pub avoid: Vec<String>,
    pub stage: Stage,
    /// The request's part in its job, where its caller named one.
    pub job: Option<Box<Pass>>,
}

impl Ticket {
    /// Whether it may not leave for a runner yet, since its job is not claimed.
    pub fn is_gated(&self) -> bool {
        let has_line = matches!(&self.stage, Stage::Sent(sent) if !sent.has_left);
        has_line && self.job.as_ref().is_some_and(|pass| !pass.may_leave())
    }

    /// Whether a copy of it may have run, for all that is known here.
    pub fn is_unsure(&self) -> bool {
        self.job.as_ref().is_some_and(|pass| pass.is_unsure())
    }

    /// The keeper from which word is awaited, and since when.
    pub fn awaits(&self) -> Option<(&Lender, u64)> {
        match &self.stage {
            Stage::Waiting { lender, since } => Some((lender, *since)),
            Stage::Sent(sent) if self.is_gated() => Some((&sent.lender, sent.at)),
            _ => None,
        }
    }
}

/// Bits of a ticket's number that tell its place; the others count the tickets of the daemon's life.
const PLACE_BITS: u32 = 24;
const PLACE_MASK: u64 = (1 << PLACE_BITS) - 1;

/// Requests by a number that is never used twice in a daemon's life: the count lasts for 10^12 requests.
#[derive(Default)]
pub(crate) struct Tickets {
    slab: Slab<(u64, Ticket)>,
    count: u64,
}

fn number(count: u64, place: usize) -> u64 {
    (count << PLACE_BITS) | place as u64
}

fn place(number: u64) -> usize {
    (number & PLACE_MASK) as usize
}

impl Tickets {
    pub fn add(&mut self, ticket: Ticket) -> u64 {
        self.count += 1;
        number(self.count, self.slab.insert((self.count, ticket)))
    }

    pub fn get(&mut self, number: u64) -> Option<&mut Ticket> {
        let (count, ticket) = self.slab.get_mut(place(number))?;
        (*count == number >> PLACE_BITS).then_some(ticket)
    }

    pub fn remove(&mut self, number: u64) -> Option<Ticket> {
        self.get(number)?;
        Some(self.slab.remove(place(number)).1)
    }

    pub fn len(&self) -> usize {
        self.slab.len()
    }

    pub fn numbers(&self, passes: impl Fn(&Ticket) -> bool) -> Vec<u64> {
        let kept = self.slab.iter().filter(|(_, (_, ticket))| passes(ticket));
        kept.map(|(place, (count, _))| number(*count, place))
            .collect()
    }
}
