//! The journal: records in numbered segments, and snapshots that replace all segments below their number.
//!
//! A snapshot with number `n` holds the state after the last record of segment `n - 1`. The journal switches to
//! segment `n` before it writes that snapshot, and removes older files only once the snapshot is durable. So a
//! snapshot that fails at any point loses nothing: the older files and the newer segments still hold everything.

use crate::folder::{Folder, TEMPORARY_SUFFIX};
use crate::frame::{framed, framed_length, scan, Scan};
use error_stack::{Report, ResultExt};
use std::fmt;

/// Total size of the segments, in bytes, after which a snapshot is due.
const SNAPSHOT_AFTER: u64 = 8 << 20;
/// Number of bytes appended after a failed snapshot before it is retried.
const SNAPSHOT_AGAIN_AFTER: u64 = 1 << 20;
/// Maximum total size of the segments, in bytes. A record that would exceed it requires a snapshot first.
pub const MAX_SEGMENT_BYTES: u64 = 16 << 20;
const SEGMENT_PREFIX: &str = "segment-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const DIGITS: usize = 12;

/// Errors of a journal.
#[derive(Debug, PartialEq)]
pub enum JournalError {
    /// A disk operation failed, or the journal accepts no records until it is reopened.
    Disk,
    /// Data other than a torn last record is corrupt or missing; it must be repaired from other replicas.
    Damaged,
}

impl fmt::Display for JournalError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Disk => "a disk operation failed",
            Self::Damaged => "journal data is corrupt or missing",
        })
    }
}

impl std::error::Error for JournalError {}

/// State that was recovered when a journal was opened.
#[derive(Debug, Default, PartialEq)]
pub struct Recovered {
    /// The newest snapshot, if there is one.
    pub snapshot: Option<Vec<u8>>,
    /// Records appended after that snapshot, oldest first.
    pub records: Vec<Vec<u8>>,
    /// Number of bytes of a torn last record that were cut off.
    pub torn_bytes: u64,
}

/// A log of records in segments, with snapshots.
pub struct Journal {
    folder: Box<dyn Folder>,
    segment: u64,
    /// Size of the current segment, in bytes.
    length: u64,
    /// Total size, in bytes, of the segments that the newest snapshot doesn't cover.
    segments_length: u64,
    /// Total size of the segments, in bytes, above which a snapshot is due.
    snapshot_at: u64,
    failed: bool,
}

fn segment_name(segment: u64) -> String {
    format!("{SEGMENT_PREFIX}{segment:0DIGITS$}")
}

fn snapshot_name(segment: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{segment:0DIGITS$}")
}

/// The number in a file name of this journal's format; `None` for the name of any other file.
fn parse_number(name: &str, prefix: &str) -> Option<u64> {
    let digits = name.strip_prefix(prefix)?;
    let is_valid = digits.len() == DIGITS && digits.bytes().all(|digit| digit.is_ascii_digit());
    digits.parse().ok().filter(|_| is_valid)
}

fn sorted_numbers(names: &[String], prefix: &str) -> Vec<u64> {
    let mut found: Vec<u64> = names
        .iter()
        .filter_map(|name| parse_number(name, prefix))
        .collect();
    found.sort_unstable();
    found
}

fn is_temporary(name: &str) -> bool {
    let final_name = name.strip_suffix(TEMPORARY_SUFFIX);
    final_name.is_some_and(|final_name| {
        parse_number(final_name, SEGMENT_PREFIX).is_some()
            || parse_number(final_name, SNAPSHOT_PREFIX).is_some()
    })
}

fn damaged(place: String) -> Report<JournalError> {
    Report::new(JournalError::Damaged).attach(place)
}

fn read_snapshot(folder: &dyn Folder, segment: u64) -> Result<Vec<u8>, Report<JournalError>> {
    let name = snapshot_name(segment);
    let bytes = folder.read(&name).change_context(JournalError::Disk)?;
    let mut payloads = Vec::new();
    let scanned = scan(&bytes, |payload| payloads.push(payload.to_vec()));
    let snapshot = payloads.pop().filter(|_| payloads.is_empty());
    let snapshot = snapshot.filter(|_| scanned == Scan::Whole);
    snapshot.ok_or_else(|| damaged(format!("in {name}")))
}

impl Journal {
    /// Opens a journal and recovers its content. A torn end of the last segment is cut off. Everything that is
    /// returned is durable, even if the process that wrote it was killed before it was synced or its sync failed.
    pub fn open(folder: Box<dyn Folder>) -> Result<(Self, Recovered), Report<JournalError>> {
        let names = folder.list().change_context(JournalError::Disk)?;
        let base = sorted_numbers(&names, SNAPSHOT_PREFIX).pop();
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
        let mut segments = sorted_numbers(&names, SEGMENT_PREFIX);
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
        let end = match scan(&bytes, |payload| recovered.records.push(payload.to_vec())) {
            Scan::Whole => bytes.len(),
            Scan::Torn(end) if is_last => end,
            Scan::Torn(end) | Scan::Damaged(end) => {
                return Err(damaged(format!("{name} at byte {end}")));
            }
        };
        if is_last && !bytes.is_empty() {
            // Rewrites the segment: after a failed sync the bytes read may exist only in the page cache, and a later
            // sync would not write them.
            let written = self.folder.replace(&name, &bytes[..end]);
            written.change_context(JournalError::Disk)?;
        }
        recovered.torn_bytes = (bytes.len() - end) as u64;
        self.segment = segment;
        self.length = end as u64;
        self.segments_length += end as u64;
        Ok(())
    }

    /// Whether a record of this many bytes fits. If not, a snapshot must be written first, which may already include
    /// the change that the record describes.
    pub fn has_room(&self, length: usize) -> bool {
        self.segments_length + framed_length(length) <= MAX_SEGMENT_BYTES
    }

    /// Writes one record and syncs it. After a failure no more records are accepted, because the content of
    /// the disk is unknown until the journal is opened again. A record without [room](Self::has_room) is a failure too.
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

    /// Whether the segments have grown large enough for a snapshot.
    pub fn wants_snapshot(&self) -> bool {
        !self.failed && self.segments_length > self.snapshot_at
    }

    /// Writes a snapshot of the whole state, starts a new segment and removes older files. After a failure the
    /// journal remains usable and loses nothing.
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

    /// Removes the files that a durable snapshot replaces, and leftover temporary files. A file that can't be removed,
    /// or that reappears after a power loss, is removed after the next snapshot.
    fn remove_older(&mut self, first: u64) {
        let names = self.folder.list().unwrap_or_default();
        for name in names {
            let segment = parse_number(&name, SEGMENT_PREFIX)
                .or_else(|| parse_number(&name, SNAPSHOT_PREFIX));
            if segment.is_some_and(|segment| segment < first) || is_temporary(&name) {
                if let Err(error) = self.folder.remove(&name) {
                    log::warn!("journal: file not removed file={name} error={error}");
                }
            }
        }
    }
}
