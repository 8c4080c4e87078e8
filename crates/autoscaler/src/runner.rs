use protocol::RunnerStage;

const SPAN: f64 = 20.0;
/// Milliseconds for which a runner must be idle before it makes room.
const IDLE_MS: u64 = 1_000;

/// Why a runner gets no new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// There are more than are needed.
    Surplus,
    /// Its zone is closed.
    Closed,
    /// Its function is described no more.
    Undescribed,
}

/// Where a runner is between the wish for it and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Life {
    /// Its start is to be ordered.
    Wanted { not_before: u64 },
    /// Its start is ordered and not answered.
    Asked,
    /// It was started and is not known to be up.
    Starting,
    /// It serves.
    Serving,
    /// It ends what it holds and is stopped then.
    Draining { cause: Cause, since: u64 },
    /// The platform ends it.
    Leaving { since: u64 },
    /// It cannot be reached.
    Gone { since: u64 },
    /// Its start was not answered and is wanted no more; it may be there.
    Unsure { since: u64 },
    /// Its stop is to be ordered.
    Stopping { not_before: u64 },
    /// Its stop is ordered and not answered.
    StopAsked,
}

#[derive(Clone, Debug)]
pub(crate) struct Runner {
    pub function: String,
    pub nonce: String,
    pub id: Option<String>,
    pub address: String,
    pub zone: String,
    pub worker: String,
    pub memory_mb: u64,
    pub quota: u32,
    pub most: u32,
    /// What the platform says that it may hold.
    pub capacity: u32,
    pub life: Life,
    /// When its start was first ordered.
    pub asked_at: Option<u64>,
    pub started_at: u64,
    pub tries: u32,
    /// When its id became known.
    pub known_at: u64,
    pub is_up: bool,
    /// A keeper told that it is gone.
    pub is_lost: bool,
    pub was_listed: bool,
    pub missing_since: Option<u64>,
    /// Number of the news that first said that it drains; 0 until those are made.
    pub drain_news: u64,
    pub used_at: u64,
    pub pace_ms: f64,
    pub answers: u64,
}

impl Runner {
    /// It counts as capacity, now or soon.
    pub fn counts(&self) -> bool {
        matches!(
            self.life,
            Life::Wanted { .. } | Life::Asked | Life::Starting | Life::Serving
        )
    }

    /// It is not up yet.
    pub fn is_coming(&self) -> bool {
        self.counts() && self.life != Life::Serving
    }

    /// When it has been idle for long enough to make room, if it is not used again.
    pub fn idle_at(&self) -> u64 {
        self.used_at + IDLE_MS
    }

    pub fn can_revive(&self) -> bool {
        let cause = Cause::Surplus;
        matches!(self.life, Life::Draining { cause: own, .. } if own == cause)
    }

    /// Its stage in the news; none where it is not in them.
    pub fn stage(&self) -> Option<RunnerStage> {
        self.id.as_ref()?;
        match self.life {
            Life::Starting => Some(RunnerStage::Starting),
            Life::Serving => Some(RunnerStage::Serving),
            Life::Draining { .. } | Life::Leaving { .. } => Some(RunnerStage::Draining),
            _ => None,
        }
    }

    pub fn learn(&mut self, answered: u64, took_ms: u64) {
        if answered == 0 {
            return;
        }
        let mean = (took_ms as f64 / answered as f64).max(1.0);
        self.answers += answered;
        let share = answered as f64 / (self.answers as f64).min(SPAN);
        self.pace_ms += share.min(1.0) * (mean - self.pace_ms);
    }

    pub fn learnt_pace(&self) -> Option<f64> {
        (self.answers > 0).then_some(self.pace_ms)
    }
}
