//! The operator's tool beside a core that has just started: it answers and has not heard any front yet.

use oxhttp::model::{Body, Method, Request, Response};
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Serves HTTP on a free port of loopback. A port that something else takes first is passed over.
fn serve(
    handle: impl Fn(&mut Request<Body>) -> Response<Body> + Send + Sync + 'static,
) -> SocketAddr {
    let handle = Arc::new(handle);
    loop {
        let address = free_address();
        let shared = handle.clone();
        if transport::serve(address, 8, TIMEOUT, move |request| shared(request)).is_ok() {
            return address;
        }
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// A stand-in core whose status names these fronts.
fn core_that_knows(fronts: Vec<Value>) -> SocketAddr {
    serve(move |_| {
        let status =
            json!({ "name": "core", "district": "a", "fronts": fronts, "duty": { "here": true } });
        transport::json(200, &status)
    })
}

/// A stand-in front, and how often it was told to drain.
fn front() -> (SocketAddr, Arc<AtomicUsize>) {
    let drains = Arc::new(AtomicUsize::new(0));
    let counted = drains.clone();
    let address = serve(move |request| {
        if request.method() == Method::POST && request.uri().path() == "/drain" {
            counted.fetch_add(1, Ordering::SeqCst);
            return transport::text(202, "draining");
        }
        transport::json(200, &json!({ "district": "a", "standing": true }))
    });
    (address, drains)
}

fn report_of(name: &str, address: SocketAddr, heard_ms_ago: u64) -> Value {
    json!({ "name": name, "http": address.to_string(), "heard_ms_ago": heard_ms_ago })
}

fn hallkeel(cores: &[SocketAddr], arguments: &[&str]) -> Output {
    let cores: Vec<String> = cores.iter().map(SocketAddr::to_string).collect();
    let mut command = Command::new(env!("CARGO_BIN_EXE_hallkeel"));
    command.args(["--cores", &cores.join(",")]).args(arguments);
    command.output().expect("the tool runs")
}

fn text_of(output: &Output) -> String {
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    text
}

#[test]
fn a_front_that_another_core_hears_is_drained() {
    let (front, drains) = front();
    let cores = [
        core_that_knows(vec![]),
        core_that_knows(vec![report_of("front-2", front, 10)]),
    ];
    let output = hallkeel(&cores, &["drain", "front-2"]);
    assert!(output.status.success(), "{}", text_of(&output));
    assert_eq!(drains.load(Ordering::SeqCst), 1);
}

#[test]
fn a_front_that_another_core_hears_is_shown() {
    let (front, _) = front();
    let cores = [
        core_that_knows(vec![]),
        core_that_knows(vec![report_of("front-2", front, 10)]),
    ];
    let output = hallkeel(&cores, &["status"]);
    let text = text_of(&output);
    let line = text.lines().find(|line| line.starts_with("front-2"));
    assert!(line.is_some_and(|line| line.contains("standing")), "{text}");
}

#[test]
fn a_front_is_drained_where_it_was_heard_last() {
    let (former, former_drains) = front();
    let (front, drains) = front();
    let cores = [
        core_that_knows(vec![report_of("front-2", former, 9_000)]),
        core_that_knows(vec![report_of("front-2", front, 10)]),
    ];
    let output = hallkeel(&cores, &["drain", "front-2"]);
    assert!(output.status.success(), "{}", text_of(&output));
    assert_eq!(
        (
            former_drains.load(Ordering::SeqCst),
            drains.load(Ordering::SeqCst)
        ),
        (0, 1)
    );
}

#[test]
fn a_front_that_no_core_hears_is_refused() {
    let cores = [core_that_knows(vec![]), core_that_knows(vec![])];
    let output = hallkeel(&cores, &["drain", "front-2"]);
    assert_eq!(output.status.code(), Some(2), "{}", text_of(&output));
}

#[test]
fn a_fleet_whose_cores_do_not_answer_is_unreached() {
    for arguments in [["drain", "front-2"].as_slice(), &["status"], &["metrics"]] {
        let output = hallkeel(&[free_address()], arguments);
        assert_eq!(output.status.code(), Some(3), "{}", text_of(&output));
    }
}
