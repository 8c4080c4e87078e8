//! The trait through which a journal accesses its files, and its implementation for a directory on disk.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Suffix of a temporary file that has not been renamed to its final name yet.
pub(crate) const TEMPORARY_SUFFIX: &str = ".new";

/// Access to a directory of files. Bytes are durable once their file is synced; creations, renames and removals are
/// durable once the directory is synced. Until then a power loss may keep or lose each of them independently.
pub trait Folder: Send {
    /// Names of all files.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Reads the whole content of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Appends bytes to a file, which is created if it doesn't exist.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes a file's content durable, but not its name.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file, replacing any file with the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes all names durable by syncing the directory.
    fn sync_names(&mut self) -> io::Result<()>;

    /// Replaces a whole file atomically; when this returns without an error, both its content and its name are durable.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let temporary = format!("{name}{TEMPORARY_SUFFIX}");
        if self.list()?.contains(&temporary) {
            self.remove(&temporary)?;
        }
        self.append(&temporary, bytes)?;
        self.sync(&temporary)?;
        self.rename(&temporary, name)?;
        self.sync_names()
    }
}

/// A directory on disk. Keeps the file that was written last open.
pub struct DiskFolder {
    path: PathBuf,
    open: Option<(String, File)>,
}

impl DiskFolder {
    /// Opens a directory, and creates it if it doesn't exist.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        // Also needed if the directory existed: the process that created it may have been killed before it synced the parent.
        if let Some(parent) = path.parent() {
            File::open(parent)?.sync_all()?;
        }
        Ok(Self {
            path: path.to_path_buf(),
            open: None,
        })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if self.open.as_ref().is_none_or(|(open, _)| open != name) {
            let path = self.path.join(name);
            let file = OpenOptions::new().create(true).append(true).open(path)?;
            self.open = Some((name.to_string(), file));
        }
        match self.open.as_mut() {
            Some((_, file)) => Ok(file),
            None => Err(io::Error::other("no open file")),
        }
    }
}

impl Folder for DiskFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            names.push(entry?.file_name().to_string_lossy().into_owned());
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open = None;
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open = None;
        fs::remove_file(self.path.join(name))
    }

    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
