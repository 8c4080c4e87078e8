//! Reads the metrics that daemons expose.

use crate::client::{send_request, ClientRequest};
use crate::daemon::{Daemon, METRICS};

/// The metrics page of a daemon in text form.
pub fn scrape_metrics(daemon: &Daemon) -> Option<String> {
    let request = ClientRequest::get("/metrics", "");
    let response = send_request(daemon.at(METRICS), &request)?;
    String::from_utf8(response.body).ok()
}

/// The value of one metric on a metrics page; `name` may include labels.
pub fn metric_value(text: &str, name: &str) -> Option<u64> {
    let start = format!("hallkeel_{name} ");
    let line = text.lines().find_map(|line| line.strip_prefix(&start))?;
    line.trim().parse().ok()
}
