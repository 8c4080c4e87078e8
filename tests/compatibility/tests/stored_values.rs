//! Values in registers and records in journals keep the bytes that an earlier version wrote.

use compatibility::samples::{operator_commands, register, stored};
use compatibility::{families, HexFixture, Sample};
use jobs::{Claim, StoredClaim};
use speedy::{LittleEndian, Readable, Writable};
use std::fmt::Debug;

fn assert_stays<T>(family: &str, samples: Vec<Sample<T>>)
where
    T: for<'a> Readable<'a, LittleEndian> + Writable<LittleEndian> + Debug + PartialEq,
{
    let captured = HexFixture::load(family);
    assert_eq!(captured.names().len(), samples.len());
    for sample in samples {
        let bytes = captured.bytes(sample.name);
        assert_eq!(sample.encoded(), bytes, "{family}: {}", sample.name);
        let (read, length) = T::read_with_length_from_buffer(bytes);
        let read = read.expect("the captured value can be read");
        assert_eq!((&read, length), (&sample.value, bytes.len()));
    }
}

#[test]
fn configurations_with_their_history_stay() {
    assert_stays("configurations", operator_commands::configurations());
}

#[test]
fn a_captured_configuration_gives_its_document() {
    let captured = HexFixture::load("configurations");
    let read = ::operator_commands::ConfigurationRecord::read(captured.bytes("updated"));
    let document = read.and_then(|configuration| configuration.document());
    let expected = br#"{"version":7,"bindings":[],"functions":[],"limits":{}}"#;
    assert_eq!(document.as_deref(), Some(expected.as_slice()));
}

#[test]
fn evacuations_stay() {
    assert_stays("evacuations", operator_commands::evacuations());
}

#[test]
fn registers_of_jobs_stay() {
    assert_stays("jobs", stored::jobs());
}

#[test]
fn the_lease_of_the_scaling_controller_stays() {
    assert_stays("role_leases", stored::role_leases());
}

#[test]
fn records_of_voters_stay() {
    assert_stays("voter_records", register::records());
}

#[test]
fn registers_of_older_daemons_stay() {
    assert_stays("tenures", stored::tenures());
    assert_stays("once_claims", stored::once_claims());
    assert_stays("plans", stored::plans());
}

#[test]
fn every_family_has_its_captured_values() {
    for family in families() {
        let captured = HexFixture::load(family.name);
        assert_eq!(captured.names(), family.values.names(), "{}", family.name);
    }
}

#[test]
fn claims_of_jobs_that_name_an_attempt_stay() {
    assert_stays("stored_claims", stored::stored_claims());
}

#[test]
fn claims_that_name_no_attempt_are_read() {
    let captured = HexFixture::load("jobs");
    for sample in stored::jobs() {
        let read = StoredClaim::read_from_buffer(captured.bytes(sample.name));
        let read = read.expect("the captured value can be read");
        assert_eq!((read.claim, read.attempt), (sample.value, 0));
    }
}

#[test]
fn an_earlier_version_reads_claims_that_name_an_attempt() {
    for sample in stored::stored_claims() {
        let read = Claim::read_from_buffer(&sample.encoded());
        assert_eq!(read.expect("a claim"), sample.value.claim);
    }
}
