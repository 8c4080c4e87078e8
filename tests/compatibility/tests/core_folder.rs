//! An older core's journal is written, opened and appended to exactly as an earlier version did.

use compatibility::{CoreScenario, FolderContent, HexFixture};
use journal::MemoryFolder;

const SCENARIO: &str = "core";
/// Journal segment that the stages before the snapshot write to.
const FIRST_SEGMENT: &str = "segment-000000000000";
/// Bytes missing from the end of a record torn by a power loss.
const MISSING_BYTES: usize = 5;

fn captured_state(stage: &str) -> Vec<u8> {
    let states = HexFixture::load("folder_states");
    states.bytes(&format!("{SCENARIO}/{stage}")).to_vec()
}

fn open_captured(stage: &str) -> CoreScenario {
    CoreScenario::open(FolderContent::load(SCENARIO, stage).to_memory())
}

fn assert_matches_capture(scenario: &CoreScenario, stage: &str) {
    let captured = FolderContent::load(SCENARIO, stage);
    let differing = FolderContent::of(scenario.folder()).differing_files(&captured);
    assert!(differing.is_empty(), "{stage}: {differing:?} differ");
    assert!(
        scenario.state() == captured_state(stage),
        "{stage}: another state"
    );
    assert!(scenario.voter().is_open(), "{stage}: closed");
}

#[test]
fn the_first_stage_writes_the_captured_files() {
    let mut scenario = CoreScenario::open(MemoryFolder::default());
    let first = CoreScenario::STAGES[0];
    scenario.write(first);
    assert_matches_capture(&scenario, first);
}

#[test]
fn every_captured_folder_opens_to_its_state_with_its_files_unchanged() {
    for stage in CoreScenario::STAGES {
        assert_matches_capture(&open_captured(stage), stage);
    }
}

#[test]
fn appending_to_a_captured_folder_writes_the_captured_bytes() {
    for pair in CoreScenario::STAGES.windows(2) {
        let mut scenario = open_captured(pair[0]);
        scenario.write(pair[1]);
        assert_matches_capture(&scenario, pair[1]);
    }
}

#[test]
fn a_torn_last_record_of_a_captured_folder_is_cut_off() {
    let complete = FolderContent::load(SCENARIO, "claimed");
    let torn = complete.with_torn_end(FIRST_SEGMENT, MISSING_BYTES);
    // The claims of this stage were synced together and form one record, so all of them are lost.
    let scenario = CoreScenario::open(torn.to_memory());
    assert_matches_capture(&scenario, "planned");
}
