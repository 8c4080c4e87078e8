//! A change of the configuration by the functions that it describes.

use crate::meter::{live, print_fit, timed, Markdown};
use crate::synthetic_site;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use platform::PlatformDocuments;
use routing::{ConfigurationFormat, RoutingTable};
use std::io::{Read, Write};
use std::sync::Arc;

const ROUNDS: u64 = 5;

/// What a change of one function's memory looks like.
pub fn change(function: usize, version: u64) -> Vec<u8> {
    let change = serde_json::json!({ "version": version, "upsert": { "services": [
        { "name": synthetic_site::function_name(function), "memory_mb": 193, "boot_time_ms": synthetic_site::START_MS,
          "concurrency": 1, "max_conns": 64, "health_path": "/healthz" }] } });
    change.to_string().into_bytes()
}

fn pack(document: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(document).expect("memory takes all");
    encoder.finish().expect("memory takes all")
}

fn unpack(packed: &[u8]) -> Vec<u8> {
    let mut document = Vec::new();
    let mut decoder = DeflateDecoder::new(packed);
    decoder
        .read_to_end(&mut document)
        .expect("it was packed here");
    document
}

pub fn run() {
    let columns = [
        "functions",
        "KB of the document",
        "KB deflated",
        "bytes of a change of one",
        "ms: gateway takes the whole",
        "of which unpack",
        "read",
        "table",
        "ms: gateway takes a change of one",
        "ms: controller judges a change",
        "MB held by a gateway",
        "MB at the most while it takes it",
    ];
    let table = Markdown::head("A change of the description", &columns);
    let documents = PlatformDocuments;
    let (mut taken, mut amended, mut judged, mut sizes, mut memory) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for functions in [20, 200, 2_000, 21_000] {
        let document = synthetic_site::document(functions, 1);
        let packed = pack(&document);
        let change = change(functions / 2, 2);
        let (mut unpacking, mut reading, mut tabling) = (0, 0, 0);
        let (mut amending, mut judging) = (0, 0);
        let (mut held, mut most) = (0.0_f64, 0.0_f64);
        for _ in 0..ROUNDS {
            let before = live();
            let text = timed(&mut unpacking, || unpack(&packed));
            let read = timed(&mut reading, || documents.parse(&text));
            let configuration_of = Arc::new(read.expect("it is a good one"));
            let built = timed(&mut tabling, || RoutingTable::new(configuration_of));
            most = most.max((live() - before) as f64 / 1e6);
            drop(text);
            held = (live() - before) as f64 / 1e6;
            timed(&mut amending, || {
                let base = built.configuration().as_ref().clone();
                let next = documents
                    .apply_change(&base, &change)
                    .expect("it can be amended");
                RoutingTable::new(Arc::new(next))
            });
            drop(built);
            timed(&mut judging, || {
                let whole = documents.merge_change(&unpack(&packed), &change);
                let whole = whole.expect("it can be changed");
                assert!(documents.parse(&whole).is_ok());
                pack(&whole)
            });
        }
        let of = |sum: u64| sum as f64 / ROUNDS as f64 / 1e6;
        let (size, whole) = (functions as f64, of(unpacking + reading + tabling));
        taken.push((size, whole));
        amended.push((size, of(amending)));
        judged.push((size, of(judging)));
        sizes.push((size, packed.len() as f64 / 1e3));
        memory.push((size, held));
        table.row(&[
            size,
            document.len() as f64 / 1e3,
            packed.len() as f64 / 1e3,
            change.len() as f64,
            whole,
            of(unpacking),
            of(reading),
            of(tabling),
            of(amending),
            of(judging),
            held,
            most,
        ]);
    }
    print_fit("ms for a gateway to take it", "functions", &taken);
    print_fit(
        "ms for a gateway to take a change of one",
        "functions",
        &amended,
    );
    print_fit(
        "ms for a controller to judge a change",
        "functions",
        &judged,
    );
    print_fit("KB deflated", "functions", &sizes);
    print_fit("MB held by a gateway", "functions", &memory);
}
