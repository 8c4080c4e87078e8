//! Data folders with truncated or foreign files, or with files of another member or of a replaced identity.

use journal::{DiskFolder, Folder};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use register::{
    Ballot, SetVersion, VoterOperation, VoterRef, VoterRequest, VoterResponse, VoterSet,
};
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use voter::{Voter, VoterDisk};

const IDENTITY: &str = "identity";
/// Size of the identity file, in bytes.
const IDENTITY_BYTES: usize = 24;

static FOLDER_COUNT: AtomicU32 = AtomicU32::new(0);

fn open_disk(path: &Path) -> Result<VoterDisk, String> {
    let path = path.to_path_buf();
    let open_folder = move || -> std::io::Result<Box<dyn Folder>> {
        let folder = DiskFolder::open(&path)?;
        Ok(Box::new(folder))
    };
    let opened = VoterDisk::open(Box::new(open_folder), rand::random());
    opened.map_err(|report| report.current_context().to_string())
}

fn identity(path: &Path) -> Result<u64, String> {
    open_disk(path).map(|disk| disk.identity())
}

/// Files of a disk's journal, sorted.
fn journal_files(path: &Path, disk: u64) -> Vec<PathBuf> {
    let prefix = format!("{disk:016x}-");
    let entries = fs::read_dir(path).unwrap().map(|entry| entry.unwrap());
    let own = entries.filter(|entry| entry.file_name().to_string_lossy().starts_with(&prefix));
    let mut files: Vec<PathBuf> = own.map(|entry| entry.path()).collect();
    files.sort();
    files
}

/// A data folder that is removed when dropped.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new() -> Self {
        let count = FOLDER_COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("hallkeel-disk-{}-{count}", std::process::id());
        let path = std::env::temp_dir().join(name);
        let _ = fs::remove_dir_all(&path);
        Self(path)
    }

    /// The folder of a member that has promised ballot 7, and the id of its disk.
    fn with_promise() -> (Self, u64) {
        let data = Self::new();
        let disk = identity(&data.0).unwrap();
        let mut opened = open_disk(&data.0).unwrap();
        let voter = opened.voter_mut();
        voter.bootstrap(set(disk), 0);
        assert!(matches!(
            voter.handle(prepare(7)),
            VoterResponse::LastAccepted { .. }
        ));
        assert!(voter.sync());
        (data, disk)
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn set(disk: u64) -> VoterSet {
    let address = "here".into();
    VoterSet {
        epoch: 1,
        number: 1,
        voters: vec![VoterRef { disk, address }],
    }
}

fn prepare(counter: u64) -> VoterRequest {
    let proposer = 1;
    let ballot = Ballot { counter, proposer };
    let key = "k".into();
    VoterRequest {
        set_version: SetVersion::new(1, 1),
        operation: VoterOperation::Prepare { key, ballot },
    }
}

fn promised_counter(voter: &Voter) -> u64 {
    let state = voter.acceptor().register("k");
    state.map_or(0, |state| state.promised.counter)
}

fn voter_file(path: &Path, disk: u64, name: &str) -> PathBuf {
    path.join(format!("{disk:016x}-{name}"))
}

#[test]
fn a_truncated_identity_is_restored_from_the_journal_and_no_promise_is_lost() {
    for length in 0..24 {
        let (data, disk) = TestFolder::with_promise();
        let file = data.0.join(IDENTITY);
        let original = fs::read(&file).unwrap();
        fs::write(&file, &original[..length]).unwrap();
        assert_eq!(identity(&data.0), Ok(disk), "truncated to {length} bytes");
        assert_eq!(promised_counter(open_disk(&data.0).unwrap().voter()), 7);
        fs::remove_file(&file).unwrap();
        assert_eq!(identity(&data.0), Ok(disk), "removed");
        assert_eq!(fs::read(&file).unwrap(), original, "it was rewritten");
    }
}

#[test]
fn an_identity_that_cannot_be_read_or_restored_is_reported_in_one_sentence() {
    let (data, disk) = TestFolder::with_promise();
    let file = data.0.join(IDENTITY);
    fs::remove_file(&file).unwrap();
    fs::create_dir(&file).unwrap();
    let error = identity(&data.0).unwrap_err();
    assert_eq!(error, "the identity cannot be read");
    fs::remove_dir(&file).unwrap();
    fs::write(voter_file(&data.0, 99, "segment-000000000000"), b"other").unwrap();
    let error = identity(&data.0).unwrap_err();
    assert_eq!(
        error,
        "the identity is damaged, and several journals lie beside it"
    );
    assert_eq!(journal_files(&data.0, 99).len(), 1, "nothing was removed");
    assert!(!journal_files(&data.0, disk).is_empty());
}

#[test]
fn a_disk_without_its_journal_counts_as_new() {
    let (data, disk) = TestFolder::with_promise();
    for file in journal_files(&data.0, disk) {
        fs::remove_file(file).unwrap();
    }
    let next = identity(&data.0).unwrap();
    assert_ne!(next, disk, "it would vote twice under its old id");
    assert_eq!(promised_counter(open_disk(&data.0).unwrap().voter()), 0);
    assert_eq!(identity(&data.0), Ok(next), "the new identity is kept");
}

#[test]
fn another_members_journal_is_neither_read_nor_removed() {
    let (data, disk) = TestFolder::with_promise();
    let (other, other_disk) = TestFolder::with_promise();
    let files = journal_files(&other.0, other_disk);
    for file in &files {
        fs::rename(file, data.0.join(file.file_name().unwrap())).unwrap();
    }
    assert_eq!(identity(&data.0), Ok(disk));
    assert_eq!(promised_counter(open_disk(&data.0).unwrap().voter()), 7);
    assert_eq!(journal_files(&data.0, other_disk).len(), files.len());
}

#[test]
fn a_reset_disk_has_its_new_identity_before_anything_is_removed() {
    let (data, disk) = TestFolder::with_promise();
    let former = journal_files(&data.0, disk);
    let kept: Vec<Vec<u8>> = former.iter().map(|file| fs::read(file).unwrap()).collect();
    let next = disk ^ 1;
    open_disk(&data.0).unwrap().reset(next).unwrap();
    assert_eq!(identity(&data.0), Ok(next));
    assert!(journal_files(&data.0, disk).is_empty());
    // A power loss may bring the removed journal back, completely or in part.
    for (file, bytes) in former.iter().zip(&kept) {
        fs::write(file, bytes).unwrap();
    }
    assert_eq!(identity(&data.0), Ok(next));
    assert_eq!(promised_counter(open_disk(&data.0).unwrap().voter()), 0);
    assert!(journal_files(&data.0, disk).is_empty());
}

#[test]
fn foreign_files_and_versions_are_kept_and_may_close_the_voter() {
    let header = b"hkJ2\x05\0\0\0\x01\x02\x03\x04later".to_vec();
    let cases: [(&str, Vec<u8>, bool); 7] = [
        ("notes.txt", b"hello".to_vec(), true),
        ("segment-7", b"hello".to_vec(), true),
        ("segment-00000000000x", b"hello".to_vec(), true),
        (
            "segment-000000000000",
            b"a text of somebody".to_vec(),
            false,
        ),
        ("segment-000000000000", header.clone(), false),
        ("snapshot-000000000009", header, false),
        ("segment-000000000005", Vec::new(), false),
    ];
    for (name, bytes, is_open) in cases {
        let (data, disk) = TestFolder::with_promise();
        let file = voter_file(&data.0, disk, name);
        fs::write(&file, &bytes).unwrap();
        let opened = open_disk(&data.0).unwrap();
        let voter = opened.voter();
        assert_eq!(voter.is_open(), is_open, "{name}");
        assert!(!voter.can_reopen(), "{name}: the disk did not fail");
        assert_eq!(promised_counter(voter), if is_open { 7 } else { 0 });
        assert_eq!(fs::read(&file).unwrap(), bytes, "{name} was changed");
    }
}

#[test]
fn arbitrary_bytes_in_the_data_folder_cause_no_panic_and_forge_no_promise() {
    let mut random = StdRng::seed_from_u64(4);
    for _ in 0..300 {
        let (data, disk) = TestFolder::with_promise();
        let name = ["segment-000000000000", "snapshot-000000000000"][random.random_range(0..2)];
        let file = voter_file(&data.0, disk, name);
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
        let found = promised_counter(open_disk(&data.0).unwrap().voter());
        assert!(found == 0 || found == 7, "{found} was never promised");
        let identity_file = data.0.join(IDENTITY);
        // Any length, including that of a valid file: the checksum rejects random content.
        let count = random.random_range(0..2 * IDENTITY_BYTES);
        let bytes: Vec<u8> = (0..count).map(|_| random.random()).collect();
        fs::write(&identity_file, &bytes).unwrap();
        assert_eq!(
            identity(&data.0),
            Ok(disk),
            "the identity is restored from the journal"
        );
    }
}
