//! Detects long turns by sampling the state of the loop.

use crate::turn_record::TurnSnapshot;
use std::fmt;
use std::time::Duration;

/// Observed duration from which a turn is reported as long.
const LONG_TURN: Duration = Duration::from_millis(250);
/// Factor by which the duration must grow until the same turn is reported again.
const NEXT_REPORT_FACTOR: u32 = 4;

/// Report of a long turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LongTurn {
    /// Time since the turn was first observed: a lower bound of its duration.
    pub lasted: Duration,
    /// State of the loop at the time of the report.
    pub snapshot: TurnSnapshot,
    /// Number of steps since the turn was first observed or last reported; 0 if it is blocked.
    pub steps_since: u64,
}

impl fmt::Display for LongTurn {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lasted_ms = self.lasted.as_millis();
        let (snapshot, since) = (&self.snapshot, self.steps_since);
        write!(
            formatter,
            "lasted_ms={lasted_ms} steps_since={since} {snapshot}"
        )
    }
}

/// The turn that was in progress at the last observation.
#[derive(Clone, Debug)]
struct ObservedTurn {
    first_at: Duration,
    /// State at the first observation or at the last report.
    snapshot: TurnSnapshot,
    /// Duration from which the turn is reported next.
    next_report: Duration,
}

/// Observes a loop at successive times and reports long turns.
#[derive(Clone, Debug, Default)]
pub struct TurnWatch {
    observed: Option<ObservedTurn>,
}

impl TurnWatch {
    /// Observes the loop. Returns the turn in progress once it has become long, and again at increasing intervals.
    pub fn observe(&mut self, now: Duration, snapshot: &TurnSnapshot) -> Option<LongTurn> {
        if snapshot.is_waiting() {
            self.observed = None;
            return None;
        }
        let same = self.observed.as_mut();
        let Some(observed) = same.filter(|observed| observed.snapshot.turn == snapshot.turn) else {
            self.observed = Some(ObservedTurn {
                first_at: now,
                snapshot: snapshot.clone(),
                next_report: LONG_TURN,
            });
            return None;
        };
        let lasted = now.saturating_sub(observed.first_at);
        if lasted < observed.next_report {
            return None;
        }
        let steps_since = snapshot.steps.saturating_sub(observed.snapshot.steps);
        observed.snapshot = snapshot.clone();
        observed.next_report = lasted * NEXT_REPORT_FACTOR;
        Some(LongTurn {
            lasted,
            snapshot: snapshot.clone(),
            steps_since,
        })
    }
}
