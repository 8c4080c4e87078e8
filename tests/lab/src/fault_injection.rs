use crate::deployment::LabError;
use crate::member::Member;
use std::collections::HashMap;
use std::fs;
use std::path::{Path, PathBuf};

/// The library that is loaded into daemons whose calls to the system are to fail.
const LIBRARY: &str = "libfault_injection.so";

fn fault(error: impl std::fmt::Display) -> LabError {
    LabError::Fleet(format!("fault_injection: {error}"))
}

fn orders_of(dir: &Path, name: &str) -> PathBuf {
    dir.join("fault_injection").join(name)
}

fn data_of(dir: &Path, name: &str) -> PathBuf {
    dir.join("data").join(name)
}

/// Loads the library into a daemon, from its next start on.
pub fn load_into(member: &mut Member, dir: &Path) -> Result<(), LabError> {
    let own = std::env::current_exe().map_err(fault)?;
    let library = own.with_file_name(LIBRARY);
    if !library.is_file() {
        let text = format!(
            "{} is not there; build the whole workspace",
            library.display()
        );
        return Err(LabError::Input(text));
    }
    let commands = orders_of(dir, &member.name);
    fs::create_dir_all(&commands).map_err(fault)?;
    let dir = fs::canonicalize(dir).map_err(fault)?;
    let (data, commands) = (data_of(&dir, &member.name), orders_of(&dir, &member.name));
    member.set_environment(vec![
        ("LD_PRELOAD".into(), library.display().to_string()),
        ("MISHAPS_DATA".into(), data.display().to_string()),
        ("MISHAPS_ORDERS".into(), commands.display().to_string()),
    ]);
    Ok(())
}

/// What befalls a daemon from now on; an empty text ends it.
pub fn command(dir: &Path, name: &str, words: &str) -> Result<(), LabError> {
    let path = orders_of(dir, name).join("orders");
    let next = path.with_extension("next");
    fs::write(&next, words).map_err(fault)?;
    fs::rename(&next, &path).map_err(fault)
}

/// Takes from a killed daemon's files all that was not synced. Gives how many bytes went.
pub fn lose_unsynced(dir: &Path, name: &str) -> Result<u64, LabError> {
    let notes = fs::read_to_string(orders_of(dir, name).join("synced")).map_err(fault)?;
    let lines = notes.lines().filter_map(|line| line.split_once(' '));
    let lasting: HashMap<PathBuf, u64> = lines
        .map(|(size, file)| (PathBuf::from(file), size.parse().unwrap_or(0)))
        .collect();
    let data = fs::canonicalize(data_of(dir, name)).map_err(fault)?;
    let mut lost = 0;
    let mut folders = vec![data];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).map_err(fault)? {
            let path = entry.map_err(fault)?.path();
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            let size = fs::metadata(&path).map_err(fault)?.len();
            match lasting.get(&path) {
                None if size == 0 => {}
                None => {
                    lost += size;
                    fs::remove_file(&path).map_err(fault)?;
                }
                Some(lasts) if *lasts < size => {
                    lost += size - lasts;
                    let file = fs::File::options().write(true).open(&path).map_err(fault)?;
                    file.set_len(*lasts).map_err(fault)?;
                }
                Some(_) => {}
            }
        }
    }
    Ok(lost)
}
