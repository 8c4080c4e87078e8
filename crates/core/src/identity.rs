use crate::shared::CoreError;
use journal::{DiskFolder, Folder};
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::path::Path;

const FORMAT: u32 = 1;
const FILE_NAME: &str = "identity.json";

/// Owner of a data folder. The random disk id is created together with it, so an emptied disk gets a new id.
#[derive(Debug, Serialize, Deserialize)]
pub struct Identity {
    pub format: u32,
    pub name: String,
    pub disk: u64,
}

/// Opens the data folder of a daemon, writing its identity on first use, and locks it for this process.
pub fn open(path: &Path, name: &str) -> Result<(Identity, File), CoreError> {
    let mut folder = DiskFolder::open(path).map_err(CoreError::Io)?;
    let lock = File::create(path.join("lock")).map_err(CoreError::Io)?;
    if lock.try_lock().is_err() {
        let reason = format!(
            "data folder {} is in use by another process",
            path.display()
        );
        return Err(CoreError::UnusableDataFolder(reason));
    }
    let names = folder.list().map_err(CoreError::Io)?;
    if !names.iter().any(|existing| existing == FILE_NAME) {
        let identity = Identity {
            format: FORMAT,
            name: name.to_string(),
            disk: rand::rng().random(),
        };
        let bytes = serde_json::to_vec(&identity).unwrap_or_default();
        folder.replace(FILE_NAME, &bytes).map_err(CoreError::Io)?;
        return Ok((identity, lock));
    }
    let bytes = folder.read(FILE_NAME).map_err(CoreError::Io)?;
    let Ok(identity) = serde_json::from_slice::<Identity>(&bytes) else {
        let reason = format!("{} in {} cannot be read", FILE_NAME, path.display());
        return Err(CoreError::UnusableDataFolder(reason));
    };
    if identity.format > FORMAT {
        let reason = format!(
            "data folder {} is of format {}, newer than {FORMAT}",
            path.display(),
            identity.format
        );
        return Err(CoreError::UnusableDataFolder(reason));
    }
    if identity.name != name {
        let reason = format!(
            "data folder {} belongs to {:?}, not to {name:?}",
            path.display(),
            identity.name
        );
        return Err(CoreError::UnusableDataFolder(reason));
    }
    Ok((identity, lock))
}
