use crate::deployment::LabError;
use crate::member::Member;
use std::collections::HashMap;
use std::fs;
use std::path::{Path, PathBuf};

/// Library that is preloaded into daemons to make their system calls fail.
const LIBRARY: &str = "libfault_injection.so";

fn to_error(error: impl std::fmt::Display) -> LabError {
    LabError::Fleet(format!("fault_injection: {error}"))
}

fn command_folder(dir: &Path, name: &str) -> PathBuf {
    dir.join("fault_injection").join(name)
}

fn data_folder(dir: &Path, name: &str) -> PathBuf {
    dir.join("data").join(name)
}

/// Preloads the library into a daemon, which takes effect at its next start.
pub fn load_into(member: &mut Member, dir: &Path) -> Result<(), LabError> {
    let own_path = std::env::current_exe().map_err(to_error)?;
    let library = own_path.with_file_name(LIBRARY);
    if !library.is_file() {
        let text = format!(
            "{} does not exist; build the whole workspace",
            library.display()
        );
        return Err(LabError::Input(text));
    }
    let command_dir = command_folder(dir, &member.name);
    fs::create_dir_all(&command_dir).map_err(to_error)?;
    let dir = fs::canonicalize(dir).map_err(to_error)?;
    let (data, command_dir) = (
        data_folder(&dir, &member.name),
        command_folder(&dir, &member.name),
    );
    member.set_environment(vec![
        ("LD_PRELOAD".into(), library.display().to_string()),
        ("MISHAPS_DATA".into(), data.display().to_string()),
        ("MISHAPS_ORDERS".into(), command_dir.display().to_string()),
    ]);
    Ok(())
}

/// Sets the faults that are injected into a daemon from now on; an empty text ends them.
pub fn command(dir: &Path, name: &str, words: &str) -> Result<(), LabError> {
    let path = command_folder(dir, name).join("orders");
    let next_path = path.with_extension("next");
    fs::write(&next_path, words).map_err(to_error)?;
    fs::rename(&next_path, &path).map_err(to_error)
}

/// Removes all unsynced data from the files of a killed daemon and returns the number of bytes removed.
pub fn lose_unsynced(dir: &Path, name: &str) -> Result<u64, LabError> {
    let notes = fs::read_to_string(command_folder(dir, name).join("synced")).map_err(to_error)?;
    let lines = notes.lines().filter_map(|line| line.split_once(' '));
    let synced_sizes: HashMap<PathBuf, u64> = lines
        .map(|(size, file)| (PathBuf::from(file), size.parse().unwrap_or(0)))
        .collect();
    let data = fs::canonicalize(data_folder(dir, name)).map_err(to_error)?;
    let mut removed_bytes = 0;
    let mut folders = vec![data];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).map_err(to_error)? {
            let path = entry.map_err(to_error)?.path();
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            let size = fs::metadata(&path).map_err(to_error)?.len();
            match synced_sizes.get(&path) {
                None if size == 0 => {}
                None => {
                    removed_bytes += size;
                    fs::remove_file(&path).map_err(to_error)?;
                }
                Some(synced_size) if *synced_size < size => {
                    removed_bytes += size - synced_size;
                    let file = fs::File::options()
                        .write(true)
                        .open(&path)
                        .map_err(to_error)?;
                    file.set_len(*synced_size).map_err(to_error)?;
                }
                Some(_) => {}
            }
        }
    }
    Ok(removed_bytes)
}
