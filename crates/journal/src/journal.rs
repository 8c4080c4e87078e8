//! The journal: records in numbered segments, and snapshots that stand for all segments below their number.
//!
//! A snapshot with number `n` holds the state after the last record of segment `n - 1`. The journal moves on to
//! segment `n` before it writes that snapshot, and removes what is older only once the snapshot lasts. So a
//! snapshot that fails at any point costs nothing: older files and the newer segments still hold everything.

use crate::folder::{Folder, TEMPORARY_SUFFIX};
use crate::frame::{framed, framed_length, scan, Scan};
use error_stack::{Report, ResultExt};
use std::fmt;

/// Bytes of segments after which a snapshot pays.
const SNAPSHOT_AFTER: u64 = 8 << 20;
/// Bytes of segments after a snapshot that failed, before it is tried again.
const SNAPSHOT_AGAIN_AFTER: u64 = 1 << 20;
/// Most bytes of segments; above them nothing is taken until a snapshot succeeds.
pub const MAX_SEGMENT_BYTES: u64 = 16 << 20;
const SEGMENT_PREFIX: &str = "segment-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const DIGITS: usize = 12;

/// What can go wrong with a journal.
#[derive(Debug, PartialEq)]
pub enum JournalError {
    /// The disk refused a call.
    Disk,
    /// Bytes in the middle are not what was written; replicas elsewhere must repair it.
    Damaged,
}

impl fmt::Display for JournalError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Disk => "the disk refused a call",
            Self::Damaged => "a record in the middle is damaged",
        })
    }
}

impl std::error::Error for JournalError {}

/// What was found when a journal was opened.
#[derive(Debug, Default, PartialEq)]
pub struct Recovered {
    /// The newest snapshot, where there is one.
    pub snapshot: Option<Vec<u8>>,
    /// Records after it, the oldest first.
    pub records: Vec<Vec<u8>>,
    /// Bytes of a torn last record that were cut off.
    pub torn_bytes: u64,
}

/// A log in segments with snapshots beside it.
pub struct Journal {
    folder: Box<dyn Folder>,
    segment: u64,
    /// Bytes of the segment that is written.
    length: u64,
    /// Bytes of all segments that the newest snapshot does not stand for.
    segments_length: u64,
    /// Length of all segments at which a snapshot is made.
    snapshot_at: u64,
    failed: bool,
}

fn segment_name(segment: u64) -> String {
    format!("{SEGMENT_PREFIX}{segment:0DIGITS$}")
}

fn snapshot_name(segment: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{segment:0DIGITS$}")
}

/// The number in a name that this journal may have given; names of others have none.
fn number(name: &str, prefix: &str) -> Option<u64> {
    let digits = name.strip_prefix(prefix)?;
    let is_own = digits.len() == DIGITS && digits.bytes().all(|digit| digit.is_ascii_digit());
    digits.parse().ok().filter(|_| is_own)
}

fn numbers(names: &[String], prefix: &str) -> Vec<u64> {
    let mut found: Vec<u64> = names
        .iter()
        .filter_map(|name| number(name, prefix))
        .collect();
    found.sort_unstable();
    found
}

fn is_temporary(name: &str) -> bool {
    let own = name.strip_suffix(TEMPORARY_SUFFIX);
    own.is_some_and(|own| {
        number(own, SEGMENT_PREFIX).is_some() || number(own, SNAPSHOT_PREFIX).is_some()
    })
}

fn damaged(place: String) -> Report<JournalError> {
    Report::new(JournalError::Damaged).attach(place)
}

fn read_snapshot(folder: &dyn Folder, segment: u64) -> Result<Vec<u8>, Report<JournalError>> {
    let name = snapshot_name(segment);
    let bytes = folder.read(&name).change_context(JournalError::Disk)?;
    let mut parts = Vec::new();
    let scanned = scan(&bytes, |part| parts.push(part.to_vec()));
    let snapshot = parts.pop().filter(|_| parts.is_empty());
    let snapshot = snapshot.filter(|_| scanned == Scan::Whole);
    snapshot.ok_or_else(|| damaged(format!("in {name}")))
}

impl Journal {
    /// Opens a journal and gives what it holds. A torn end of the last segment is cut off. All that is given
    /// lasts, also where whoever wrote it was killed before it was synced, or its sync failed.
    pub fn open(folder: Box<dyn Folder>) -> Result<(Self, Recovered), Report<JournalError>> {
        let names = folder.list().change_context(JournalError::Disk)?;
        let base = numbers(&names, SNAPSHOT_PREFIX).pop();
        let first = base.unwrap_or(0);
        let mut journal = Self {
            folder,
            segment: first,
            length: 0,
            segments_length: 0,
            snapshot_at: SNAPSHOT_AFTER,
            failed: false,
        };
        let mut recovered = Recovered::default();
        if let Some(base) = base {
            recovered.snapshot = Some(read_snapshot(journal.folder.as_ref(), base)?);
        }
        let mut segments = numbers(&names, SEGMENT_PREFIX);
        segments.retain(|segment| *segment >= first);
        for (place, segment) in segments.iter().enumerate() {
            if *segment != first + place as u64 {
                return Err(damaged("a segment is missing".into()));
            }
            let is_last = place + 1 == segments.len();
            journal.read_segment(*segment, is_last, &mut recovered)?;
        }
        let synced = journal.folder.sync_names();
        synced.change_context(JournalError::Disk)?;
        journal.remove_older(first);
        Ok((journal, recovered))
    }

    fn read_segment(
        &mut self,
        segment: u64,
        is_last: bool,
        recovered: &mut Recovered,
    ) -> Result<(), Report<JournalError>> {
        let name = segment_name(segment);
        let bytes = self.folder.read(&name).change_context(JournalError::Disk)?;
        let end = match scan(&bytes, |part| recovered.records.push(part.to_vec())) {
            Scan::Whole => bytes.len(),
            Scan::Torn(end) if is_last => end,
            Scan::Torn(end) | Scan::Damaged(end) => {
                return Err(damaged(format!("{name} at byte {end}")));
            }
        };
        if is_last && !bytes.is_empty() {
            // It is written anew: what was read may be in the system's memory alone, where a sync that failed
            // left it, and a later sync would not write it.
            let written = self.folder.replace(&name, &bytes[..end]);
            written.change_context(JournalError::Disk)?;
        }
        recovered.torn_bytes = (bytes.len() - end) as u64;
        self.segment = segment;
        self.length = end as u64;
        self.segments_length += end as u64;
        Ok(())
    }

    /// Whether a record of so many bytes may be appended. Where it may not, a snapshot must come first, which
    /// may as well hold what the record says.
    pub fn has_room(&self, length: usize) -> bool {
        self.segments_length + framed_length(length) <= MAX_SEGMENT_BYTES
    }

    /// Writes one record and syncs it. After a failure nothing more is taken: what lies on the
    /// disk is no longer known until the journal is opened again.
    pub fn append(&mut self, payload: &[u8]) -> Result<(), Report<JournalError>> {
        if self.failed {
            return Err(Report::new(JournalError::Disk).attach("an earlier write failed"));
        }
        let bytes = framed(self.length as usize, payload);
        if !self.has_room(payload.len()) {
            self.failed = true;
            let full = Report::new(JournalError::Disk);
            return Err(full.attach("the log is full; a snapshot must come first"));
        }
        let written = self.write(&bytes);
        self.failed = written.is_err();
        self.length += bytes.len() as u64;
        self.segments_length += bytes.len() as u64;
        written.change_context(JournalError::Disk)
    }

    fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        let name = segment_name(self.segment);
        self.folder.append(&name, bytes)?;
        self.folder.sync(&name)?;
        if self.length == 0 {
            self.folder.sync_names()?;
        }
        Ok(())
    }

    /// Whether the segments have grown enough that a snapshot pays.
    pub fn wants_snapshot(&self) -> bool {
        !self.failed && self.segments_length > self.snapshot_at
    }

    /// Puts a snapshot of the whole state in place, starts a new segment and removes what is older. After a
    /// failure the journal goes on as before.
    pub fn snapshot(&mut self, state: &[u8]) -> Result<(), Report<JournalError>> {
        if self.failed {
            return Err(Report::new(JournalError::Disk).attach("an earlier write failed"));
        }
        if self.length > 0 {
            self.segment += 1;
            self.length = 0;
        }
        let name = snapshot_name(self.segment);
        let written = self.folder.replace(&name, &framed(0, state));
        if let Err(error) = written {
            self.snapshot_at = self.segments_length + SNAPSHOT_AGAIN_AFTER;
            return Err(Report::new(error).change_context(JournalError::Disk));
        }
        self.segments_length = 0;
        self.snapshot_at = SNAPSHOT_AFTER;
        self.remove_older(self.segment);
        Ok(())
    }

    /// Removes what a snapshot that lasts stands for, and what was never put in place. What cannot be removed,
    /// or comes back after a loss of power, is removed after the next snapshot.
    fn remove_older(&mut self, first: u64) {
        let names = self.folder.list().unwrap_or_default();
        for name in names {
            let segment = number(&name, SEGMENT_PREFIX).or_else(|| number(&name, SNAPSHOT_PREFIX));
            if segment.is_some_and(|segment| segment < first) || is_temporary(&name) {
                if let Err(error) = self.folder.remove(&name) {
                    log::warn!("journal: file not removed file={name} error={error}");
                }
            }
        }
    }
}
