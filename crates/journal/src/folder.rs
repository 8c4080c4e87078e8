//! The port through which a journal reaches its files, and its implementation for a directory on a disk.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Suffix of a file that is being written and has not been put in place yet.
pub(crate) const TEMPORARY_SUFFIX: &str = ".new";

/// Port to a directory of files. Bytes last once their file is synced, and names that were made, renamed or
/// removed last once the directory is synced; until then each of them may be kept or lost by itself.
pub trait Folder: Send {
    /// Names of all files.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Whole content of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Adds bytes at the end of a file, which is made where it is missing.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes a file's bytes last, but not its name.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file, in place of another one where there is one.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes all names last.
    fn sync_names(&mut self) -> io::Result<()>;

    /// Puts a whole file in place at once; when this returns, both its bytes and its name last.
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

/// A directory on a disk.
pub struct DiskFolder {
    path: PathBuf,
    open: Option<(String, File)>,
}

impl DiskFolder {
    /// Opens a directory, and makes it where it is missing.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        // Also where the directory was found: whoever made it may have been killed before this.
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
