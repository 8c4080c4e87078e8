use crate::entry::Entry;
use crate::error::MutationError;
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Folders at the workspace root that no build needs.
const SKIPPED: [&str; 3] = ["target", ".git", "journal"];

/// A copy of the sources to which one entry at a time is applied.
///
/// Only files whose content differs are written, so that cargo rebuilds only what changed. A restored file gets a new
/// modification time, which makes cargo rebuild it.
pub struct ScratchTree {
    root: PathBuf,
    copy: PathBuf,
}

impl ScratchTree {
    /// Describes a copy of the sources under `root` at `copy`; [`ScratchTree::apply`] creates the files.
    pub fn new(root: &Path, copy: &Path) -> Self {
        Self {
            root: root.to_path_buf(),
            copy: copy.to_path_buf(),
        }
    }

    /// Root of the copy.
    pub fn path(&self) -> &Path {
        &self.copy
    }

    /// Makes the copy equal to the sources with the entry applied.
    pub fn apply(&self, entry: &Entry) -> Result<(), MutationError> {
        let files = files_under(&self.root)?;
        for file in &files {
            let mut content = fs::read(self.root.join(file))?;
            if *file == entry.file {
                let source = String::from_utf8_lossy(&content);
                content = entry.mutated(&source)?.into_bytes();
            }
            write_if_different(&self.copy.join(file), &content)?;
        }
        if self.copy.exists() {
            let kept: BTreeSet<&PathBuf> = files.iter().collect();
            for file in files_under(&self.copy)? {
                if !kept.contains(&file) {
                    fs::remove_file(self.copy.join(file))?;
                }
            }
        }
        Ok(())
    }
}

fn write_if_different(path: &Path, content: &[u8]) -> Result<(), MutationError> {
    if fs::read(path).is_ok_and(|present| present == content) {
        return Ok(());
    }
    if let Some(folder) = path.parent() {
        fs::create_dir_all(folder)?;
    }
    fs::write(path, content)?;
    Ok(())
}

/// Returns the paths of all files under a workspace root, relative to it and sorted, except those that no build needs.
pub(crate) fn files_under(root: &Path) -> Result<Vec<PathBuf>, MutationError> {
    let mut files = Vec::new();
    let mut folders = vec![PathBuf::new()];
    while let Some(folder) = folders.pop() {
        for item in fs::read_dir(root.join(&folder))? {
            let item = item?;
            let name = item.file_name();
            let is_skipped = SKIPPED.iter().any(|skipped| name == *skipped);
            if folder.as_os_str().is_empty() && is_skipped {
                continue;
            }
            let kind = item.file_type()?;
            if kind.is_dir() {
                folders.push(folder.join(name));
            } else if kind.is_file() {
                files.push(folder.join(name));
            }
        }
    }
    files.sort();
    Ok(files)
}
