//! The tool with several cores, of which one has just started: it responds but has not heard from any front yet.

use oxhttp::model::{Body, Method, Request, Response};
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Serves HTTP on a free loopback port. If another process takes the port first, another one is tried.
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

/// Starts a fake core whose status lists these fronts.
fn fake_core(fronts: Vec<Value>) -> SocketAddr {
    serve(move |_| {
        let status =
            json!({ "name": "core", "district": "a", "fronts": fronts, "duty": { "here": true } });
        transport::json(200, &status)
    })
}

/// Starts a fake front; returns its address and the number of drain requests it has received.
fn fake_front() -> (SocketAddr, Arc<AtomicUsize>) {
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

fn front_entry(name: &str, address: SocketAddr, heard_ms_ago: u64) -> Value {
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
fn a_front_that_only_another_core_hears_from_is_drained() {
    let (front, drains) = fake_front();
    let cores = [
        fake_core(vec![]),
        fake_core(vec![front_entry("front-2", front, 10)]),
    ];
    let output = hallkeel(&cores, &["drain", "front-2"]);
    assert!(output.status.success(), "{}", text_of(&output));
    assert_eq!(drains.load(Ordering::SeqCst), 1);
}

#[test]
fn a_front_that_only_another_core_hears_from_is_shown() {
    let (front, _) = fake_front();
    let cores = [
        fake_core(vec![]),
        fake_core(vec![front_entry("front-2", front, 10)]),
    ];
    let output = hallkeel(&cores, &["status"]);
    let text = text_of(&output);
    let line = text.lines().find(|line| line.starts_with("front-2"));
    assert!(line.is_some_and(|line| line.contains("standing")), "{text}");
}

#[test]
fn a_front_is_drained_at_its_most_recently_heard_address() {
    let (old_front, old_drains) = fake_front();
    let (front, drains) = fake_front();
    let cores = [
        fake_core(vec![front_entry("front-2", old_front, 9_000)]),
        fake_core(vec![front_entry("front-2", front, 10)]),
    ];
    let output = hallkeel(&cores, &["drain", "front-2"]);
    assert!(output.status.success(), "{}", text_of(&output));
    assert_eq!(
        (
            old_drains.load(Ordering::SeqCst),
            drains.load(Ordering::SeqCst)
        ),
        (0, 1)
    );
}

#[test]
fn draining_a_front_that_no_core_hears_from_is_an_input_error() {
    let cores = [fake_core(vec![]), fake_core(vec![])];
    let output = hallkeel(&cores, &["drain", "front-2"]);
    assert_eq!(output.status.code(), Some(2), "{}", text_of(&output));
}

#[test]
fn commands_fail_as_unreachable_if_no_core_responds() {
    for arguments in [["drain", "front-2"].as_slice(), &["status"], &["metrics"]] {
        let output = hallkeel(&[free_address()], arguments);
        assert_eq!(output.status.code(), Some(3), "{}", text_of(&output));
    }
}
