//! Which turns are to be told of.

use crate::turn_record::TurnSnapshot;
use std::fmt;
use std::time::Duration;

/// A turn is told of that looks find in progress for so long.
const LONG_TURN: Duration = Duration::from_millis(250);
/// The same turn is told of again once it has lasted so many times as long.
const NEXT_REPORT_FACTOR: u32 = 4;

/// A turn that lasts long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LongTurn {
    /// For how long it has been seen in progress, at least.
    pub lasted: Duration,
    /// What it does.
    pub snapshot: TurnSnapshot,
    /// Steps since it was first seen or told of last: none where it is blocked.
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

/// The turn that was seen at the last look.
#[derive(Clone, Debug)]
struct Seen {
    first_at: Duration,
    snapshot: TurnSnapshot,
    next_report: Duration,
}

/// Successive looks at a loop.
#[derive(Clone, Debug, Default)]
pub struct TurnWatch {
    seen: Option<Seen>,
}

impl TurnWatch {
    /// Looks at the loop. Returns the turn in progress once that has lasted for long, and again at growing intervals.
    pub fn observe(&mut self, now: Duration, snapshot: &TurnSnapshot) -> Option<LongTurn> {
        if snapshot.is_waiting() {
            self.seen = None;
            return None;
        }
        let same = self.seen.as_mut();
        let Some(seen) = same.filter(|seen| seen.snapshot.turn == snapshot.turn) else {
            self.seen = Some(Seen {
                first_at: now,
                snapshot: snapshot.clone(),
                next_report: LONG_TURN,
            });
            return None;
        };
        let lasted = now.saturating_sub(seen.first_at);
        if lasted < seen.next_report {
            return None;
        }
        let steps_since = snapshot.steps.saturating_sub(seen.snapshot.steps);
        seen.snapshot = snapshot.clone();
        seen.next_report = lasted * NEXT_REPORT_FACTOR;
        Some(LongTurn {
            lasted,
            snapshot: snapshot.clone(),
            steps_since,
        })
    }
}
