//! Policy settings: which are accepted, and with which error messages others are rejected.

use policy::{Policy, PolicyError, PolicySetting};

fn policy(texts: &[&str]) -> Result<Policy, PolicyError> {
    let settings = texts.iter().map(|text| text.parse::<PolicySetting>());
    Policy::with_settings(&settings.collect::<Result<Vec<_>, _>>()?)
}

fn error_message(text: &str) -> String {
    policy(&[text])
        .expect_err("the setting is rejected")
        .to_string()
}

#[test]
fn settings_change_only_their_options() {
    let changed = policy(&["scaling.alpha=0.7", "leasing.first_probe_percent=30"]);
    let changed = changed.expect("both are within bounds");
    assert!((changed.scaling.alpha - 0.7).abs() < f64::EPSILON);
    assert_eq!(changed.leasing.first_probe_percent, 30);
    let default = Policy::default();
    assert!((changed.scaling.beta - default.scaling.beta).abs() < f64::EPSILON);
}

#[test]
fn the_last_of_two_settings_of_an_option_applies() {
    let changed = policy(&["scaling.evicts=false", "scaling.evicts=true"]);
    assert!(changed.expect("both are well-formed").scaling.evicts);
}

#[test]
fn an_unknown_option_is_rejected() {
    assert_eq!(
        error_message("scaling.gamma=1"),
        "unknown policy option 'scaling.gamma'"
    );
}

#[test]
fn text_without_name_and_value_is_rejected() {
    for text in ["", "scaling.alpha", "=1", "scaling.alpha="] {
        assert_eq!(
            error_message(text),
            format!("'{text}' does not have the form NAME=VALUE")
        );
    }
}

#[test]
fn a_value_of_another_type_is_rejected() {
    assert_eq!(
        error_message("scaling.evicts=1"),
        "policy option scaling.evicts: invalid value '1', expected true or false"
    );
    assert_eq!(
        error_message("leasing.first_probe_percent=0.5"),
        "policy option leasing.first_probe_percent: invalid value '0.5', expected a non-negative integer"
    );
}

#[test]
fn a_value_out_of_bounds_is_rejected() {
    for value in ["0", "1.01", "NaN", "inf"] {
        let expected = format!("policy option scaling.alpha: {value} is not in the range 0.1 to 1");
        assert_eq!(error_message(&format!("scaling.alpha={value}")), expected);
    }
}

#[test]
fn every_default_is_within_its_bounds() {
    let descriptions = Policy::descriptions();
    let settings = descriptions.iter().map(|option| PolicySetting {
        name: option.name.to_owned(),
        value: option.default.clone(),
    });
    let settings: Vec<PolicySetting> = settings.collect();
    assert_eq!(Policy::with_settings(&settings), Ok(Policy::default()));
}
