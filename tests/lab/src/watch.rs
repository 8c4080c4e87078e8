use crate::member::Member;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Versions of the configuration and the plan that a daemon reports, each as epoch and number.
type ReportedVersions = ((u64, u64), (u64, u64));

/// Polls the versions that every daemon holds and records each one that decreases. A restarted daemon
/// reports no version until it has read from a majority; after that, its versions are compared with
/// those from before the restart.
pub struct Watch {
    stop_requested: Arc<AtomicBool>,
    thread_handle: JoinHandle<WatchResults>,
}

/// Results of a watch.
#[derive(Default)]
pub struct WatchResults {
    pub polls: usize,
    pub increases: usize,
    pub decreases: Vec<String>,
}

fn version(reported: &serde_json::Value) -> (u64, u64) {
    let field = |name: &str| reported[name].as_u64().unwrap_or(0);
    (field("era"), field("no"))
}

fn request_versions(http: SocketAddr) -> Option<ReportedVersions> {
    let member = Member::at_address(http);
    let status = member.get_json("/status")?;
    // Cores report versions with epochs under `held`, apart from the plain numbers meant for operators.
    let held = if status["held"].is_object() {
        &status["held"]
    } else {
        &status
    };
    let reported = (version(&held["blueprint"]), version(&held["plan"]));
    (reported.0 .1 > 0).then_some(reported)
}

impl Watch {
    /// Starts polling the daemons, given by name and address, in a thread.
    pub fn begin(daemons: Vec<(String, SocketAddr)>) -> Self {
        let stop_requested = Arc::new(AtomicBool::new(false));
        let stop_flag = stop_requested.clone();
        let thread_handle = thread::spawn(move || {
            let mut results = WatchResults::default();
            let mut newest: BTreeMap<String, ReportedVersions> = BTreeMap::new();
            while !stop_flag.load(Ordering::SeqCst) {
                for (name, http) in &daemons {
                    if let Some(reported) = request_versions(*http) {
                        results.record(name, reported, &mut newest);
                    }
                }
                thread::sleep(Duration::from_millis(100));
            }
            results
        });
        Self {
            stop_requested,
            thread_handle,
        }
    }

    /// Stops polling and returns the results.
    pub fn end(self) -> WatchResults {
        self.stop_requested.store(true, Ordering::SeqCst);
        self.thread_handle.join().unwrap_or_default()
    }
}

impl WatchResults {
    fn record(
        &mut self,
        name: &str,
        reported: ReportedVersions,
        newest: &mut BTreeMap<String, ReportedVersions>,
    ) {
        self.polls += 1;
        let newest_known = newest.entry(name.to_string()).or_insert(reported);
        if reported.0 < newest_known.0 || (reported.1 < newest_known.1 && reported.1 .1 > 0) {
            let text = format!("{name}: version decreased from {newest_known:?} to {reported:?}");
            self.decreases.push(text);
        }
        self.increases += usize::from(reported.0 > newest_known.0 || reported.1 > newest_known.1);
        *newest_known = (
            reported.0.max(newest_known.0),
            reported.1.max(newest_known.1),
        );
    }
}
