use crate::shared::CoreError;
use journal::{DiskFolder, Folder};
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::path::Path;

const FORMAT: u32 = 1;
const FILE: &str = "identity.json";

/// Whose data folder it is. The disk's id is made with it, so that an emptied disk is another one.
#[derive(Debug, Serialize, Deserialize)]
pub struct Identity {
    pub format: u32,
    pub name: String,
    pub disk: u64,
}

/// Opens a data folder for a daemon, and holds it for this process alone.
pub fn open(path: &Path, name: &str) -> Result<(Identity, File), CoreError> {
    let mut folder = DiskFolder::open(path).map_err(CoreError::Io)?;
    let lock = File::create(path.join("lock")).map_err(CoreError::Io)?;
    if lock.try_lock().is_err() {
        let reason = format!(
            "data folder {} is in use by another process",
            path.display()
        );
        return Err(CoreError::NotOurs(reason));
    }
    let names = folder.list().map_err(CoreError::Io)?;
    if !names.iter().any(|known| known == FILE) {
        let identity = Identity {
            format: FORMAT,
            name: name.to_string(),
            disk: rand::rng().random(),
        };
        let text = serde_json::to_vec(&identity).unwrap_or_default();
        folder.replace(FILE, &text).map_err(CoreError::Io)?;
        return Ok((identity, lock));
    }
    let text = folder.read(FILE).map_err(CoreError::Io)?;
    let Ok(identity) = serde_json::from_slice::<Identity>(&text) else {
        let reason = format!("{} in {} cannot be read", FILE, path.display());
        return Err(CoreError::NotOurs(reason));
    };
    if identity.format > FORMAT {
        let reason = format!(
            "data folder {} is of format {}, newer than {FORMAT}",
            path.display(),
            identity.format
        );
        return Err(CoreError::NotOurs(reason));
    }
    if identity.name != name {
        let reason = format!(
            "data folder {} belongs to {:?}, not to {name:?}",
            path.display(),
            identity.name
        );
        return Err(CoreError::NotOurs(reason));
    }
    Ok((identity, lock))
}
