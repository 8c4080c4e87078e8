//! Blueprints that must be refused whole, each fault with its path, and texts of any kind.

use configuration::{check, parse, Blueprint, Fault, TEXT_MAX};
use fuzzing::seeded;
use serde_json::{json, Value};

fn good() -> Value {
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

fn faults_of(blueprint: &Value) -> Vec<Fault> {
    parse(&blueprint.to_string()).expect_err("the blueprint was taken")
}

#[test]
fn a_good_blueprint_is_read_as_written() {
    let blueprint = parse(&good().to_string()).unwrap();
    assert_eq!(blueprint.kind("urgent").unwrap().0, 0);
    assert!(blueprint.kind("urgent").unwrap().1.once);
    assert!(blueprint.is_open("a") && !blueprint.is_open("b") && !blueprint.is_open("c"));
    let again = parse(&serde_json::to_string(&blueprint).unwrap()).unwrap();
    assert_eq!(again, blueprint);
}

#[test]
fn each_fault_is_told_with_its_path() {
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
        let mut blueprint = good();
        *blueprint.pointer_mut(pointer).unwrap() = value.clone();
        let faults = faults_of(&blueprint);
        let is_told = faults.iter().any(|fault| fault.path == path);
        assert!(is_told, "{pointer} = {value}: {faults:?}");
    }
}

#[test]
fn fields_of_the_wrong_name_or_type_are_refused() {
    let mut unknown = good();
    unknown["listings"][0]["memmory"] = json!(1);
    assert!(faults_of(&unknown)[0].reason.contains("memmory"));
    let mut negative = good();
    negative["listings"][0]["memory_mb"] = json!(-1);
    assert!(!faults_of(&negative).is_empty());
    let mut missing = good();
    missing["listings"][0]
        .as_object_mut()
        .unwrap()
        .remove("name");
    assert!(faults_of(&missing)[0].reason.contains("name"));
}

#[test]
fn all_faults_are_told_at_once() {
    let mut blueprint = good();
    blueprint["listings"][0]["memory_mb"] = json!(0);
    blueprint["listings"][1]["concurrency"] = json!(0);
    blueprint["bounds"] = json!({ "alpha": 0.4, "beta": 0.5 });
    assert_eq!(faults_of(&blueprint).len(), 3);
}

#[test]
fn too_long_and_broken_texts_are_refused() {
    let long = " ".repeat(TEXT_MAX + 1);
    assert!(parse(&long).unwrap_err()[0].reason.contains("over"));
    for text in ["", "{", "[]", "null", "{\"listings\": 3}"] {
        assert!(parse(text).is_err(), "{text:?}");
    }
}

seeded! {
    fn any_text_is_read_without_a_panic(text: String) -> bool {
        parse(&text).is_err()
    }

    fn any_change_of_one_byte_is_refused_or_stays_checked(place: usize, byte: u8) -> bool {
        let mut bytes = good().to_string().into_bytes();
        let place = place % bytes.len();
        bytes[place] = byte;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        parse(&text).map_or(true, |blueprint| check(&blueprint).is_empty())
    }
}

#[test]
fn the_empty_blueprint_is_good() {
    assert!(check(&Blueprint::empty()).is_empty());
}
