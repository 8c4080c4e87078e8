//! Data folders as maps of file names to bytes, loaded from fixtures or from an in-memory folder under test.

use crate::fixture::fixtures_path;
use journal::{Folder, MemoryFolder};
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// All files of a data folder.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FolderContent {
    files: BTreeMap<String, Vec<u8>>,
}

impl FolderContent {
    /// Reads a captured folder.
    ///
    /// # Panics
    /// If it cannot be read: fixtures are part of the source tree.
    pub fn load(scenario: &str, stage: &str) -> Self {
        let path = Self::path(scenario, stage);
        let content = Self::read_directory(&path);
        content.unwrap_or_else(|error| panic!("{}: {error}", path.display()))
    }

    /// Path of a captured folder.
    pub fn path(scenario: &str, stage: &str) -> PathBuf {
        fixtures_path().join("folders").join(scenario).join(stage)
    }

    fn read_directory(path: &Path) -> io::Result<Self> {
        let mut files = BTreeMap::new();
        for entry in fs::read_dir(path)? {
            let entry = entry?;
            let name = entry.file_name().to_string_lossy().into_owned();
            files.insert(name, fs::read(entry.path())?);
        }
        Ok(Self { files })
    }

    /// The files of an in-memory folder.
    pub fn of(folder: &MemoryFolder) -> Self {
        let names = folder.list().expect("a folder in memory can be listed");
        let files = names.into_iter().map(|name| {
            let bytes = folder.read(&name).expect("a listed file can be read");
            (name, bytes)
        });
        Self {
            files: files.collect(),
        }
    }

    /// An in-memory folder with these files, all synced.
    pub fn to_memory(&self) -> MemoryFolder {
        let mut folder = MemoryFolder::default();
        for (name, bytes) in &self.files {
            folder.append(name, bytes).expect("memory takes all bytes");
            folder.sync(name).expect("memory can be synced");
        }
        folder.sync_names().expect("memory can be synced");
        folder
    }

    /// File contents by name.
    pub fn files(&self) -> &BTreeMap<String, Vec<u8>> {
        &self.files
    }

    /// Sorted names of the files whose contents differ or that exist in only one of the two folders.
    pub fn differing_files(&self, other: &Self) -> Vec<String> {
        let names = self.files.keys().chain(other.files.keys());
        let mut differing: Vec<String> = names
            .filter(|name| self.files.get(*name) != other.files.get(*name))
            .cloned()
            .collect();
        differing.sort();
        differing.dedup();
        differing
    }

    /// A copy in which one file lacks its last `missing` bytes, as after a power loss.
    ///
    /// # Panics
    /// If the file does not exist or is shorter than `missing`.
    pub fn with_torn_end(&self, name: &str, missing: usize) -> Self {
        let mut torn = self.clone();
        let bytes = torn.files.get_mut(name).expect("the file is there");
        bytes.truncate(bytes.len() - missing);
        torn
    }
}
