//! Scratch checkouts in which arms are built and played, so that an experiment changes nothing in the sources that it compares.
//!
//! A checkout keeps its build from one experiment to the next; only files that differ are copied.

use crate::arm::Arm;
use crate::error::ExperimentError;
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::path::{Path, PathBuf};
use std::process::Command;

/// The deploy file, from the root of a checkout.
const DEPLOY_FILE: &str = "deploy/system.toml";
/// The folder of journal entries, from the root of a checkout.
const JOURNAL: &str = "journal";

/// A scratch checkout of one folder of sources.
#[derive(Debug)]
pub struct Checkout {
    sources: PathBuf,
    folder: PathBuf,
}

impl Checkout {
    /// Brings the scratch checkout of these sources up to date.
    ///
    /// # Errors
    ///
    /// The sources are no checkout, or a file cannot be copied.
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
            run(clone.arg(&sources).arg(&folder))?;
        }
        let checkout = Self { sources, folder };
        checkout.copy_sources()?;
        Ok(checkout)
    }

    /// The folder in which days are played.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Writes the deploy file of an arm.
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

    /// Copies the journal entries that were written here to a folder that keeps them; how many there were.
    ///
    /// # Errors
    ///
    /// A folder cannot be read, or a file not copied.
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
        let wanted = listed_files(&self.sources)?;
        for name in &wanted {
            copy_if_changed(&self.sources.join(name), &self.folder.join(name))?;
        }
        for name in listed_files(&self.folder)?.difference(&wanted) {
            let path = self.folder.join(name);
            if !name.starts_with(JOURNAL) && path.exists() {
                std::fs::remove_file(&path).map_err(ExperimentError::io(&path))?;
            }
        }
        Ok(())
    }
}

/// Files that git knows or does not ignore.
fn listed_files(folder: &Path) -> Result<BTreeSet<String>, ExperimentError> {
    let mut list = Command::new("git");
    list.current_dir(folder);
    list.args(["ls-files", "--cached", "--others", "--exclude-standard"]);
    let output = run(&mut list)?;
    Ok(output.lines().map(str::to_owned).collect())
}

/// Copies a file unless the target has its content already, so that builds see no change where there is none.
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

/// Runs a command to its end and gives what it wrote.
///
/// # Errors
///
/// The command cannot be run, or ends with an error.
pub fn run(command: &mut Command) -> Result<String, ExperimentError> {
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
