//! The cores as the tool reaches them, and why it may fail.

use oxhttp::model::Method;
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use transport::call;

/// Longest time that one daemon's answer is waited for.
const TIMEOUT: Duration = Duration::from_secs(8);
const MAX_RESPONSE_BYTES: u64 = 32 << 20;
/// How often the cores are asked again while none scales, and the pause between.
const ROLE_ATTEMPTS: usize = 8;
const ROLE_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Why the tool did not do what it was asked.
#[derive(Debug)]
pub enum CliError {
    /// The fleet refused, or could not say.
    Refused(String),
    /// Arguments or a file are no good.
    Input(String),
    /// No core answered.
    Unreached(String),
}

impl CliError {
    /// The process's exit code.
    pub fn code(&self) -> u8 {
        match self {
            Self::Refused(_) => 1,
            Self::Input(_) => 2,
            Self::Unreached(_) => 3,
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(text) | Self::Input(text) | Self::Unreached(text) => {
                formatter.write_str(text)
            }
        }
    }
}

/// What one core answers to a question; none where it does not answer.
pub type CoreAnswer = (SocketAddr, Option<Value>);

/// The cores as the tool reaches them.
pub struct Cores {
    addresses: Vec<SocketAddr>,
}

/// Asks one daemon; none where it does not answer.
pub fn ask(method: Method, address: SocketAddr, path: &str, body: &[u8]) -> Option<(u16, Value)> {
    let uri = format!("http://{address}{path}");
    let answer = call(
        method,
        &uri,
        &[],
        body.to_vec(),
        TIMEOUT,
        MAX_RESPONSE_BYTES,
    )
    .ok()?;
    let reported = serde_json::from_slice(&answer.body).unwrap_or_default();
    Some((answer.status, reported))
}

/// What a daemon tells at a path; none where it does not answer or refuses.
pub fn ask_for_state(address: SocketAddr, path: &str) -> Option<Value> {
    let (status, reported) = ask(Method::GET, address, path, &[])?;
    (status == 200).then_some(reported)
}

impl Cores {
    /// The cores at these addresses of operator ports; there must be one at least.
    pub fn new(addresses: Vec<SocketAddr>) -> Result<Self, CliError> {
        if addresses.is_empty() {
            let text = "name the cores' operator ports with --cores or HALLKEEL_CORES";
            return Err(CliError::Input(text.into()));
        }
        Ok(Self { addresses })
    }

    /// Asks the cores one after the other until one answers other than that it cannot. While the
    /// duty is between two cores none can tell what it decides, so they are asked again.
    pub fn ask(&self, method: Method, path: &str, body: &[u8]) -> Result<(u16, Value), CliError> {
        for _ in 0..ROLE_ATTEMPTS {
            let answer = self.ask_once(&method, path, body)?;
            if answer.0 != 421 {
                return Ok(answer);
            }
            thread::sleep(ROLE_RETRY_PAUSE);
        }
        self.ask_once(&method, path, body)
    }

    /// What each core tells of itself; an error where none answers.
    pub fn statuses(&self) -> Result<Vec<CoreAnswer>, CliError> {
        let statuses = self.ask_all("/status");
        if statuses.iter().all(|(_, status)| status.is_none()) {
            return Err(CliError::Unreached("no core answered".into()));
        }
        Ok(statuses)
    }

    /// Asks all cores at the same time, so that one that does not answer holds up no other.
    pub fn ask_all(&self, path: &str) -> Vec<CoreAnswer> {
        thread::scope(|scope| {
            let asked: Vec<_> = self
                .addresses
                .iter()
                .map(|address| (*address, scope.spawn(|| ask_for_state(*address, path))))
                .collect();
            asked
                .into_iter()
                .map(|(address, answer)| (address, answer.join().unwrap_or(None)))
                .collect()
        })
    }

    fn ask_once(&self, method: &Method, path: &str, body: &[u8]) -> Result<(u16, Value), CliError> {
        let mut last = None;
        for address in &self.addresses {
            let answer = ask(method.clone(), *address, path, body);
            match answer {
                Some((status, reported)) if status != 503 && status != 421 => {
                    return Ok((status, reported))
                }
                other => last = other.or(last),
            }
        }
        match last {
            Some((status, reported)) => Ok((status, reported)),
            None => Err(CliError::Unreached("no core answered".into())),
        }
    }

    /// Asks and takes any answer but a good one as a refusal.
    pub fn ask_good(&self, method: Method, path: &str, body: &[u8]) -> Result<Value, CliError> {
        let (status, reported) = self.ask(method, path, body)?;
        if status == 200 {
            return Ok(reported);
        }
        let mut text = reported["error"]
            .as_str()
            .unwrap_or("the core refused")
            .to_string();
        if let Some(version) = reported["version"].as_u64() {
            text.push_str(&format!(" (version {version})"));
        }
        for fault in reported["faults"].as_array().into_iter().flatten() {
            let path = fault["path"].as_str().unwrap_or_default();
            let reason = fault["reason"].as_str().unwrap_or_default();
            text.push_str(&format!("\n  {path}: {reason}"));
        }
        Err(CliError::Refused(text))
    }
}
