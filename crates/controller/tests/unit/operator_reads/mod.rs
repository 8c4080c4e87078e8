//! An operator's command is evaluated against the state of a majority, even at a controller that is in contact but has not yet
//! learned what was committed elsewhere.

mod codecs;
mod controller_pair;
pub(crate) mod operator_call;

use codecs::{EVACUATE_TARGET, READ_TARGET, ZONE};
use consensus::{CONFIGURATION_KEY, EVACUATIONS_KEY};
use controller_pair::ControllerPair;
use operator_call::OperatorCall;
use operator_commands::{CommandKind, ConfigurationRecord, Evacuations};

#[test]
fn an_acknowledged_evacuation_is_in_force_when_its_controller_missed_the_end_of_the_previous_one() {
    let mut pair = ControllerPair::in_contact();
    let evacuated = Evacuations::default().next(ZONE, true);
    let finished = evacuated.next(ZONE, false);
    pair.commit_unannounced(EVACUATIONS_KEY, &evacuated, &finished);
    let mut call = OperatorCall::open();
    call.send(EVACUATE_TARGET, &mut pair);
    call.finish(&mut pair);
    pair.replicate(EVACUATIONS_KEY);
    let in_force = Evacuations::read(&pair.committed(EVACUATIONS_KEY)).unwrap();
    let response = call.into_response();
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    assert!(in_force.is_evacuated(ZONE), "{in_force:?}");
}

#[test]
fn an_operator_reads_the_newest_configuration_from_a_controller_that_missed_it() {
    let mut pair = ControllerPair::in_contact();
    let record = |version, document: &[u8]| {
        let replace = CommandKind::Replace;
        ConfigurationRecord::default().next(&replace, version, document, document)
    };
    let (first, second) = (record(1, b"first document"), record(2, b"second document"));
    pair.commit_unannounced(CONFIGURATION_KEY, &first, &second);
    let mut call = OperatorCall::open();
    call.send(READ_TARGET, &mut pair);
    call.finish(&mut pair);
    let response = call.into_response();
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    assert!(response.ends_with("second document"), "{response}");
}
