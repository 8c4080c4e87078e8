use crate::refusal_backoff::RefusalBackoff;
use protocol::{RequestId, RunnerReport, RunnerStage, RunnerUpdate};
use std::collections::BTreeMap;

/// Answers over which a runner's pace is taken; the newest weigh most.
const PACE_SPAN: f64 = 20.0;
/// Times in a row that a runner may be out of reach before it counts as gone.
const MISSES_MAX: u32 = 3;

/// A request's seat: the gateway that holds it, and its ticket there.
pub(crate) type Holder = (String, RequestId);

/// One runner as its keeper knows it.
#[derive(Debug)]
pub(crate) struct Runner {
    pub news: RunnerUpdate,
    pub is_up: bool,
    pub is_gone: bool,
    pub holders: BTreeMap<Holder, u64>,
    backoff: RefusalBackoff,
    /// Until when the connection of a probe may hold a seat.
    pub looked_until: u64,
    pub probe_at: u64,
    pub is_probed: bool,
    pub pace_ms: f64,
    unreached: u32,
    answers: f64,
    answered: u64,
    took_ms: u64,
    turned_away: u64,
}

impl Runner {
    pub fn new(news: RunnerUpdate, now: u64) -> Self {
        let is_up = news.stage != RunnerStage::Starting;
        // Starts spread around their average, so the first look is somewhat before it.
        let probe_at = now + u64::from(news.starts_in_ms) * 6 / 10;
        Self {
            news,
            is_up,
            is_gone: false,
            holders: BTreeMap::new(),
            backoff: RefusalBackoff::default(),
            looked_until: 0,
            probe_at,
            is_probed: false,
            pace_ms: 0.0,
            unreached: 0,
            answers: 0.0,
            answered: 0,
            took_ms: 0,
            turned_away: 0,
        }
    }

    pub fn in_use(&self) -> u32 {
        self.holders.len() as u32
    }

    pub fn serves(&self) -> bool {
        self.is_up && !self.is_gone && self.news.stage != RunnerStage::Draining
    }

    pub fn is_awaited(&self) -> bool {
        !self.is_up && !self.is_gone && self.news.stage != RunnerStage::Draining
    }

    pub fn has_seat(&self, now: u64) -> bool {
        let (in_use, quota) = (self.in_use(), self.backoff.limit(now, self.news.quota));
        // The connection of a probe may hold a seat, but never the only one.
        let looks = u32::from(now < self.looked_until && quota > 1);
        self.serves() && in_use + looks < quota
    }

    /// It could not be reached in time; several times in a row mean that it is gone.
    pub fn missed(&mut self) -> bool {
        self.unreached += 1;
        self.is_gone |= self.unreached >= MISSES_MAX;
        self.is_gone
    }

    pub fn learn(&mut self, took_ms: u32) {
        self.unreached = 0;
        self.answered += 1;
        self.took_ms += u64::from(took_ms);
        self.answers = (self.answers + 1.0).min(PACE_SPAN);
        self.pace_ms += (f64::from(took_ms) - self.pace_ms) / self.answers;
    }

    /// It refused a request beside those that are still at it.
    pub fn turned_away(&mut self, now: u64) {
        self.backoff.refused(now, self.in_use());
        self.turned_away += 1;
    }

    /// Whether it refused a request lately.
    pub fn has_refused_lately(&self, now: u64) -> bool {
        self.backoff.has_refused_lately(now)
    }

    /// Other runners of the function refuse: this one gets no more than it has for a while.
    pub fn be_cautious(&mut self, now: u64) {
        self.backoff.be_cautious(now, self.in_use());
    }

    pub fn report(&self) -> RunnerReport {
        RunnerReport {
            id: self.news.id.clone(),
            in_use: self.in_use(),
            succeeded: self.answered,
            total_duration_ms: self.took_ms,
            rejected: self.turned_away,
            is_up: self.is_up,
            is_gone: self.is_gone,
        }
    }
}
