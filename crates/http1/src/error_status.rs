//! Status codes of error responses.

/// Status code of a response with which a server itself answers a request that it does not serve. It is never a
/// success: there is no way to make one from a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ErrorStatus(u16);

impl ErrorStatus {
    /// The request is malformed.
    pub const BAD_REQUEST: Self = Self(400);
    /// The request's sender is not known.
    pub const UNAUTHORIZED: Self = Self(401);
    /// Nothing is served at the request's host and path.
    pub const NOT_FOUND: Self = Self(404);
    /// The request arrived too slowly.
    pub const REQUEST_TIMEOUT: Self = Self(408);
    /// The request conflicts with an earlier one.
    pub const CONFLICT: Self = Self(409);
    /// The request's body exceeds the limit.
    pub const CONTENT_TOO_LARGE: Self = Self(413);
    /// The request contradicts an earlier one.
    pub const UNPROCESSABLE_CONTENT: Self = Self(422);
    /// The request's head exceeds the limit.
    pub const HEADER_FIELDS_TOO_LARGE: Self = Self(431);
    /// The request uses something that is not implemented.
    pub const NOT_IMPLEMENTED: Self = Self(501);
    /// The upstream server gave no usable response.
    pub const BAD_GATEWAY: Self = Self(502);
    /// The request is not served at present.
    pub const SERVICE_UNAVAILABLE: Self = Self(503);
    /// The upstream server gave no response in time.
    pub const GATEWAY_TIMEOUT: Self = Self(504);
    /// The request's version of the protocol is not supported.
    pub const VERSION_NOT_SUPPORTED: Self = Self(505);

    /// The status code, 400 to 599.
    pub const fn code(self) -> u16 {
        self.0
    }
}
