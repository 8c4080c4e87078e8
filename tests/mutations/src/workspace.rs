//! Looks up packages and test targets of a workspace.

use crate::entry::Entry;
use crate::error::MutationError;
use crate::tree::files_under;
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

/// File name of a package manifest.
const MANIFEST: &str = "Cargo.toml";

/// The packages of a workspace.
pub struct Workspace {
    root: PathBuf,
    /// Folder of each package, relative to the root, by package name.
    packages: BTreeMap<String, PathBuf>,
}

impl Workspace {
    /// Finds all packages under a workspace root.
    pub fn read(root: &Path) -> Result<Self, MutationError> {
        let mut packages = BTreeMap::new();
        for file in files_under(root)? {
            if file.file_name().is_none_or(|name| name != MANIFEST) {
                continue;
            }
            let manifest = fs::read_to_string(root.join(&file))?;
            let folder = file.parent().unwrap_or(Path::new(""));
            if let Some(name) = package_name(&manifest) {
                packages.insert(name.to_string(), folder.to_path_buf());
            }
        }
        Ok(Self {
            root: root.to_path_buf(),
            packages,
        })
    }

    /// Returns the name of the package that contains a source file.
    pub fn package_of(&self, file: &Path) -> Result<&str, MutationError> {
        let packages = self.packages.iter();
        let owners = packages.filter(|(_, folder)| file.starts_with(folder));
        let owner = owners.max_by_key(|(_, folder)| folder.components().count());
        let name = owner.map(|(name, _)| name.as_str());
        name.ok_or_else(|| MutationError::NoPackage(file.to_path_buf()))
    }

    /// Checks that all tests that an entry names exist.
    pub fn check_tests(&self, entry: &Entry) -> Result<(), MutationError> {
        for tests in &entry.tests {
            if !self.has_tests(tests) {
                return Err(MutationError::NoSuchTests {
                    entry: entry.name.clone(),
                    tests: tests.clone(),
                });
            }
        }
        Ok(())
    }

    /// Whether arguments of `cargo test` name a package of the workspace, and only test targets that it has.
    fn has_tests(&self, arguments: &str) -> bool {
        let words: Vec<&str> = arguments.split_whitespace().collect();
        let mut folder = None;
        let mut targets = Vec::new();
        for pair in words.windows(2) {
            match pair[0] {
                "-p" => folder = self.packages.get(pair[1]),
                "--test" => targets.push(pair[1]),
                _ => {}
            }
        }
        let Some(folder) = folder else {
            return false;
        };
        let tests = self.root.join(folder).join("tests");
        let target_exists = |target: &&str| {
            tests.join(format!("{target}.rs")).is_file()
                || tests.join(target).join("main.rs").is_file()
        };
        targets.iter().all(target_exists)
    }
}

/// Returns the package name in a manifest; `None` if the manifest has no package.
fn package_name(manifest: &str) -> Option<&str> {
    let (_, package) = manifest.split_once("[package]\n")?;
    let name = package
        .lines()
        .find_map(|line| line.strip_prefix("name = "));
    name.map(|name| name.trim_matches('"'))
}
