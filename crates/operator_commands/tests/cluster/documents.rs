//! A minimal configuration format for tests: named numbers, none of which may be zero.

use routing::{ConfigurationError, ConfigurationFormat, RoutingConfiguration};
use serde_json::{json, Map, Value};

/// Item with the number of the command that created the document.
pub const COMMAND: &str = "command";
const VERSION: &str = "version";
const ITEMS: &str = "items";
const REMOVED: &str = "removed";

/// Implements the test format.
pub struct TestFormat;

fn parse(bytes: &[u8]) -> Result<Map<String, Value>, ConfigurationError> {
    serde_json::from_slice(bytes).map_err(|error| ConfigurationError::Unreadable(error.to_string()))
}

fn items_of(
    document: &mut Map<String, Value>,
) -> Result<&mut Map<String, Value>, ConfigurationError> {
    let items = document.get_mut(ITEMS).and_then(Value::as_object_mut);
    items.ok_or_else(|| ConfigurationError::Invalid("there are no items".into()))
}

impl ConfigurationFormat for TestFormat {
    fn parse(&self, document: &[u8]) -> Result<RoutingConfiguration, ConfigurationError> {
        let mut document = parse(document)?;
        if items_of(&mut document)?.values().any(|value| *value == 0) {
            return Err(ConfigurationError::Invalid("an item is zero".into()));
        }
        Ok(RoutingConfiguration::default())
    }

    fn apply_change(
        &self,
        _: &RoutingConfiguration,
        change: &[u8],
    ) -> Result<RoutingConfiguration, ConfigurationError> {
        self.parse(change)
    }

    fn merge_change(&self, document: &[u8], change: &[u8]) -> Result<Vec<u8>, ConfigurationError> {
        let mut document = parse(document)?;
        let mut change = parse(change)?;
        let items = items_of(&mut document)?;
        items.append(items_of(&mut change)?);
        if let Some(removed) = change.get(REMOVED).and_then(Value::as_str) {
            if items.remove(removed).is_none() {
                return Err(ConfigurationError::Invalid("there is no such item".into()));
            }
        }
        document.insert(VERSION.into(), change[VERSION].clone());
        Ok(Value::Object(document).to_string().into_bytes())
    }
}

/// A body that sets the command number and one other item.
pub fn body(version: u64, command: u64, item: &str, value: u64) -> Vec<u8> {
    json!({ VERSION: version, ITEMS: { COMMAND: command, item: value } })
        .to_string()
        .into_bytes()
}

/// A change that removes an item, which may not exist.
pub fn body_removing(version: u64, command: u64, item: &str) -> Vec<u8> {
    json!({ VERSION: version, ITEMS: { COMMAND: command }, REMOVED: item })
        .to_string()
        .into_bytes()
}

/// The version in a body or document.
pub fn version_of(document: &[u8]) -> Option<u64> {
    parse(document).ok()?.get(VERSION)?.as_u64()
}

/// The number of the command that created a document.
pub fn command_of(document: &[u8]) -> Option<u64> {
    let mut document = parse(document).ok()?;
    items_of(&mut document).ok()?.get(COMMAND)?.as_u64()
}
