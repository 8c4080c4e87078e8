//! Who may report a success to a client: a runner that has sealed it, and nobody else.

use crate::client_response::{has_one_seal, ClientResponse, Header, ResponseSource};
use crate::connection_reuse_tests::CONVENTIONS;
use http1::ErrorStatus;

const ID: Header<'static> = ("Id", b"request-1");
const SEAL: Header<'static> = ("seal", b"sealed");
const EMPTY_SEAL: Header<'static> = ("Seal", b"");

type Constructor = fn(u16, Vec<Header<'static>>, &'static [u8]) -> ClientResponse<'static>;
const FORWARDING: [Constructor; 2] = [
    ClientResponse::from_runner,
    ClientResponse::from_stored_result,
];

// Guards against a forwarded success without a seal, with an empty one or with several.
#[test]
fn a_forwarded_success_needs_exactly_one_seal() {
    for forward in FORWARDING {
        for status in 100..600 {
            let is_success = (200..300).contains(&status);
            let is_sendable = |headers: &[Header<'static>]| {
                forward(status, headers.to_vec(), b"").is_sealed_or_error(&CONVENTIONS)
            };
            assert!(is_sendable(&[ID, SEAL]), "{status}");
            for unsealed in [&[ID][..], &[ID, EMPTY_SEAL], &[SEAL, ID, SEAL]] {
                assert_eq!(is_sendable(unsealed), !is_success, "{status} {unsealed:?}");
            }
        }
    }
}

// Guards against a success that is replaced by an error with the seal or the body of the success.
#[test]
fn an_unsealed_success_is_replaced_by_an_error_with_the_requests_id() {
    let unsealed = ClientResponse::from_runner(200, vec![ID, EMPTY_SEAL], b"body");
    let error = unsealed.replaced_by_error(&CONVENTIONS);
    assert_eq!(error.source(), ResponseSource::Gateway);
    assert_eq!(error.status(), ErrorStatus::BAD_GATEWAY.code());
    assert_eq!(error.headers(), [ID]);
    assert_ne!(error.body(), b"body");
    assert!(error.is_sealed_or_error(&CONVENTIONS));
}

#[test]
fn an_error_of_the_gateway_has_the_reason_as_its_body() {
    let error = ClientResponse::error(ErrorStatus::CONFLICT, vec![ID], "why");
    assert_eq!((error.status(), error.body()), (409, &b"why"[..]));
    assert_eq!(error.source(), ResponseSource::Gateway);
}

// Guards against a stored success that has lost its seal, for example one that a former build stored.
#[test]
fn a_stored_success_needs_a_seal_in_any_spelling_of_its_name() {
    assert!(has_one_seal([ID, SEAL].into_iter(), CONVENTIONS.seal));
    for unsealed in [vec![], vec![ID], vec![EMPTY_SEAL], vec![SEAL, SEAL]] {
        assert!(!has_one_seal(unsealed.into_iter(), CONVENTIONS.seal));
    }
}
