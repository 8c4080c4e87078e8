//! Settings of policies: what is taken, and what is refused with which message.

use policy::{Policy, PolicyError, PolicySetting};

fn policy(texts: &[&str]) -> Result<Policy, PolicyError> {
    let settings = texts.iter().map(|text| text.parse::<PolicySetting>());
    Policy::with_settings(&settings.collect::<Result<Vec<_>, _>>()?)
}

fn refusal(text: &str) -> String {
    policy(&[text]).expect_err("it is refused").to_string()
}

#[test]
fn settings_change_their_options_alone() {
    let changed = policy(&["scaling.alpha=0.7", "leasing.first_probe_percent=30"]);
    let changed = changed.expect("both are within bounds");
    assert!((changed.scaling.alpha - 0.7).abs() < f64::EPSILON);
    assert_eq!(changed.leasing.first_probe_percent, 30);
    let default = Policy::default();
    assert!((changed.scaling.beta - default.scaling.beta).abs() < f64::EPSILON);
}

#[test]
fn the_last_of_two_settings_of_one_option_holds() {
    let changed = policy(&["scaling.evicts=false", "scaling.evicts=true"]);
    assert!(changed.expect("both are well-formed").scaling.evicts);
}

#[test]
fn an_option_that_does_not_exist_is_refused() {
    assert_eq!(
        refusal("scaling.gamma=1"),
        "no policy has an option 'scaling.gamma'"
    );
}

#[test]
fn a_text_without_name_and_value_is_refused() {
    for text in ["", "scaling.alpha", "=1", "scaling.alpha="] {
        assert_eq!(refusal(text), format!("'{text}' is not NAME=VALUE"));
    }
}

#[test]
fn a_value_of_another_type_is_refused() {
    assert_eq!(
        refusal("scaling.evicts=1"),
        "policy option scaling.evicts: '1' is no true or false"
    );
    assert_eq!(
        refusal("leasing.first_probe_percent=0.5"),
        "policy option leasing.first_probe_percent: '0.5' is no whole number"
    );
}

#[test]
fn a_value_out_of_bounds_is_refused() {
    for value in ["0", "1.01", "NaN", "inf"] {
        let expected = format!("policy option scaling.alpha: {value} is not within 0.1 to 1");
        assert_eq!(refusal(&format!("scaling.alpha={value}")), expected);
    }
}

#[test]
fn every_default_is_within_its_bounds() {
    let texts = Policy::descriptions();
    let settings = texts.iter().map(|option| PolicySetting {
        name: option.name.to_owned(),
        value: option.default.clone(),
    });
    let settings: Vec<PolicySetting> = settings.collect();
    assert_eq!(Policy::with_settings(&settings), Ok(Policy::default()));
}
