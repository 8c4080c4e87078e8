//! The endpoint serves metrics as text at one path and rejects other requests.

use metrics::{respond, MetricsReader, Snapshot};

fn response_to(bytes: &[u8]) -> String {
    let mut buffer = bytes.to_vec();
    let Ok(Some(request)) = MetricsReader::default().read(&mut buffer) else {
        panic!("no request");
    };
    let out = respond(&request, || {
        let mut snapshot = Snapshot::new();
        snapshot.counter("requests", "Requests", 3);
        snapshot.gauge("in_flight", "Requests in flight", u64::MAX);
        let reasons = [("full", 2)].into_iter();
        snapshot.labelled_counter("rejections", "Rejections", "reason", reasons);
        snapshot
    });
    String::from_utf8(out).expect("text")
}

#[test]
fn metrics_are_served_in_the_text_format() {
    let text = response_to(b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    for line in [
        "hallkeel_requests_total 3",
        "hallkeel_in_flight 9223372036854775807",
        "hallkeel_rejections_total{reason=\"full\"} 2",
        "hallkeel_invariant_violations_total{name=\"terms_rise\"} 0",
        "# TYPE hallkeel_requests counter",
    ] {
        assert!(text.contains(line), "{line} is not in {text}");
    }
}

#[test]
fn another_target_is_not_found() {
    let text = response_to(b"GET /status HTTP/1.1\r\nHost: h\r\n\r\n");
    assert!(text.starts_with("HTTP/1.1 404"), "{text}");
}

#[test]
fn bytes_that_are_not_a_request_are_rejected() {
    let mut buffer = b"\x00\x01 nothing\r\n\r\n".to_vec();
    let input = MetricsReader::default().read(&mut buffer);
    assert!(input.is_err());
}
