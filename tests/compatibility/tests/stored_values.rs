//! Register values and journal records encode to the bytes that an earlier version wrote, and those bytes decode.

use compatibility::samples::{operator_commands, register, stored};
use compatibility::{families, HexFixture, Sample};
use jobs::{Claim, StoredClaim};
use speedy::{LittleEndian, Readable, Writable};
use std::fmt::Debug;

fn assert_encoding_unchanged<T>(family: &str, samples: Vec<Sample<T>>)
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
fn encoding_of_configurations_with_history_is_unchanged() {
    assert_encoding_unchanged("configurations", operator_commands::configurations());
}

#[test]
fn document_is_read_from_a_captured_configuration() {
    let captured = HexFixture::load("configurations");
    let read = ::operator_commands::ConfigurationRecord::read(captured.bytes("updated"));
    let document = read.and_then(|configuration| configuration.document());
    let expected = br#"{"version":7,"bindings":[],"functions":[],"limits":{}}"#;
    assert_eq!(document.as_deref(), Some(expected.as_slice()));
}

#[test]
fn encoding_of_evacuations_is_unchanged() {
    assert_encoding_unchanged("evacuations", operator_commands::evacuations());
}

#[test]
fn encoding_of_job_claims_is_unchanged() {
    assert_encoding_unchanged("jobs", stored::jobs());
}

#[test]
fn encoding_of_the_scaling_lease_is_unchanged() {
    assert_encoding_unchanged("role_leases", stored::role_leases());
}

#[test]
fn encoding_of_voter_records_is_unchanged() {
    assert_encoding_unchanged("voter_records", register::records());
}

#[test]
fn encoding_of_older_daemons_registers_is_unchanged() {
    assert_encoding_unchanged("tenures", stored::tenures());
    assert_encoding_unchanged("once_claims", stored::once_claims());
    assert_encoding_unchanged("plans", stored::plans());
}

#[test]
fn every_family_has_a_captured_value_for_each_sample() {
    for family in families() {
        let captured = HexFixture::load(family.name);
        assert_eq!(captured.names(), family.values.names(), "{}", family.name);
    }
}

#[test]
fn encoding_of_job_claims_with_an_attempt_is_unchanged() {
    assert_encoding_unchanged("stored_claims", stored::stored_claims());
}

#[test]
fn claims_without_an_attempt_are_read() {
    let captured = HexFixture::load("jobs");
    for sample in stored::jobs() {
        let read = StoredClaim::read_from_buffer(captured.bytes(sample.name));
        let read = read.expect("the captured value can be read");
        assert_eq!((read.claim, read.attempt), (sample.value, 0));
    }
}

#[test]
fn an_earlier_version_reads_claims_with_an_attempt() {
    for sample in stored::stored_claims() {
        let read = Claim::read_from_buffer(&sample.encoded());
        assert_eq!(read.expect("a claim"), sample.value.claim);
    }
}
