//! Invalid configurations are rejected as a whole, with the path of each error; arbitrary texts do not panic.

use configuration::{check, parse, Configuration, ValidationError, MAX_TEXT_BYTES};
use fuzzing::seeded;
use serde_json::{json, Value};

fn valid() -> Value {
    json!({
        "listings": [
            { "name": "sign", "memory_mb": 1000, "start_ms": 1500, "concurrency": 8,
              "budget_ms": 6000, "kinds": ["urgent", "batch"] },
            { "name": "pack", "memory_mb": 200, "start_ms": 800, "concurrency": 2,
              "budget_ms": 9000, "kinds": ["batch"] },
        ],
        "ranking": [ { "name": "urgent", "once": true }, { "name": "batch" } ],
        "districts": [ { "name": "a" }, { "name": "b", "state": "evacuated" } ],
    })
}

fn errors_of(configuration: &Value) -> Vec<ValidationError> {
    parse(&configuration.to_string()).expect_err("an invalid configuration was accepted")
}

#[test]
fn a_valid_configuration_round_trips() {
    let configuration = parse(&valid().to_string()).unwrap();
    assert_eq!(configuration.kind("urgent").unwrap().0, 0);
    assert!(configuration.kind("urgent").unwrap().1.once);
    assert!(
        configuration.is_open("a") && !configuration.is_open("b") && !configuration.is_open("c")
    );
    let again = parse(&serde_json::to_string(&configuration).unwrap()).unwrap();
    assert_eq!(again, configuration);
}

#[test]
fn each_error_is_reported_with_its_path() {
    let cases = [
        ("/listings/0/memory_mb", json!(0), "listings[0].memory_mb"),
        (
            "/listings/1/memory_mb",
            json!(9000),
            "listings[1].memory_mb",
        ),
        (
            "/listings/0/concurrency",
            json!(0),
            "listings[0].concurrency",
        ),
        (
            "/listings/0/concurrency",
            json!(5000),
            "listings[0].concurrency",
        ),
        ("/listings/1/budget_ms", json!(0), "listings[1].budget_ms"),
        ("/listings/1/name", json!("sign"), "listings[1].name"),
        ("/listings/1/name", json!(""), "listings[1].name"),
        ("/listings/1/name", json!("a/b"), "listings[1].name"),
        ("/listings/0/kinds/1", json!("none"), "listings[0].kinds[1]"),
        ("/listings/0/kinds", json!([]), "listings[0].kinds"),
        ("/ranking/1/name", json!("urgent"), "ranking[1].name"),
        ("/districts", json!([]), "districts"),
    ];
    for (pointer, value, path) in cases {
        let mut configuration = valid();
        *configuration.pointer_mut(pointer).unwrap() = value.clone();
        let errors = errors_of(&configuration);
        let is_reported = errors
            .iter()
            .any(|validation_error| validation_error.path == path);
        assert!(is_reported, "{pointer} = {value}: {errors:?}");
    }
}

#[test]
fn fields_of_the_wrong_name_or_type_are_rejected() {
    let mut unknown = valid();
    unknown["listings"][0]["memmory"] = json!(1);
    assert!(errors_of(&unknown)[0].reason.contains("memmory"));
    let mut negative = valid();
    negative["listings"][0]["memory_mb"] = json!(-1);
    assert!(!errors_of(&negative).is_empty());
    let mut missing = valid();
    missing["listings"][0]
        .as_object_mut()
        .unwrap()
        .remove("name");
    assert!(errors_of(&missing)[0].reason.contains("name"));
}

#[test]
fn all_errors_are_reported_at_once() {
    let mut configuration = valid();
    configuration["listings"][0]["memory_mb"] = json!(0);
    configuration["listings"][1]["concurrency"] = json!(0);
    configuration["bounds"] = json!({ "alpha": 0.4, "beta": 0.5 });
    assert_eq!(errors_of(&configuration).len(), 3);
}

#[test]
fn too_long_and_malformed_texts_are_rejected() {
    let long = " ".repeat(MAX_TEXT_BYTES + 1);
    assert!(parse(&long).unwrap_err()[0].reason.contains("over"));
    for text in ["", "{", "[]", "null", "{\"listings\": 3}"] {
        assert!(parse(text).is_err(), "{text:?}");
    }
}

seeded! {
    fn random_text_is_rejected_without_a_panic(text: String) -> bool {
        parse(&text).is_err()
    }

    fn a_changed_byte_is_rejected_or_still_passes_the_checks(position: usize, byte: u8) -> bool {
        let mut bytes = valid().to_string().into_bytes();
        let position = position % bytes.len();
        bytes[position] = byte;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        parse(&text).map_or(true, |configuration| check(&configuration).is_empty())
    }
}

#[test]
fn the_empty_configuration_is_valid() {
    assert!(check(&Configuration::empty()).is_empty());
}
