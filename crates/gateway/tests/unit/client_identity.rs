//! Identification of the sending tenant by the headers of a request and the configured tenants.

use crate::client_identity::{ClientIdentity, IdentityError, KeyStatus};
use crate::retry_budgets::RetryBudgets;
use fuzzing::seeded;
use http1::Headers;
use routing::{KeyDigest, Tenant, TenantDirectory};
use std::sync::Arc;

const HEADER: &str = "Credential";
const KEY: &[u8] = b"vqfke834v922vxf8hibk";

fn tenant(name: &str, keys: &[&[u8]]) -> Tenant {
    Tenant {
        name: name.into(),
        keys: keys.iter().map(|key| KeyDigest::of(key)).collect(),
        ..Tenant::default()
    }
}

fn tenants(all: &[Tenant]) -> TenantDirectory {
    TenantDirectory::new(all.to_vec()).unwrap()
}

fn headers(fields: &[(&str, &[u8])]) -> Headers {
    let mut headers = Headers::new();
    for (name, value) in fields {
        headers.push(name, value);
    }
    headers
}

fn identify(
    fields: &[(&str, &[u8])],
    tenants: Option<&TenantDirectory>,
    is_public: bool,
) -> Result<Option<String>, IdentityError> {
    let client = ClientIdentity::of_request(&headers(fields), HEADER, tenants, is_public)?;
    Ok(client.map(|client| client.name().to_string()))
}

#[test]
fn a_key_header_matches_in_any_case_and_its_value_byte_for_byte() {
    let tenants = tenants(&[tenant("north", &[KEY])]);
    let known = Ok(Some("north".to_string()));
    for name in ["Credential", "credential", "CREDENTIAL"] {
        assert_eq!(identify(&[(name, KEY)], Some(&tenants), false), known);
    }
    let long = vec![b'a'; 1 << 14];
    let others: [&[u8]; 5] = [
        b"",
        b"VQFKE834V922VXF8HIBK",
        b"vqfke834v922vxf8hib",
        b"\xff\xfe",
        &long,
    ];
    for other in others {
        let unknown = Err(IdentityError::UnknownKey);
        assert_eq!(identify(&[(HEADER, other)], Some(&tenants), false), unknown);
        assert_eq!(identify(&[(HEADER, other)], Some(&tenants), true), unknown);
    }
}

#[test]
fn a_request_needs_exactly_one_key_unless_its_binding_is_public() {
    let tenants = tenants(&[tenant("north", &[KEY])]);
    assert_eq!(
        identify(&[], Some(&tenants), false),
        Err(IdentityError::NoKey)
    );
    assert_eq!(identify(&[], Some(&tenants), true), Ok(None));
    let twice: [(&str, &[u8]); 2] = [(HEADER, KEY), ("credential", KEY)];
    for is_public in [false, true] {
        let refused = identify(&twice, Some(&tenants), is_public);
        assert_eq!(refused, Err(IdentityError::SeveralKeys));
    }
    let known = identify(&[(HEADER, KEY)], Some(&tenants), true);
    assert_eq!(known, Ok(Some("north".to_string())));
}

#[test]
fn a_tenant_name_sent_by_the_client_is_ignored() {
    let tenants = tenants(&[tenant("north", &[KEY]), tenant("south", &[])]);
    let claimed: [(&str, &[u8]); 2] = [("Tenant", b"south"), (HEADER, KEY)];
    assert_eq!(
        identify(&claimed, Some(&tenants), false),
        Ok(Some("north".into()))
    );
    let alone: [(&str, &[u8]); 1] = [("Tenant", b"south")];
    assert_eq!(
        identify(&alone, Some(&tenants), false),
        Err(IdentityError::NoKey)
    );
}

#[test]
fn without_tenants_no_key_is_needed_and_an_empty_list_refuses_every_request() {
    assert_eq!(identify(&[], None, false), Ok(None));
    assert_eq!(identify(&[(HEADER, KEY)], None, false), Ok(None));
    let nobody = tenants(&[]);
    assert_eq!(
        identify(&[], Some(&nobody), false),
        Err(IdentityError::NoKey)
    );
    let unknown = Err(IdentityError::UnknownKey);
    assert_eq!(identify(&[(HEADER, KEY)], Some(&nobody), false), unknown);
}

#[test]
fn a_key_is_rechecked_against_a_later_configuration() {
    let first = tenants(&[tenant("north", &[KEY]), tenant("south", &[])]);
    let client =
        ClientIdentity::of_request(&headers(&[(HEADER, KEY)]), HEADER, Some(&first), false);
    let client = client.unwrap().unwrap();
    assert_eq!(client.recheck(Some(&first)), KeyStatus::Held);
    assert_eq!(client.recheck(None), KeyStatus::Held);
    let moved = tenants(&[tenant("north", &[]), tenant("south", &[KEY])]);
    assert_eq!(client.recheck(Some(&moved)), KeyStatus::Moved);
    let revoked = tenants(&[tenant("north", &[b"other"])]);
    assert_eq!(client.recheck(Some(&revoked)), KeyStatus::Revoked);
    let restored = tenants(&[tenant("north", &[b"other", KEY])]);
    assert_eq!(client.recheck(Some(&restored)), KeyStatus::Held);
}

#[test]
fn a_tenant_spends_its_own_retries_and_those_of_a_full_budget() {
    let mut budgets = RetryBudgets::new(0.4, 20.0);
    let (flood, small): (Arc<str>, Arc<str>) = ("flood".into(), "small".into());
    for _ in 0..16 {
        budgets.deposit("sign", Some(&small), 1);
    }
    let taken = (0..10).filter(|_| budgets.try_withdraw("sign", Some(&flood)));
    assert_eq!(
        taken.count(),
        1,
        "the initial balance, and nothing that the other tenant earned"
    );
    assert!(budgets.try_withdraw("sign", Some(&small)));
    assert!(budgets.try_withdraw("sign", Some(&small)));
    assert!(budgets.try_withdraw("sign", Some(&small)));
    for _ in 0..100 {
        budgets.deposit("sign", Some(&small), 1);
    }
    assert!(
        budgets.try_withdraw("sign", Some(&flood)),
        "the budget is full"
    );
    assert!(!budgets.try_withdraw("sign", Some(&flood)));
}

seeded! {
    fn no_headers_make_a_tenant_of_a_key_that_nobody_holds(fields: Vec<(bool, Vec<u8>)>, is_public: bool) -> bool {
        let tenants = tenants(&[tenant("north", &[KEY])]);
        let mut drawn = Headers::new();
        for (is_key, value) in fields.iter().take(6) {
            drawn.push(if *is_key { "cREDENTIAL" } else { "Tenant" }, value);
        }
        let client = ClientIdentity::of_request(&drawn, HEADER, Some(&tenants), is_public);
        match client {
            Ok(Some(_)) => drawn.get_all(HEADER).eq([KEY]),
            Ok(None) => is_public && drawn.get(HEADER).is_none(),
            Err(_) => true,
        }
    }
}
