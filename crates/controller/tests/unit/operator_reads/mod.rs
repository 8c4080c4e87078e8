//! An operator's command is judged by what a majority holds, also at a controller that is in contact and has not heard yet
//! what was committed elsewhere.

mod codecs;
mod controller_pair;
pub(crate) mod operator_call;

use codecs::{EVACUATE_TARGET, READ_TARGET, ZONE};
use consensus::{CONFIGURATION_KEY, EVACUATIONS_KEY};
use controller_pair::ControllerPair;
use operator_call::OperatorCall;
use operator_commands::{CommandKind, ConfigurationRecord, Evacuations};

#[test]
fn an_acknowledged_evacuation_is_in_force_though_its_end_was_not_heard_of_here() {
    let mut pair = ControllerPair::in_contact();
    let evacuated = Evacuations::default().next(ZONE, true);
    let finished = evacuated.next(ZONE, false);
    pair.commit_unheard(EVACUATIONS_KEY, &evacuated, &finished);
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
fn an_operator_reads_the_newest_configuration_though_it_was_not_heard_of_here() {
    let mut pair = ControllerPair::in_contact();
    let record = |version, document: &[u8]| {
        let replace = CommandKind::Replace;
        ConfigurationRecord::default().next(&replace, version, document, document)
    };
    let (first, second) = (record(1, b"first document"), record(2, b"second document"));
    pair.commit_unheard(CONFIGURATION_KEY, &first, &second);
    let mut call = OperatorCall::open();
    call.send(READ_TARGET, &mut pair);
    call.finish(&mut pair);
    let response = call.into_response();
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    assert!(response.ends_with("second document"), "{response}");
}
