//! Writes the fixtures that do not exist yet. Only for adding fixtures for a new version.
//!
//! An existing file is never overwritten: it holds bytes that are on disks and on the wire, so a test that fails against
//! it has found an incompatible change. Run by hand from the workspace root:
//! `cargo run -p compatibility --example capture_new_version`.

use compatibility::{families, fixtures_path, folders, FolderContent};
use std::fs;
use std::io;
use std::path::Path;

fn write_new(path: &Path, bytes: &[u8]) -> io::Result<()> {
    if path.exists() {
        return Ok(());
    }
    if let Some(folder) = path.parent() {
        fs::create_dir_all(folder)?;
    }
    println!("captured {}", path.display());
    fs::write(path, bytes)
}

fn main() -> io::Result<()> {
    for family in families() {
        let path = fixtures_path().join(format!("{}.hex", family.name));
        write_new(&path, family.values.to_text().as_bytes())?;
    }
    for stage in folders() {
        let path = FolderContent::path(stage.scenario, stage.stage);
        // A captured folder is complete: files that only a newer version writes must not be added to it.
        if path.exists() {
            continue;
        }
        for (name, bytes) in stage.content.files() {
            write_new(&path.join(name), bytes)?;
        }
    }
    Ok(())
}
