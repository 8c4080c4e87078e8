//! The value of the evacuations' register.
//!
//! Its encoding is stored on disks and sent between controllers: the order of the fields must stay.

use speedy::{Readable, Writable};

/// When a zone's evacuation was last begun or finished.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ZoneChange {
    /// Name of the zone.
    pub zone: String,
    /// Counted up with each change of this zone's state.
    pub count: u64,
}

/// Zones that are evacuated.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct Evacuations {
    /// Evacuated zones.
    pub zones: Vec<String>,
    /// Changes so far of each zone that ever was evacuated; bounded by the zones that the system has.
    pub changes: Vec<ZoneChange>,
}

impl Evacuations {
    /// Reads a register's bytes; none where they cannot be read.
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

    /// How often a zone's state has changed.
    pub fn change_count(&self, zone: &str) -> u64 {
        let mut changes = self.changes.iter();
        let change = changes.find(|change| change.zone == zone);
        change.map_or(0, |change| change.count)
    }

    /// The value after a zone's evacuation was begun or finished.
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
