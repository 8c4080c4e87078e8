//! Recovery from a truncation at every byte and from every bit flip, with a plain list as the oracle.

use journal::{FaultKind, Folder, Journal, JournalError, MemoryFolder};

fn record(number: u8) -> Vec<u8> {
    vec![number; 3 + usize::from(number) % 7]
}

fn filled(count: u8) -> MemoryFolder {
    let disk = MemoryFolder::default();
    let (mut journal, _) = Journal::open(Box::new(disk.clone())).unwrap();
    for number in 0..count {
        journal.append(&record(number)).unwrap();
    }
    disk
}

const SEGMENT: &str = "segment-000000000000";

#[test]
fn recovery_from_any_truncation_yields_a_prefix() {
    let whole = filled(12).read(SEGMENT).unwrap();
    for cut in 0..=whole.len() {
        let mut disk = MemoryFolder::default();
        disk.append(SEGMENT, &whole[..cut]).unwrap();
        let (mut journal, found) = Journal::open(Box::new(disk.clone())).unwrap();
        let expected: Vec<_> = (0..found.records.len() as u8).map(record).collect();
        assert_eq!(found.records, expected, "cut at {cut}");
        journal.append(&record(200)).unwrap();
        let (_, again) = Journal::open(Box::new(disk)).unwrap();
        assert_eq!(again.records.len(), expected.len() + 1);
        assert_eq!(again.torn_bytes, 0);
    }
}

#[test]
fn every_bit_flip_outside_the_last_record_is_detected() {
    let whole = filled(5).read(SEGMENT).unwrap();
    let last_start = whole.len() - 12 - record(4).len();
    for place in 0..whole.len() {
        for bit in 0..8 {
            let disk = filled(5);
            disk.flip(SEGMENT, place, bit);
            match Journal::open(Box::new(disk)) {
                Err(report) => assert_eq!(*report.current_context(), JournalError::Damaged),
                Ok((_, found)) => {
                    assert!(place >= last_start, "flip at {place} was not detected");
                    assert_eq!(found.records, (0..4).map(record).collect::<Vec<_>>());
                }
            }
        }
    }
}

#[test]
fn a_full_disk_stops_the_journal_until_it_is_reopened() {
    let disk = filled(2);
    let (mut journal, _) = Journal::open(Box::new(disk.clone())).unwrap();
    disk.inject(FaultKind::Full);
    assert!(journal.append(&record(9)).is_err());
    assert!(journal.append(&record(9)).is_err());
}

#[test]
fn a_snapshot_replaces_the_records_before_it() {
    let disk = filled(4);
    let (mut journal, _) = Journal::open(Box::new(disk.clone())).unwrap();
    journal.snapshot(b"state").unwrap();
    journal.append(&record(7)).unwrap();
    disk.inject(FaultKind::PowerLoss(0));
    let (_, found) = Journal::open(Box::new(disk.clone())).unwrap();
    assert_eq!(found.snapshot.as_deref(), Some(&b"state"[..]));
    assert_eq!(found.records, vec![record(7)]);
    assert_eq!(disk.list().unwrap().len(), 2);
}

#[test]
fn a_snapshot_that_cannot_be_written_loses_nothing() {
    let disk = filled(4);
    let (mut journal, _) = Journal::open(Box::new(disk.clone())).unwrap();
    disk.inject(FaultKind::Full);
    assert!(journal.snapshot(b"state").is_err());
    disk.inject(FaultKind::SpaceFreed);
    disk.inject(FaultKind::PowerLoss(0));
    let (_, found) = Journal::open(Box::new(disk)).unwrap();
    assert_eq!(found.snapshot, None);
    assert_eq!(found.records, (0..4).map(record).collect::<Vec<_>>());
}

#[test]
fn appended_records_survive_a_power_loss() {
    let disk = filled(4);
    disk.inject(FaultKind::PowerLoss(0));
    let (_, found) = Journal::open(Box::new(disk)).unwrap();
    assert_eq!(found.records, (0..4).map(record).collect::<Vec<_>>());
}
