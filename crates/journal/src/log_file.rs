use crate::folder::Folder;
use crate::frame::{framed, scan, Scan};
use error_stack::{Report, ResultExt};
use std::fmt;

const SEGMENT_MAX: u64 = 8 << 20;

/// What can go wrong with a journal.
#[derive(Debug, PartialEq)]
pub enum JournalError {
    /// The disk refused a call.
    Disk,
    /// Bytes in the middle are not what was written; copies elsewhere must mend it.
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
    pub torn: u64,
}

/// A log in segments with snapshots beside it.
pub struct Journal {
    folder: Box<dyn Folder>,
    segment: u64,
    length: u64,
    failed: bool,
}

fn segment_name(segment: u64) -> String {
    format!("segment-{segment:012}")
}

fn snapshot_name(segment: u64) -> String {
    format!("snapshot-{segment:012}")
}

fn numbers(names: &[String], prefix: &str) -> Vec<u64> {
    let mut found: Vec<u64> = names
        .iter()
        .filter_map(|name| name.strip_prefix(prefix)?.parse().ok())
        .collect();
    found.sort_unstable();
    found
}

impl Journal {
    /// Opens a journal and gives what it holds. A torn end of the last segment is cut off.
    pub fn open(mut folder: Box<dyn Folder>) -> Result<(Self, Recovered), Report<JournalError>> {
        let names = folder.list().change_context(JournalError::Disk)?;
        let mut recovered = Recovered::default();
        let base = numbers(&names, "snapshot-").pop();
        if let Some(base) = base {
            let bytes = folder
                .read(&snapshot_name(base))
                .change_context(JournalError::Disk)?;
            let mut parts = Vec::new();
            let (Scan::Whole, 1) = (scan(&bytes, |part| parts.push(part.to_vec())), parts.len())
            else {
                return Err(Report::new(JournalError::Damaged).attach("in a snapshot"));
            };
            recovered.snapshot = parts.pop();
        }
        let first = base.unwrap_or(0);
        let segments: Vec<u64> = numbers(&names, "segment-")
            .into_iter()
            .filter(|segment| *segment >= first)
            .collect();
        let mut length = 0;
        for (place, segment) in segments.iter().enumerate() {
            if *segment != first + place as u64 {
                return Err(Report::new(JournalError::Damaged).attach("a segment is missing"));
            }
            let name = segment_name(*segment);
            let bytes = folder.read(&name).change_context(JournalError::Disk)?;
            let is_last = place + 1 == segments.len();
            length = bytes.len() as u64;
            match scan(&bytes, |part| recovered.records.push(part.to_vec())) {
                Scan::Whole => {}
                Scan::Torn(end) if is_last => {
                    recovered.torn = length - end as u64;
                    length = end as u64;
                    folder
                        .cut(&name, length)
                        .change_context(JournalError::Disk)?;
                }
                Scan::Torn(end) | Scan::Damaged(end) => {
                    return Err(
                        Report::new(JournalError::Damaged).attach(format!("{name} at byte {end}"))
                    );
                }
            }
        }
        let journal = Self {
            folder,
            segment: segments.last().copied().unwrap_or(first),
            length,
            failed: false,
        };
        Ok((journal, recovered))
    }

    /// Writes one record and syncs it. After a failure nothing more is taken: what lies on the
    /// disk is no longer known until the journal is opened again.
    pub fn append(&mut self, payload: &[u8]) -> Result<(), Report<JournalError>> {
        if self.failed {
            return Err(Report::new(JournalError::Disk).attach("an earlier write failed"));
        }
        let name = segment_name(self.segment);
        let bytes = framed(payload);
        let written = self
            .folder
            .append(&name, &bytes)
            .and_then(|()| self.folder.sync(&name));
        self.failed = written.is_err();
        self.length += bytes.len() as u64;
        written.change_context(JournalError::Disk)
    }

    /// Whether the segment has grown enough that a snapshot pays.
    pub fn wants_snapshot(&self) -> bool {
        self.length > SEGMENT_MAX
    }

    /// Puts a snapshot of the whole state in place, starts a new segment and removes what is older.
    pub fn snapshot(&mut self, state: &[u8]) -> Result<(), Report<JournalError>> {
        let next = self.segment + 1;
        self.folder
            .replace(&snapshot_name(next), &framed(state))
            .change_context(JournalError::Disk)?;
        self.segment = next;
        self.length = 0;
        let names = self.folder.list().change_context(JournalError::Disk)?;
        for name in names {
            let number = name
                .strip_prefix("snapshot-")
                .or_else(|| name.strip_prefix("segment-"))
                .and_then(|digits| digits.parse::<u64>().ok());
            if number.is_some_and(|number| number < next) {
                self.folder
                    .remove(&name)
                    .change_context(JournalError::Disk)?;
            }
        }
        Ok(())
    }
}
