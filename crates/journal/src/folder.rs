use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Port to the place where files live. Nothing lasts until it is synced.
pub trait Folder: Send {
    /// Names of all files.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Whole content of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Adds bytes at the end of a file, which is made where it is missing.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes the file's bytes, and its name, last.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Puts a whole file in place at once, synced.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Cuts a file to a length.
    fn cut(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A folder on a disk.
pub struct DiskFolder {
    path: PathBuf,
    open: Option<(String, File)>,
}

impl DiskFolder {
    /// Opens a folder and makes it where it is missing.
    pub fn open(path: &Path) -> io::Result<Self> {
        let is_new = !path.exists();
        fs::create_dir_all(path)?;
        // The folder's own name must last too.
        if let Some(parent) = path.parent().filter(|_| is_new) {
            File::open(parent)?.sync_all()?;
        }
        Ok(Self {
            path: path.to_path_buf(),
            open: None,
        })
    }

    fn sync_names(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if self.open.as_ref().is_none_or(|(open, _)| open != name) {
            let path = self.path.join(name);
            let is_new = !path.exists();
            let file = OpenOptions::new().create(true).append(true).open(path)?;
            self.open = Some((name.to_string(), file));
            if is_new {
                self.sync_names()?;
            }
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

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let passing = self.path.join(format!("{name}.new"));
        let mut file = File::create(&passing)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&passing, self.path.join(name))?;
        self.sync_names()
    }

    fn cut(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.open = None;
        let file = OpenOptions::new().write(true).open(self.path.join(name))?;
        file.set_len(length)?;
        file.sync_all()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open = None;
        fs::remove_file(self.path.join(name))
    }
}
