//! The value of the evacuations register.
//!
//! The encoding is stored on disk and sent between controllers, so the order of the fields must not change.

use speedy::{Readable, Writable};

/// Counts how often a zone's evacuation was begun or finished.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ZoneChange {
    /// Name of the zone.
    pub zone: String,
    /// Incremented with each change of the zone's state.
    pub count: u64,
}

/// The evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct Evacuations {
    /// Names of the evacuated zones.
    pub zones: Vec<String>,
    /// Change counter of each zone that was ever evacuated; bounded by the number of zones in the system.
    pub changes: Vec<ZoneChange>,
}

impl Evacuations {
    /// Decodes a register value; `None` if it cannot be decoded. Empty bytes decode to no evacuations.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        if bytes.is_empty() {
            return Some(Self::default());
        }
        Self::read_from_buffer(bytes).ok()
    }

    /// Whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.zones.iter().any(|known| known == zone)
    }

    /// Number of changes of a zone's state.
    pub fn change_count(&self, zone: &str) -> u64 {
        let mut changes = self.changes.iter();
        let change = changes.find(|change| change.zone == zone);
        change.map_or(0, |change| change.count)
    }

    /// The value after beginning (`is_evacuated`) or finishing the evacuation of a zone.
    pub fn next(&self, zone: &str, is_evacuated: bool) -> Self {
        let mut next = self.clone();
        next.zones.retain(|known| known != zone);
        if is_evacuated {
            next.zones.push(zone.to_string());
        }
        let known = next.changes.iter_mut().find(|change| change.zone == zone);
        match known {
            Some(change) => change.count += 1,
            None => next.changes.push(ZoneChange {
                zone: zone.to_string(),
                count: 1,
            }),
        }
        next
    }
}
