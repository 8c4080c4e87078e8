//! Captured values: one text file for each family, one line `name = hex` for each value.

use crate::hex;
use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;

/// Folder of all fixture files.
pub fn fixtures_path() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("fixtures")
}

/// The captured bytes of one family of values.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HexFixture {
    values: BTreeMap<String, Vec<u8>>,
}

impl HexFixture {
    /// Reads a family's fixture file.
    ///
    /// # Panics
    /// If the file cannot be read or a line is malformed: fixtures are part of the source tree.
    pub fn load(family: &str) -> Self {
        let path = fixtures_path().join(format!("{family}.hex"));
        let text = fs::read_to_string(&path);
        let text = text.unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        let mut fixture = Self::default();
        for line in text.lines() {
            let (name, digits) = line.split_once(" = ").expect("a line is `name = hex`");
            let bytes = hex::decode(digits).expect("the digits are hexadecimal");
            fixture.insert(name, bytes);
        }
        fixture
    }

    /// Adds a value.
    ///
    /// # Panics
    /// If the name already exists.
    pub fn insert(&mut self, name: &str, bytes: Vec<u8>) {
        let previous = self.values.insert(name.to_string(), bytes);
        assert!(previous.is_none(), "{name} is present twice");
    }

    /// The captured bytes of a value.
    ///
    /// # Panics
    /// If no value has this name.
    pub fn bytes(&self, name: &str) -> &[u8] {
        let bytes = self.values.get(name);
        bytes.unwrap_or_else(|| panic!("no captured value is named {name}"))
    }

    /// Names of all values.
    pub fn names(&self) -> Vec<&str> {
        self.values.keys().map(String::as_str).collect()
    }

    /// The text of the fixture file.
    pub fn to_text(&self) -> String {
        let lines = self.values.iter();
        lines
            .map(|(name, bytes)| format!("{name} = {}\n", hex::encode(bytes)))
            .collect()
    }
}
