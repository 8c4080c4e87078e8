use http1::{end_to_end, Response};
use speedy::{Readable, Writable};

/// Most bytes of a packed answer that is told to copies.
pub(crate) const TOLD_MAX: usize = 1 << 20;
/// Most bytes of an answer, unpacked.
const ANSWER_MAX: u64 = 5 << 20;

/// A runner's answer as all copies of a request get it.
#[derive(Debug, Default, PartialEq, Readable, Writable)]
pub(crate) struct Told {
    pub status: u16,
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
}

/// An answer, deflated.
pub(crate) fn pack(response: &Response) -> Option<Vec<u8>> {
    let headers = end_to_end(&response.headers);
    let told = Told {
        status: response.status,
        headers: headers
            .map(|(name, value)| (name.to_string(), value.to_vec()))
            .collect(),
        body: response.body.clone(),
    };
    let bytes = told.write_to_vec().ok()?;
    Some(protocol::pack(&bytes))
}

/// An answer that was packed.
pub(crate) fn unpack(packed: &[u8]) -> Option<Told> {
    let bytes = protocol::unpack(packed, ANSWER_MAX)?;
    Told::read_from_buffer(&bytes).ok()
}
