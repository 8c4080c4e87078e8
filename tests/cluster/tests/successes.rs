//! The soak's rule that each success at a clients' address is its runner's: it has the request's id, the runner's seal and its body.

use cluster::client::ClientRequest;
use cluster::soak::ledger::{ClientOutcome, Ledger};
use cluster::soak::oracle;
use cluster::soak::traffic::classify_response;
use http1::{Headers, Response};

const SIZE: usize = 100;

fn response(status: u16, headers: &[(&str, &str)], body: Vec<u8>) -> Response {
    let mut fields = Headers::new();
    for (name, value) in headers {
        fields.push(name, value);
    }
    Response {
        status,
        headers: fields,
        body,
        keeps_alive: true,
    }
}

// Guards against an answer of the gateway itself that the soak takes for a runner's.
#[test]
fn a_success_without_id_seal_or_body_is_wrong() {
    let request = ClientRequest::get("/v1/readiness", "c1-1");
    let (id, seal) = (("Request-Id", "c1-1"), ("Server-Seal", "seal.i-1.c1-1"));
    let body = || request.expected(SIZE);
    let classify = |response: Response| classify_response(&request, SIZE, &response);
    for status in [200, 204, 299] {
        let is_wrong = |headers: &[(&str, &str)], body: Vec<u8>| {
            let outcome = classify(response(status, headers, body));
            matches!(outcome, ClientOutcome::WrongSuccess(_))
        };
        assert!(!is_wrong(&[id, seal], body()), "{status}");
        assert!(is_wrong(&[], Vec::new()), "{status}");
        assert!(is_wrong(&[id], body()), "{status}");
        assert!(is_wrong(&[seal], body()), "{status}");
        assert!(is_wrong(&[id, seal], Vec::new()), "{status}");
    }
    let error = classify(response(503, &[], Vec::new()));
    assert_eq!(error, ClientOutcome::Answered(503));
}

// Guards against an unsealed success to a client whose other outcomes are not judged.
#[test]
fn every_unsealed_success_is_reported() {
    let ledger = Ledger::default();
    let sealed = [("Server-Seal", "seal.i-1.m-1")];
    ledger.record_response("m-1", &response(200, &sealed, Vec::new()));
    ledger.record_response("m-2", &response(503, &[], Vec::new()));
    assert!(oracle::check(&ledger, &[]).is_empty());
    ledger.record_response("m-3", &response(200, &[], Vec::new()));
    ledger.record_response("m-4", &response(204, &[("Server-Seal", "")], Vec::new()));
    let findings = oracle::check(&ledger, &[]);
    assert_eq!(findings.len(), 2, "{findings:?}");
    assert!(findings.iter().all(|one| one.starts_with("MIXED: ")));
}
