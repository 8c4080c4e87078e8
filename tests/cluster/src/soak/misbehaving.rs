//! Misbehaving clients. Their responses are not checked, but their effects on runners and other clients are.

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

/// Sends malformed, slow and truncated requests and leaves responses unread, until `is_over` is set.
pub fn run(seed: u64, gateways: &[SocketAddr], is_over: &AtomicBool) {
    let mut random = StdRng::seed_from_u64(seed ^ SEED_OFFSET);
    let mut sent = 0;
    while !is_over.load(Ordering::SeqCst) {
        let gateway = gateways[random.random_range(0..gateways.len())];
        let kind = random.random_range(0..7);
        sent += 1;
        if let Some(connection) = Connection::open(gateway) {
            misbehave(kind, &format!("m-{sent:05}"), connection);
        }
        std::thread::sleep(Duration::from_millis(random.random_range(10..80)));
    }
}

fn misbehave(kind: u32, id: &str, mut connection: Connection) {
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
            connection.receive(Duration::from_secs(2));
        }
        4 => {
            connection.send(b"\x16\x03\x01 this is no request\r\n\r\n");
            connection.receive(Duration::from_secs(1));
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
        // Connects and sends nothing.
        _ => std::thread::sleep(Duration::from_millis(150)),
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
