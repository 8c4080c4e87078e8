//! The form in which a runner's response is stored for the other copies of its job.

use http1::{end_to_end, Response};
use speedy::{Readable, Writable};

/// Maximum size of a packed response that is stored, in bytes.
const PACKED_MAX: usize = 1 << 20;
/// Maximum size of an unpacked response, in bytes.
const UNPACKED_MAX: u64 = 5 << 20;

/// A response without hop-by-hop headers.
#[derive(Debug, Default, PartialEq, Readable, Writable)]
pub struct StoredResponse {
    /// Status code.
    pub status: u16,
    /// End-to-end headers, in their order.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body without its framing.
    pub body: Vec<u8>,
}

impl StoredResponse {
    /// Names and values of the headers, in their order.
    pub fn headers(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let headers = self.headers.iter();
        headers.map(|(name, value)| (name.as_str(), value.as_slice()))
    }
}

/// Packs a response in deflated form. Returns `None` if it is too large to be stored. The `protected` headers are kept
/// even if the response's `Connection` header lists them.
pub fn pack(response: &Response, protected: &[&str]) -> Option<Vec<u8>> {
    let headers = end_to_end(&response.headers, protected);
    let stored = StoredResponse {
        status: response.status,
        headers: headers
            .map(|(name, value)| (name.to_string(), value.to_vec()))
            .collect(),
        body: response.body.clone(),
    };
    let bytes = stored.write_to_vec().ok()?;
    let packed = protocol::deflate(&bytes);
    (packed.len() <= PACKED_MAX).then_some(packed)
}

/// Unpacks a response. Returns `None` if the bytes are not a packed response.
pub fn unpack(packed: &[u8]) -> Option<StoredResponse> {
    let bytes = protocol::inflate(packed, UNPACKED_MAX)?;
    StoredResponse::read_from_buffer(&bytes).ok()
}
