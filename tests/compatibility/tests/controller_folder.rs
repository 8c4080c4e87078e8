//! A controller's data folder is written, opened and appended to exactly as an earlier version did.

use compatibility::{ControllerScenario, FolderContent, HexFixture};

const SCENARIO: &str = "controller";
/// Journal segment that the stages before the snapshot write to.
const FIRST_SEGMENT: &str = "0102030405060708-segment-000000000000";
/// Bytes missing from the end of a record torn by a power loss.
const MISSING_BYTES: usize = 5;

fn captured_state(stage: &str) -> Vec<u8> {
    let states = HexFixture::load("folder_states");
    states.bytes(&format!("{SCENARIO}/{stage}")).to_vec()
}

fn open_captured(stage: &str) -> ControllerScenario {
    let captured = FolderContent::load(SCENARIO, stage);
    ControllerScenario::open(captured.to_memory())
}

fn assert_matches_capture(scenario: &ControllerScenario, stage: &str) {
    let captured = FolderContent::load(SCENARIO, stage);
    let differing = FolderContent::of(scenario.folder()).differing_files(&captured);
    assert!(differing.is_empty(), "{stage}: {differing:?} differ");
    assert!(
        scenario.state() == captured_state(stage),
        "{stage}: another state"
    );
    assert!(scenario.disk().voter().is_open(), "{stage}: closed");
}

#[test]
fn the_first_stage_writes_the_captured_files() {
    let mut scenario = ControllerScenario::start();
    let first = ControllerScenario::STAGES[0];
    scenario.write(first);
    assert_matches_capture(&scenario, first);
}

#[test]
fn every_captured_folder_opens_to_its_state_with_its_files_unchanged() {
    for stage in ControllerScenario::STAGES {
        assert_matches_capture(&open_captured(stage), stage);
    }
}

#[test]
fn appending_to_a_captured_folder_writes_the_captured_bytes() {
    for pair in ControllerScenario::STAGES.windows(2) {
        let mut scenario = open_captured(pair[0]);
        scenario.write(pair[1]);
        assert_matches_capture(&scenario, pair[1]);
    }
}

#[test]
fn a_captured_folder_keeps_its_identity() {
    let first = open_captured("after_snapshot").disk().identity();
    let after_reset = open_captured("begun_anew").disk().identity();
    assert_eq!(first, 0x0102_0304_0506_0708);
    assert_eq!(after_reset, 0x6162_6364_6566_6768);
}

#[test]
fn a_torn_last_record_of_a_captured_folder_is_cut_off_and_can_be_written_again() {
    let complete = FolderContent::load(SCENARIO, "configured");
    let torn = complete.with_torn_end(FIRST_SEGMENT, MISSING_BYTES);
    let mut scenario = ControllerScenario::open(torn.to_memory());
    assert!(scenario.disk().voter().is_open());
    // The last record is a promise in the scaling controller's register; the one before it accepted a value there.
    let role = scenario.disk().voter().acceptor().register("duty");
    let role = role.expect("the value is held");
    assert_eq!((role.promised.counter, role.value.version), (3, 1));
    scenario.repeat_last_configuration_round();
    assert_matches_capture(&scenario, "configured");
}
