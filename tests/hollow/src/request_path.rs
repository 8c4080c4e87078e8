//! A gateway's own part of a call, without sockets.

use crate::meter::{median_ns, print_fit, Markdown};
use crate::synthetic_site;
use http1::{write_request, write_response, MessageLimits, RequestReader, ResponseReader};
use protocol::{
    frame, FrameReader, LeaseOutcome, LeaseRelease, LeaseRequest, Message, RequestId, SeatLease,
    UpdateVersion,
};
use std::hint::black_box;

const TIMES: u32 = 20_000;

pub fn run() {
    messages();
    http();
    elections();
    rosters();
}

fn lease_request() -> Message {
    Message::LeaseRequest(LeaseRequest {
        request_id: RequestId(77 << 32),
        function: synthetic_site::function_name(7),
        priority: 1,
        timeout_ms: 6_000,
        excluded_runners: Vec::new(),
        job: None,
    })
}

fn grant() -> Message {
    Message::SeatLease(SeatLease {
        request_id: RequestId(77 << 32),
        runner: synthetic_site::instance_id(7),
        address: synthetic_site::address(7),
        zone: synthetic_site::zone(7).to_string(),
    })
}

fn release() -> Message {
    Message::LeaseRelease(LeaseRelease {
        request_id: RequestId(77 << 32),
        outcome: LeaseOutcome::Succeeded,
        duration_ms: 60,
    })
}

fn messages() {
    let columns = ["message", "bytes", "write ns", "read ns"];
    let table = Markdown::head("Messages of a call between carrier and keeper", &columns);
    for (name, message) in [
        ("Bid", lease_request()),
        ("Grant", grant()),
        ("Release", release()),
    ] {
        let bytes = frame(&message);
        let write = median_ns(TIMES, || {
            black_box(frame(black_box(&message)));
        });
        let read = median_ns(TIMES, || {
            let read: Result<Option<Message>, _> = FrameReader::new(black_box(&bytes)).read();
            let _ = black_box(read);
        });
        table.named(name, &[bytes.len() as f64, write, read]);
    }
}

fn http() {
    let request = b"POST /v1/shop-function-00007/pay HTTP/1.1\r\nHost: shop-0000.example.com\r\n\
        Request-Id: 0123456789abcdef0123\r\nTime-Left: 5800\r\nAccept: */*\r\n\
        Content-Type: application/json\r\nContent-Length: 300\r\n\r\n";
    let mut request = request.to_vec();
    request.extend([b'x'; 300]);
    let response = b"HTTP/1.1 200 OK\r\nRequest-Id: 0123456789abcdef0123\r\n\
        Server-Seal: 0123456789abcdef0123456789abcdef\r\nContent-Type: application/json\r\n\
        Content-Length: 600\r\n\r\n";
    let mut response = response.to_vec();
    response.extend([b'y'; 600]);
    let bounds = MessageLimits {
        header_bytes: 16_384,
        body_bytes: 1 << 20,
    };
    let table = Markdown::head(
        "Bytes of a call of 300 B and an answer of 600 B",
        &["step", "ns"],
    );
    let mut read = RequestReader::new().read(&mut request.clone(), &bounds);
    let whole = read
        .as_mut()
        .ok()
        .and_then(Option::take)
        .expect("a request");
    let ns = median_ns(TIMES, || {
        let _ = black_box(RequestReader::new().read(&mut request.clone(), &bounds));
    });
    table.named("read the request", &[ns]);
    let ns = median_ns(TIMES, || {
        let mut out = Vec::new();
        let headers = http1::end_to_end(&whole.headers);
        write_request(&mut out, &whole.method, &whole.target, headers, &whole.body);
        black_box(out);
    });
    table.named("write it to the instance", &[ns]);
    let ns = median_ns(TIMES, || {
        let _ = black_box(ResponseReader::new(false).read(&mut response.clone(), &bounds));
    });
    table.named("read the answer", &[ns]);
    let read = ResponseReader::new(false).read(&mut response.clone(), &bounds);
    let answer = read.ok().flatten().expect("an answer");
    let ns = median_ns(TIMES, || {
        let mut out = Vec::new();
        let headers = http1::end_to_end(&answer.headers);
        write_response(&mut out, answer.status, headers, &answer.body, true, false);
        black_box(out);
    });
    table.named("write it to the client", &[ns]);
}

fn elections() {
    let columns = ["real_gateways", "ns an election"];
    let table = Markdown::head(
        "Electing a function's keeper (`seat_leases::select_owner`)",
        &columns,
    );
    let mut points = Vec::new();
    for count in [10, 50, 150, 590] {
        let members = synthetic_site::members(count);
        let names: Vec<String> = (0..64).map(synthetic_site::function_name).collect();
        let mut at = 0;
        let ns = median_ns(2_000, || {
            at = (at + 1) % names.len();
            black_box(seat_leases::select_owner(&names[at], &members, |_| true));
        });
        points.push((count as f64, ns));
        table.row(&[count as f64, ns]);
    }
    print_fit("ns an election", "real_gateways", &points);
}

fn rosters() {
    let columns = [
        "real_gateways",
        "bytes of a roster",
        "us to write",
        "us to read",
    ];
    let table = Markdown::head("The roster", &columns);
    let mut points = Vec::new();
    for count in [10, 50, 150, 590] {
        let message = Message::GatewayMembership {
            version: UpdateVersion { term: 7, number: 7 },
            members: synthetic_site::members(count),
        };
        let bytes = frame(&message);
        let write = median_ns(500, || {
            black_box(frame(black_box(&message)));
        });
        let read = median_ns(500, || {
            let read: Result<Option<Message>, _> = FrameReader::new(black_box(&bytes)).read();
            let _ = black_box(read);
        });
        points.push((count as f64, bytes.len() as f64));
        table.row(&[count as f64, bytes.len() as f64, write / 1e3, read / 1e3]);
    }
    print_fit("bytes of a roster", "real_gateways", &points);
}
