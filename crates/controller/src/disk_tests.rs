//! Data folders that are torn, foreign, of another member, or of a replaced one.

use super::{empty, identity, journal_path, open, Identity, IDENTITY};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use register::{Ballot, VoterAsk, VoterMessage, VoterRef, VoterReply, VoterSet};
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use voter::Voter;

static COUNT: AtomicU32 = AtomicU32::new(0);

/// A data folder that is removed at the end.
struct Data(PathBuf);

impl Data {
    fn new() -> Self {
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("hallkeel-disk-{}-{count}", std::process::id());
        let path = std::env::temp_dir().join(name);
        let _ = fs::remove_dir_all(&path);
        Self(path)
    }

    /// A member's folder, with its id and what its voter promised.
    fn promised() -> (Self, u64) {
        let data = Self::new();
        let disk = identity(&data.0).unwrap();
        let mut voter = open(&data.0, disk);
        voter.form(set(disk), 0);
        assert!(matches!(voter.ask(promise(7)), VoterReply::Holds { .. }));
        assert!(voter.sync());
        (data, disk)
    }
}

impl Drop for Data {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn set(disk: u64) -> VoterSet {
    let address = "here".into();
    VoterSet {
        era: 1,
        no: 1,
        voters: vec![VoterRef { disk, address }],
    }
}

fn promise(counter: u64) -> VoterMessage {
    let proposer = 1;
    let ballot = Ballot { counter, proposer };
    let key = "k".into();
    VoterMessage {
        mark: (1, 1),
        ask: VoterAsk::Promise { key, ballot },
    }
}

fn promised(voter: &Voter) -> u64 {
    let held = voter.held().held("k");
    held.map_or(0, |held| held.promised.counter)
}

fn journal_files(path: &Path) -> usize {
    fs::read_dir(path).map_or(0, Iterator::count)
}

#[test]
fn a_torn_identity_is_told_by_the_journal_beside_it_and_no_promise_is_lost() {
    for length in 0..24 {
        let (data, disk) = Data::promised();
        let file = data.0.join(IDENTITY);
        let whole = fs::read(&file).unwrap();
        fs::write(&file, &whole[..length]).unwrap();
        assert_eq!(identity(&data.0), Ok(disk), "cut to {length} bytes");
        assert_eq!(promised(&open(&data.0, disk)), 7);
        fs::remove_file(&file).unwrap();
        assert_eq!(identity(&data.0), Ok(disk), "removed");
        assert_eq!(fs::read(&file).unwrap(), whole, "it was written anew");
    }
}

#[test]
fn an_identity_that_cannot_be_read_or_told_is_refused_in_one_sentence() {
    let (data, _) = Data::promised();
    let file = data.0.join(IDENTITY);
    fs::remove_file(&file).unwrap();
    fs::create_dir(&file).unwrap();
    let refusal = identity(&data.0).unwrap_err();
    assert!(refusal.starts_with("the identity cannot be read: "));
    fs::remove_dir(&file).unwrap();
    fs::create_dir(journal_path(&data.0, 99)).unwrap();
    let refusal = identity(&data.0).unwrap_err();
    assert_eq!(
        refusal,
        "the identity is damaged, and several journals lie beside it"
    );
    assert_eq!(journal_files(&data.0), 2, "nothing was removed");
}

#[test]
fn a_disk_whose_journal_is_gone_is_a_new_one() {
    let (data, disk) = Data::promised();
    fs::remove_dir_all(journal_path(&data.0, disk)).unwrap();
    let next = identity(&data.0).unwrap();
    assert_ne!(next, disk, "it would vote twice under its old id");
    assert_eq!(promised(&open(&data.0, next)), 0);
    assert_eq!(identity(&data.0), Ok(next), "it stays as it is");
}

#[test]
fn another_members_journal_is_neither_read_nor_removed() {
    let (data, disk) = Data::promised();
    let (other, other_disk) = Data::promised();
    let foreign = journal_path(&data.0, other_disk);
    fs::rename(journal_path(&other.0, other_disk), &foreign).unwrap();
    assert_eq!(identity(&data.0), Ok(disk));
    assert_eq!(promised(&open(&data.0, disk)), 7);
    assert_eq!(journal_files(&foreign), 1);
}

#[test]
fn a_replaced_disk_has_its_new_id_before_anything_is_removed() {
    let (data, disk) = Data::promised();
    let next = empty(&data.0, disk).unwrap();
    assert_ne!(next, disk);
    assert_eq!(identity(&data.0), Ok(next));
    assert!(!journal_path(&data.0, disk).exists());
    // A loss of power brings the removed journal back, whole or in part.
    fs::create_dir(journal_path(&data.0, disk)).unwrap();
    assert_eq!(identity(&data.0), Ok(next));
    assert_eq!(promised(&open(&data.0, next)), 0);
    assert!(!journal_path(&data.0, disk).exists());
}

#[test]
fn foreign_files_and_versions_close_the_voter_and_stay() {
    let head = b"hkJ2\x05\0\0\0\x01\x02\x03\x04later".to_vec();
    let cases: [(&str, Vec<u8>, bool); 7] = [
        ("notes.txt", b"hello".to_vec(), true),
        ("segment-7", b"hello".to_vec(), true),
        ("segment-00000000000x", b"hello".to_vec(), true),
        (
            "segment-000000000000",
            b"a text of somebody".to_vec(),
            false,
        ),
        ("segment-000000000000", head.clone(), false),
        ("snapshot-000000000009", head, false),
        ("segment-000000000005", Vec::new(), false),
    ];
    for (name, bytes, is_open) in cases {
        let (data, disk) = Data::promised();
        let file = journal_path(&data.0, disk).join(name);
        fs::write(&file, &bytes).unwrap();
        let voter = open(&data.0, disk);
        assert_eq!(voter.is_open(), is_open, "{name}");
        assert!(!voter.may_reopen(), "{name}: the disk does not fail");
        assert_eq!(promised(&voter), if is_open { 7 } else { 0 });
        assert_eq!(fs::read(&file).unwrap(), bytes, "{name} was changed");
    }
}

#[test]
fn no_bytes_in_the_data_folder_make_it_panic_or_forge_a_promise() {
    let mut random = StdRng::seed_from_u64(4);
    for _ in 0..300 {
        let (data, disk) = Data::promised();
        let folder = journal_path(&data.0, disk);
        let name = ["segment-000000000000", "snapshot-000000000000"][random.random_range(0..2)];
        let file = folder.join(name);
        let mut bytes = fs::read(&file).unwrap_or_default();
        match random.random_range(0..4) {
            0 => bytes.truncate(random.random_range(0..=bytes.len())),
            1 => bytes.extend((0..random.random_range(1..40)).map(|_| random.random::<u8>())),
            2 => {
                bytes = (0..random.random_range(0..200))
                    .map(|_| random.random())
                    .collect()
            }
            _ => {
                let count = bytes.len();
                for byte in bytes
                    .iter_mut()
                    .skip(random.random_range(0..=count))
                    .take(4)
                {
                    *byte = random.random();
                }
            }
        }
        fs::write(&file, &bytes).unwrap();
        let found = promised(&open(&data.0, disk));
        assert!(found == 0 || found == 7, "{found} was never promised");
        let identity_file = data.0.join(IDENTITY);
        let count = random.random_range(0..40);
        let bytes: Vec<u8> = (0..count).map(|_| random.random()).collect();
        fs::write(&identity_file, &bytes).unwrap();
        assert_eq!(Identity::read(&bytes), None);
        assert_eq!(identity(&data.0), Ok(disk), "the journal tells the id");
    }
}
