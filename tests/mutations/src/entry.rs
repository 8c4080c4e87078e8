use crate::error::MutationError;
use figment::providers::{Format, Toml};
use figment::Figment;
use serde::Deserialize;
use std::path::{Path, PathBuf};
use std::{fs, io};

/// Folder of the entries, relative to the workspace root.
const ENTRIES_FOLDER: &str = "tests/mutations/entries";

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Description {
    removes: String,
    file: PathBuf,
    from: String,
    to: String,
    #[serde(default)]
    also: Vec<Replacement>,
    tests: Vec<String>,
}

/// A replacement of one piece of text in a source file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replacement {
    /// Text to replace; it must occur exactly once in the file.
    pub from: String,
    /// Replacement text.
    pub to: String,
}

/// A mutation that removes one safety mechanism.
#[derive(Clone, Debug)]
pub struct Entry {
    /// File name without its extension, such as `01-ballot-not-compared`.
    pub name: String,
    /// Number at the start of the name.
    pub number: u32,
    /// Description of the mechanism that is removed.
    pub removes: String,
    /// Source file, relative to the workspace root.
    pub file: PathBuf,
    /// Changes to the file: one, or several if the mechanism is implemented in more than one place.
    pub replacements: Vec<Replacement>,
    /// Arguments of `cargo test`, one string per run; at least one run must fail.
    pub tests: Vec<String>,
}

impl Entry {
    fn read(path: &Path) -> Result<Self, MutationError> {
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        let invalid = |reason: String| MutationError::Description {
            entry: name.to_string(),
            reason,
        };
        let text = fs::read_to_string(path)?;
        let description: Description = Figment::from(Toml::string(&text))
            .extract()
            .map_err(|error| invalid(error.to_string()))?;
        let number = name
            .split('-')
            .next()
            .and_then(|digits| digits.parse().ok());
        let number =
            number.ok_or_else(|| invalid("its file name does not start with a number".into()))?;
        if description.tests.is_empty() {
            return Err(invalid("`tests` is empty".into()));
        }
        let first = Replacement {
            from: description.from,
            to: description.to,
        };
        let mut replacements = vec![first];
        replacements.extend(description.also);
        Ok(Self {
            name: name.to_string(),
            number,
            removes: description.removes,
            file: description.file,
            replacements,
            tests: description.tests,
        })
    }

    /// Returns the mutated content of the entry's file, given its original content.
    pub fn mutated(&self, source: &str) -> Result<String, MutationError> {
        let mut mutated = source.to_string();
        for Replacement { from, to } in &self.replacements {
            let found = source.matches(from).count();
            if found != 1 || from == to {
                return Err(MutationError::TextNotUnique {
                    entry: self.name.clone(),
                    found,
                });
            }
            mutated = mutated.replacen(from, to, 1);
        }
        Ok(mutated)
    }

    /// Checks that the entry still applies to the sources under a workspace root.
    pub fn check(&self, root: &Path) -> Result<(), MutationError> {
        let source = fs::read_to_string(root.join(&self.file)).map_err(|error| {
            let path = self.file.display();
            io::Error::new(error.kind(), format!("{}: {path}: {error}", self.name))
        })?;
        self.mutated(&source).map(|_| ())
    }
}

/// Loads all entries under a workspace root, in the order of their numbers.
pub fn load_entries(root: &Path) -> Result<Vec<Entry>, MutationError> {
    let mut entries = Vec::new();
    for file in fs::read_dir(root.join(ENTRIES_FOLDER))? {
        entries.push(Entry::read(&file?.path())?);
    }
    entries.sort_by_key(|entry| entry.number);
    for pair in entries.windows(2) {
        if pair[0].number == pair[1].number {
            return Err(MutationError::Description {
                entry: pair[1].name.clone(),
                reason: "another entry has the same number".into(),
            });
        }
    }
    Ok(entries)
}
