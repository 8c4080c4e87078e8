//! Captures fixtures that are not there yet, for a new fixture of a new version only.
//!
//! A file that exists is never written again: it stands for bytes that are on disks and on the wire, and a test that
//! fails against it has found a change that breaks a running system. Run it by hand, from the root of the workspace:
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
        // A captured folder is whole: a file that a newer version writes beside the others does not belong to it.
        if path.exists() {
            continue;
        }
        for (name, bytes) in stage.content.files() {
            write_new(&path.join(name), bytes)?;
        }
    }
    Ok(())
}
