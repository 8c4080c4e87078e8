//! HTTP requests to the cores' operator ports, and the errors of the tool.

use oxhttp::model::Method;
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use transport::call;

/// Timeout of a request to one daemon.
const TIMEOUT: Duration = Duration::from_secs(8);
const MAX_RESPONSE_BYTES: u64 = 32 << 20;
/// How often a request is attempted while no core holds the scaling role.
const ROLE_ATTEMPTS: usize = 8;
/// Pause between these attempts.
const ROLE_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Error that ends a command.
#[derive(Debug)]
pub enum CliError {
    /// The fleet rejected the command, or its outcome is undecided.
    Rejected(String),
    /// An argument or a file is invalid.
    Input(String),
    /// No daemon responded.
    Unreachable(String),
}

impl CliError {
    /// Exit code of the process.
    pub fn code(&self) -> u8 {
        match self {
            Self::Rejected(_) => 1,
            Self::Input(_) => 2,
            Self::Unreachable(_) => 3,
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Rejected(text) | Self::Input(text) | Self::Unreachable(text) => {
                formatter.write_str(text)
            }
        }
    }
}

/// A core's address and its response; `None` if it didn't respond with status 200.
pub type CoreResponse = (SocketAddr, Option<Value>);

/// Client for the cores' operator ports.
pub struct Cores {
    addresses: Vec<SocketAddr>,
}

/// Sends a request to one daemon; returns the status and JSON body, or `None` if it doesn't respond.
pub fn request(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: &[u8],
) -> Option<(u16, Value)> {
    let uri = format!("http://{address}{path}");
    let response = call(
        method,
        &uri,
        &[],
        body.to_vec(),
        TIMEOUT,
        MAX_RESPONSE_BYTES,
    )
    .ok()?;
    let body_json = serde_json::from_slice(&response.body).unwrap_or_default();
    Some((response.status, body_json))
}

/// Reads the JSON document at a path of a daemon; `None` if the daemon doesn't respond with status 200.
pub fn get_json(address: SocketAddr, path: &str) -> Option<Value> {
    let (status, body_json) = request(Method::GET, address, path, &[])?;
    (status == 200).then_some(body_json)
}

impl Cores {
    /// Creates a client for these operator ports; there must be at least one.
    pub fn new(addresses: Vec<SocketAddr>) -> Result<Self, CliError> {
        if addresses.is_empty() {
            let text = "name the cores' operator ports with --cores or HALLKEEL_CORES";
            return Err(CliError::Input(text.into()));
        }
        Ok(Self { addresses })
    }

    /// Sends a request to the cores in turn until one handles it. While the scaling role moves from one core to another,
    /// all of them respond 421 (no core can decide), so the request is retried.
    pub fn request(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
    ) -> Result<(u16, Value), CliError> {
        for _ in 0..ROLE_ATTEMPTS {
            let response = self.try_each_core(&method, path, body)?;
            if response.0 != 421 {
                return Ok(response);
            }
            thread::sleep(ROLE_RETRY_PAUSE);
        }
        self.try_each_core(&method, path, body)
    }

    /// The status of every core; an error if none responds.
    pub fn statuses(&self) -> Result<Vec<CoreResponse>, CliError> {
        let statuses = self.get_from_all("/status");
        if statuses.iter().all(|(_, status)| status.is_none()) {
            return Err(CliError::Unreachable("no core responded".into()));
        }
        Ok(statuses)
    }

    /// Reads a path from all cores concurrently, so that an unresponsive core doesn't delay the others.
    pub fn get_from_all(&self, path: &str) -> Vec<CoreResponse> {
        thread::scope(|scope| {
            let requests: Vec<_> = self
                .addresses
                .iter()
                .map(|address| (*address, scope.spawn(|| get_json(*address, path))))
                .collect();
            requests
                .into_iter()
                .map(|(address, response)| (address, response.join().unwrap_or(None)))
                .collect()
        })
    }

    fn try_each_core(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<(u16, Value), CliError> {
        let mut last = None;
        for address in &self.addresses {
            let response = request(method.clone(), *address, path, body);
            match response {
                Some((status, body_json)) if status != 503 && status != 421 => {
                    return Ok((status, body_json))
                }
                other => last = other.or(last),
            }
        }
        match last {
            Some((status, body_json)) => Ok((status, body_json)),
            None => Err(CliError::Unreachable("no core responded".into())),
        }
    }

    /// Like [`Self::request`], but turns every status other than 200 into an error.
    pub fn request_ok(&self, method: Method, path: &str, body: &[u8]) -> Result<Value, CliError> {
        let (status, body_json) = self.request(method, path, body)?;
        if status == 200 {
            return Ok(body_json);
        }
        let mut text = body_json["error"]
            .as_str()
            .unwrap_or("the core rejected the request")
            .to_string();
        if let Some(version) = body_json["version"].as_u64() {
            text.push_str(&format!(" (version {version})"));
        }
        for fault in body_json["faults"].as_array().into_iter().flatten() {
            let path = fault["path"].as_str().unwrap_or_default();
            let reason = fault["reason"].as_str().unwrap_or_default();
            text.push_str(&format!("\n  {path}: {reason}"));
        }
        Err(CliError::Rejected(text))
    }
}
