//! Values of the registers that operator commands change.

use crate::sample::{sample, Sample};
use operator_commands::{CommandKind, ConfigurationRecord, Evacuations, ACCEPTED_COMMANDS_MAX};

/// Configuration document of the first version.
const FIRST_DOCUMENT: &[u8] = br#"{"version":4,"bindings":[],"functions":[]}"#;
/// Update that produces the second version, with surrounding whitespace.
const SECOND_CHANGE: &[u8] = b" {\"version\":7,\"limits\":{}} \n";
/// Configuration document of the second version.
const SECOND_DOCUMENT: &[u8] = br#"{"version":7,"bindings":[],"functions":[],"limits":{}}"#;

/// The configuration after a command that replaces the whole document.
pub fn replaced_configuration() -> ConfigurationRecord {
    let blank = ConfigurationRecord::default();
    blank.next(&CommandKind::Replace, 4, FIRST_DOCUMENT, FIRST_DOCUMENT)
}

/// The configuration after a command that updates only some fields.
pub fn updated_configuration() -> ConfigurationRecord {
    replaced_configuration().next(&CommandKind::Update, 7, SECOND_DOCUMENT, SECOND_CHANGE)
}

/// The configuration after so many commands that the oldest are dropped from its history.
pub fn long_history_configuration() -> ConfigurationRecord {
    let mut configuration = ConfigurationRecord::default();
    let count = ACCEPTED_COMMANDS_MAX as u64 + 3;
    for version in 1..=count {
        let body = format!("{{\"version\":{version}}}");
        let body = body.as_bytes();
        configuration = configuration.next(&CommandKind::Replace, version, body, body);
    }
    configuration
}

/// Values of the configuration register.
pub fn configurations() -> Vec<Sample<ConfigurationRecord>> {
    vec![
        sample("blank", ConfigurationRecord::default()),
        sample("replaced", replaced_configuration()),
        sample("updated", updated_configuration()),
        sample("long_history", long_history_configuration()),
    ]
}

/// Two zones were evacuated, and one of them was reopened.
pub fn two_zones() -> Evacuations {
    let blank = Evacuations::default();
    blank
        .next("north", true)
        .next("south", true)
        .next("north", false)
}

/// Values of the evacuations register.
pub fn evacuations() -> Vec<Sample<Evacuations>> {
    vec![
        sample("blank", Evacuations::default()),
        sample("one_zone", Evacuations::default().next("north", true)),
        sample("two_zones", two_zones()),
    ]
}
