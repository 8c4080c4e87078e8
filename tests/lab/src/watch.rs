use crate::member::Member;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// What a daemon tells of its versions, by epoch and number.
type ReportedVersions = ((u64, u64), (u64, u64));

/// Asks every daemon again and again which versions it holds, and notes each that goes back. A
/// daemon that was started again tells nothing before it has read at a majority; what it tells then
/// counts against what it reported before.
pub struct Watch {
    is_over: Arc<AtomicBool>,
    watching: JoinHandle<Seen>,
}

/// What a watch has seen.
#[derive(Default)]
pub struct Seen {
    pub asked: usize,
    pub rises: usize,
    pub slips: Vec<String>,
}

fn version(reported: &serde_json::Value) -> (u64, u64) {
    let field = |name: &str| reported[name].as_u64().unwrap_or(0);
    (field("era"), field("no"))
}

fn versions_reported_by(http: SocketAddr) -> Option<ReportedVersions> {
    let member = Member::asked_at(http);
    let status = member.get_json("/status")?;
    // Cores tell versions with their epochs apart from the numbers that operators read.
    let held = if status["held"].is_object() {
        &status["held"]
    } else {
        &status
    };
    let reported = (version(&held["blueprint"]), version(&held["plan"]));
    (reported.0 .1 > 0).then_some(reported)
}

impl Watch {
    /// Begins to watch daemons at these addresses.
    pub fn begin(daemons: Vec<(String, SocketAddr)>) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let over = is_over.clone();
        let watching = thread::spawn(move || {
            let mut seen = Seen::default();
            let mut newest: BTreeMap<String, ReportedVersions> = BTreeMap::new();
            while !over.load(Ordering::SeqCst) {
                for (name, http) in &daemons {
                    if let Some(reported) = versions_reported_by(*http) {
                        seen.take(name, reported, &mut newest);
                    }
                }
                thread::sleep(Duration::from_millis(100));
            }
            seen
        });
        Self { is_over, watching }
    }

    /// Ends the watch and gives what it has seen.
    pub fn end(self) -> Seen {
        self.is_over.store(true, Ordering::SeqCst);
        self.watching.join().unwrap_or_default()
    }
}

impl Seen {
    fn take(
        &mut self,
        name: &str,
        reported: ReportedVersions,
        newest: &mut BTreeMap<String, ReportedVersions>,
    ) {
        self.asked += 1;
        let known = newest.entry(name.to_string()).or_insert(reported);
        if reported.0 < known.0 || (reported.1 < known.1 && reported.1 .1 > 0) {
            let text = format!("{name} slips back from {known:?} to {reported:?}");
            self.slips.push(text);
        }
        self.rises += usize::from(reported.0 > known.0 || reported.1 > known.1);
        *known = (reported.0.max(known.0), reported.1.max(known.1));
    }
}
