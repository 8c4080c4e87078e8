//! Misbehaving clients. Of their responses only the seals of successes are checked, and their effects on runners and other clients.

use super::ledger::Ledger;
use super::tenants::STEADY;
use crate::client::{ClientRequest, Connection};
use crate::runner::{CREDENTIAL, SIZE, WORK};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use socket2::SockRef;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Gives this client a different random sequence than the others.
const SEED_OFFSET: u64 = 0x6d69_7362;
const PIPELINED: usize = 6;
/// How long a response is waited for.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends malformed, slow and truncated requests and leaves responses unread, until `is_over` is set.
pub fn run(seed: u64, gateways: &[SocketAddr], ledger: &Ledger, is_over: &AtomicBool) {
    let mut random = StdRng::seed_from_u64(seed ^ SEED_OFFSET);
    let mut sent = 0;
    while !is_over.load(Ordering::SeqCst) {
        let gateway = gateways[random.random_range(0..gateways.len())];
        let kind = random.random_range(0..8);
        sent += 1;
        if let Some(connection) = Connection::open(gateway) {
            misbehave(kind, &format!("m-{sent:05}"), connection, ledger);
        }
        std::thread::sleep(Duration::from_millis(random.random_range(10..80)));
    }
}

fn misbehave(kind: u32, id: &str, mut connection: Connection, ledger: &Ledger) {
    let request = ClientRequest::get("/read/x", id)
        .with(CREDENTIAL, STEADY[0].1)
        .with(WORK, 20)
        .with(SIZE, 5_000);
    let bytes = request.bytes();
    match kind {
        // Request head sent byte by byte and then abandoned.
        0 => {
            for byte in &bytes[..bytes.len().min(30)] {
                connection.send(&[*byte]);
                std::thread::sleep(Duration::from_millis(2));
            }
        }
        1 => reset_within_body(id, connection),
        // Pipelined requests whose responses are not read.
        2 => {
            for number in 0..PIPELINED {
                let id = format!("{id}-{number}");
                connection.send(
                    &ClientRequest::get("/read/x", &id)
                        .with(CREDENTIAL, STEADY[0].1)
                        .with(SIZE, 50_000)
                        .bytes(),
                );
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        // A complete request followed by a half-close.
        3 => {
            connection.send(&bytes);
            let _ = connection.stream.shutdown(Shutdown::Write);
            record_next(id, &mut connection, ledger);
        }
        4 => {
            connection.send(b"\x16\x03\x01 this is no request\r\n\r\n");
            record_next(id, &mut connection, ledger);
        }
        // Disconnects while a runner processes the request.
        5 => {
            connection.send(
                &ClientRequest::get("/write/x", id)
                    .with(CREDENTIAL, STEADY[0].1)
                    .with(WORK, 300)
                    .post(b"w")
                    .bytes(),
            );
            std::thread::sleep(Duration::from_millis(30));
        }
        // Asks for the system's targets as the platform or an operator would, without a key or at an unknown host.
        6 => {
            for (host, target) in [("one.example", "/v1/readiness"), ("platform", "/metrics")] {
                let request = ClientRequest {
                    host: host.into(),
                    ..ClientRequest::get(target, "")
                };
                connection.send(&request.bytes());
                record_next(id, &mut connection, ledger);
            }
        }
        // Connects and sends nothing.
        _ => std::thread::sleep(Duration::from_millis(150)),
    }
}

/// Reads the next response and records it.
fn record_next(id: &str, connection: &mut Connection, ledger: &Ledger) {
    if let Some(response) = connection.receive(RESPONSE_TIMEOUT) {
        ledger.record_response(id, &response);
    }
}

fn reset_within_body(id: &str, mut connection: Connection) {
    let whole = ClientRequest::get("/write/x", id)
        .with(CREDENTIAL, STEADY[0].1)
        .post(&[b'x'; 3_000])
        .bytes();
    connection.send(&whole[..whole.len() / 2]);
    let _ = SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO));
}
