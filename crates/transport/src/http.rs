use oxhttp::model::{Body, HeaderMap, Method, Request, Response, StatusCode, Uri};
use oxhttp::{Client, Server};
use serde::Serialize;
use std::fmt;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How an HTTP call failed.
#[derive(Debug)]
pub enum CallError {
    /// No connection was made, or the request was invalid: provably nothing was sent.
    NotConnected(io::Error),
    /// The connection failed or timed out, or the response was not valid HTTP.
    Broken(io::Error),
    /// The body of the response is over the limit.
    TooLarge,
}

impl fmt::Display for CallError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotConnected(error) => write!(formatter, "no connection: {error}"),
            Self::Broken(error) => write!(formatter, "broken answer: {error}"),
            Self::TooLarge => formatter.write_str("the answer is too large"),
        }
    }
}

impl std::error::Error for CallError {}

/// A complete response.
#[derive(Debug)]
pub struct CallResponse {
    /// Status code.
    pub status: u16,
    /// Response headers.
    pub headers: HeaderMap,
    /// Body; at most as long as the caller allowed.
    pub body: Vec<u8>,
}

/// Starts an HTTP server in the background, which runs until the process ends.
pub fn serve(
    address: SocketAddr,
    connections_max: usize,
    timeout: Duration,
    handle: impl Fn(&mut Request<Body>) -> Response<Body> + Send + Sync + 'static,
) -> io::Result<()> {
    Server::new(handle)
        .bind(address)
        .with_global_timeout(timeout)
        .with_max_concurrent_connections(connections_max)
        .spawn()
        .map(|_| ())
}

/// Builds a JSON response.
pub fn json(status: u16, body: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let code = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = Response::new(Body::from(bytes));
    *response.status_mut() = code;
    response.headers_mut().insert(
        oxhttp::model::header::CONTENT_TYPE,
        oxhttp::model::HeaderValue::from_static("application/json"),
    );
    response
}

/// Builds a JSON response with one sentence under `error`.
pub fn text(status: u16, sentence: &str) -> Response<Body> {
    json(status, &serde_json::json!({ "error": sentence }))
}

/// Reads a request's body. If it is over the limit or cannot be read, the error is the 413 or 400 response to send.
pub fn read_body(
    request: &mut Request<Body>,
    max_bytes: u64,
) -> Result<Vec<u8>, Box<Response<Body>>> {
    let mut body = Vec::new();
    let read = request
        .body_mut()
        .take(max_bytes + 1)
        .read_to_end(&mut body);
    if read.is_err() {
        return Err(Box::new(text(400, "the body could not be read")));
    }
    if body.len() as u64 > max_bytes {
        let sentence = format!("the body is over {max_bytes} bytes");
        return Err(Box::new(text(413, &sentence)));
    }
    Ok(body)
}

/// Calls a server over a new connection, which is closed after the response.
pub fn call(
    method: Method,
    uri: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
    timeout: Duration,
    max_bytes: u64,
) -> Result<CallResponse, CallError> {
    let deadline = Instant::now() + timeout;
    let uri: Uri = uri
        .parse()
        .map_err(|error| CallError::NotConnected(io::Error::other(format!("{error}"))))?;
    let mut builder = Request::builder().method(method).uri(uri);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let request = builder
        .body(body)
        .map_err(|error| CallError::NotConnected(io::Error::other(error)))?;
    let response = Client::new()
        .with_global_timeout(timeout)
        .request(request)
        .map_err(|error| match error.kind() {
            io::ErrorKind::ConnectionRefused => CallError::NotConnected(error),
            _ => CallError::Broken(error),
        })?;
    let (parts, mut stream) = response.into_parts();
    let content_length = parts
        .headers
        .get(oxhttp::model::header::CONTENT_LENGTH)
        .and_then(|length| length.to_str().ok()?.parse::<u64>().ok());
    let mut body = Vec::new();
    let mut chunk = [0; 16 * 1024];
    loop {
        if Instant::now() >= deadline {
            return Err(CallError::Broken(io::ErrorKind::TimedOut.into()));
        }
        let read = stream.read(&mut chunk).map_err(CallError::Broken)?;
        if read == 0 {
            break;
        }
        body.extend_from_slice(&chunk[..read]);
        if body.len() as u64 > max_bytes {
            return Err(CallError::TooLarge);
        }
    }
    if content_length.is_some_and(|length| length != body.len() as u64) {
        return Err(CallError::Broken(io::ErrorKind::UnexpectedEof.into()));
    }
    Ok(CallResponse {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body,
    })
}
