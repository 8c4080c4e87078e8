use std::fs;
use std::path::{Path, PathBuf};

/// A parsed source file of a crate.
pub struct SourceFile {
    /// Path relative to the workspace root.
    pub path: PathBuf,
    /// Module path within the crate, such as `["tracker", "progress"]`; empty for `lib.rs` and `main.rs`.
    pub module: Vec<String>,
    /// Syntax tree of the file.
    pub syntax: syn::File,
}

/// The workspace that contains this crate.
pub struct Workspace {
    root: PathBuf,
}

impl Workspace {
    /// Locates the workspace root, two folders above this crate.
    pub fn find() -> Self {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
        Self { root }
    }

    /// Resolves a path that is relative to the workspace root.
    pub fn path(&self, relative: impl AsRef<Path>) -> PathBuf {
        self.root.join(relative)
    }

    /// Returns the content of a text file.
    ///
    /// # Panics
    /// If the file cannot be read, since a test would then have nothing to check.
    pub fn read(&self, relative: impl AsRef<Path>) -> String {
        let path = self.path(relative);
        fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
    }

    /// Returns the lines of a list file, without comments and blank lines.
    pub fn list(&self, relative: impl AsRef<Path>) -> Vec<String> {
        let text = self.read(relative);
        let lines = text.lines().map(str::trim);
        let entries = lines.filter(|line| !line.is_empty() && !line.starts_with('#'));
        entries.map(str::to_string).collect()
    }

    /// Returns the folders of the crates that are checked against the conventions.
    pub fn done_crates(&self) -> Vec<String> {
        self.list("tests/conventions/done-crates.txt")
    }

    /// Returns all files with an extension below a folder, as sorted paths relative to the workspace root.
    pub fn files(&self, folder: &str, wanted_extension: &str) -> Vec<PathBuf> {
        let mut found = Vec::new();
        let mut folders = vec![PathBuf::from(folder)];
        while let Some(folder) = folders.pop() {
            let Ok(entries) = fs::read_dir(self.path(&folder)) else {
                continue;
            };
            for entry in entries.flatten() {
                let path = folder.join(entry.file_name());
                if self.path(&path).is_dir() {
                    folders.push(path);
                } else if path
                    .extension()
                    .is_some_and(|extension| extension == wanted_extension)
                {
                    found.push(path);
                }
            }
        }
        found.sort();
        found
    }

    /// Parses the source files of a crate, without its `tests` folder.
    ///
    /// # Panics
    /// If a file cannot be read or is not valid Rust.
    pub fn sources(&self, crate_folder: &str) -> Vec<SourceFile> {
        let source_folder = format!("{crate_folder}/src");
        let parse = |path: PathBuf| {
            let parsed = syn::parse_file(&self.read(&path));
            let syntax = parsed.unwrap_or_else(|error| panic!("{}: {error}", path.display()));
            let module = module_of(&path, &source_folder);
            SourceFile {
                path,
                module,
                syntax,
            }
        };
        let files = self.files(&source_folder, "rs");
        files.into_iter().map(parse).collect()
    }
}

fn module_of(path: &Path, source_folder: &str) -> Vec<String> {
    let relative = path.strip_prefix(source_folder).unwrap_or(path);
    let parts = relative.with_extension("");
    let names = parts.iter().map(|part| part.to_string_lossy().to_string());
    names
        .filter(|name| !matches!(name.as_str(), "lib" | "main" | "mod"))
        .collect()
}
