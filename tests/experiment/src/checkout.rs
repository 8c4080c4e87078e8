//! Scratch checkouts in which arms are built and run, so that an experiment doesn't modify the source trees it compares.
//!
//! A scratch checkout keeps its build output between experiments; only files that differ are copied.

use crate::arm::Arm;
use crate::error::ExperimentError;
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::path::{Path, PathBuf};
use std::process::Command;

/// Path of the deploy file in a checkout.
const DEPLOY_FILE: &str = "deploy/system.toml";
/// Folder of the journal entries in a checkout.
const JOURNAL: &str = "journal";

/// A scratch copy of one source tree.
#[derive(Debug)]
pub struct Checkout {
    sources: PathBuf,
    folder: PathBuf,
}

impl Checkout {
    /// Creates or updates the scratch checkout of a source tree.
    ///
    /// # Errors
    ///
    /// The source tree is not a git checkout, or a file cannot be copied.
    pub fn prepare(sources: &Path, scratch: &Path) -> Result<Self, ExperimentError> {
        let sources = sources
            .canonicalize()
            .map_err(ExperimentError::io(sources))?;
        let mut hasher = DefaultHasher::new();
        sources.hash(&mut hasher);
        let folder = scratch.join(format!("{:016x}", hasher.finish()));
        if !folder.join(".git").exists() {
            std::fs::create_dir_all(scratch).map_err(ExperimentError::io(scratch))?;
            let mut clone = Command::new("git");
            clone.args(["clone", "--quiet", "--shared"]);
            run_command(clone.arg(&sources).arg(&folder))?;
        }
        let checkout = Self { sources, folder };
        checkout.copy_sources()?;
        Ok(checkout)
    }

    /// The folder in which days run.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Writes an arm's deploy file to the scratch checkout.
    ///
    /// # Errors
    ///
    /// The file cannot be read or written.
    pub fn deploy(&self, arm: &Arm) -> Result<(), ExperimentError> {
        let original = self.sources.join(DEPLOY_FILE);
        let text = std::fs::read_to_string(&original).map_err(ExperimentError::io(&original))?;
        let path = self.folder.join(DEPLOY_FILE);
        std::fs::write(&path, arm.deploy_file(&text)).map_err(ExperimentError::io(&path))
    }

    /// Copies new journal entries from the scratch checkout to `to` and returns their number.
    ///
    /// # Errors
    ///
    /// A folder cannot be read, or a file cannot be copied.
    pub fn copy_journal(&self, to: &Path) -> Result<usize, ExperimentError> {
        let from = self.folder.join(JOURNAL);
        let to = to.join(JOURNAL);
        std::fs::create_dir_all(&to).map_err(ExperimentError::io(&to))?;
        let mut copied = 0;
        for entry in std::fs::read_dir(&from).map_err(ExperimentError::io(&from))? {
            let path = entry.map_err(ExperimentError::io(&from))?.path();
            let Some(name) = path.file_name().filter(|_| path.is_file()) else {
                continue;
            };
            let target = to.join(name);
            if !target.exists() {
                std::fs::copy(&path, &target).map_err(ExperimentError::io(&path))?;
                copied += 1;
            }
        }
        Ok(copied)
    }

    fn copy_sources(&self) -> Result<(), ExperimentError> {
        let source_files = listed_files(&self.sources)?;
        for name in &source_files {
            copy_if_changed(&self.sources.join(name), &self.folder.join(name))?;
        }
        for name in listed_files(&self.folder)?.difference(&source_files) {
            let path = self.folder.join(name);
            if !name.starts_with(JOURNAL) && path.exists() {
                std::fs::remove_file(&path).map_err(ExperimentError::io(&path))?;
            }
        }
        Ok(())
    }
}

/// Tracked files and untracked files that git doesn't ignore.
fn listed_files(folder: &Path) -> Result<BTreeSet<String>, ExperimentError> {
    let mut list = Command::new("git");
    list.current_dir(folder);
    list.args(["ls-files", "--cached", "--others", "--exclude-standard"]);
    let output = run_command(&mut list)?;
    Ok(output.lines().map(str::to_owned).collect())
}

/// Copies a file unless the target already has the same content: a newer modification time would trigger a rebuild.
fn copy_if_changed(from: &Path, to: &Path) -> Result<(), ExperimentError> {
    if !from.exists() {
        return Ok(());
    }
    let content = std::fs::read(from).map_err(ExperimentError::io(from))?;
    if std::fs::read(to).is_ok_and(|present| present == content) {
        return Ok(());
    }
    if let Some(parent) = to.parent() {
        std::fs::create_dir_all(parent).map_err(ExperimentError::io(parent))?;
    }
    std::fs::copy(from, to).map_err(ExperimentError::io(to))?;
    Ok(())
}

/// Runs a command to completion and returns its standard output.
///
/// # Errors
///
/// The command cannot be started or exits with an error.
pub fn run_command(command: &mut Command) -> Result<String, ExperimentError> {
    let program = PathBuf::from(command.get_program());
    let output = command.output().map_err(ExperimentError::io(&program))?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    if output.status.success() {
        return Ok(text);
    }
    let errors = String::from_utf8_lossy(&output.stderr);
    let lines: Vec<&str> = text.lines().chain(errors.lines()).collect();
    let tail = &lines[lines.len().saturating_sub(12)..];
    Err(ExperimentError::Command {
        command: format!("{command:?}"),
        output: tail.join("\n"),
    })
}
