//! A runner's response in the form in which it is stored for the other copies of its job.

use http1::{end_to_end, Response};
use speedy::{Readable, Writable};

/// Most bytes of a packed response that is stored.
const PACKED_MAX: usize = 1 << 20;
/// Most bytes of a response, unpacked.
const UNPACKED_MAX: u64 = 5 << 20;

/// A response without the headers of its connection.
#[derive(Debug, Default, PartialEq, Readable, Writable)]
pub struct StoredResponse {
    /// Status code.
    pub status: u16,
    /// End-to-end headers, in their order.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body without its framing.
    pub body: Vec<u8>,
}

/// A response deflated; none where it is too large to be stored.
pub fn pack(response: &Response) -> Option<Vec<u8>> {
    let headers = end_to_end(&response.headers);
    let stored = StoredResponse {
        status: response.status,
        headers: headers
            .map(|(name, value)| (name.to_string(), value.to_vec()))
            .collect(),
        body: response.body.clone(),
    };
    let bytes = stored.write_to_vec().ok()?;
    let packed = protocol::pack(&bytes);
    (packed.len() <= PACKED_MAX).then_some(packed)
}

/// A response that was packed; none where the bytes are none.
pub fn unpack(packed: &[u8]) -> Option<StoredResponse> {
    let bytes = protocol::unpack(packed, UNPACKED_MAX)?;
    StoredResponse::read_from_buffer(&bytes).ok()
}
