use crate::deployment::LabError;
use oxhttp::model::Method;
use std::fs::File;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use transport::{call, CallResponse};

fn fleet_error(error: impl std::fmt::Display) -> LabError {
    LabError::Fleet(error.to_string())
}

/// A process of the fleet.
pub struct Member {
    pub name: String,
    pub http: SocketAddr,
    program: &'static str,
    arguments: Vec<String>,
    environment: Vec<(String, String)>,
    child: Option<Child>,
}

impl Member {
    /// A process that is not started yet; its program is in the same folder as the lab's.
    pub fn new(
        name: &str,
        http: SocketAddr,
        program: &'static str,
        arguments: Vec<String>,
    ) -> Self {
        Self {
            name: name.to_string(),
            http,
            program,
            arguments,
            environment: Vec::new(),
            child: None,
        }
    }

    /// A process that is already running and is only queried over HTTP.
    pub fn at_address(http: SocketAddr) -> Self {
        Self::new("", http, "", Vec::new())
    }

    /// Starts the process; its output is appended to a log file in the fleet's folder.
    pub fn start(&mut self, dir: &Path) -> Result<(), LabError> {
        let own_path = std::env::current_exe().map_err(fleet_error)?;
        let program = own_path.with_file_name(self.program);
        let log_path = dir.join("logs").join(format!("{}.log", self.name));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log_path)
            .map_err(fleet_error)?;
        let errors = log.try_clone().map_err(fleet_error)?;
        let mut command = Command::new(&program);
        command
            .args(&self.arguments)
            .envs(self.environment.iter().cloned())
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors);
        // SAFETY: prctl is safe to call between fork and exec. The child is killed when the lab exits.
        unsafe {
            command.pre_exec(|| {
                libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
                Ok(())
            });
        }
        let child = command
            .spawn()
            .map_err(|error| LabError::Fleet(format!("{}: {error}", program.display())))?;
        self.child = Some(child);
        Ok(())
    }

    /// Sets environment variables, which apply from the next start.
    pub fn set_environment(&mut self, environment: Vec<(String, String)>) {
        self.environment = environment;
    }

    /// Replaces the value of a flag, which applies from the next start.
    pub fn set_flag(&mut self, flag: &str, value: &str) {
        let index = self.arguments.iter().position(|known| known == flag);
        if let Some(known) = index.and_then(|index| self.arguments.get_mut(index + 1)) {
            *known = value.to_string();
        }
    }

    /// Id of the process; `None` if it is not running.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the id belongs to a child that has not been waited for, so it cannot have been reused.
            unsafe {
                libc::kill(child.id() as i32, signal);
            }
        }
    }

    /// Waits for the process to exit and returns its exit code; `None` if it is not running or has none.
    pub fn wait(&mut self) -> Option<i32> {
        let mut child = self.child.take()?;
        child.wait().ok()?.code()
    }

    /// Kills the process with SIGKILL and waits for it.
    pub fn kill(&mut self) {
        self.signal(libc::SIGKILL);
        self.wait();
    }

    /// Sends a GET request; `None` if there is no response.
    pub fn get(&self, path: &str) -> Option<CallResponse> {
        let uri = format!("http://{}{path}", self.http);
        let timeout = Duration::from_secs(2);
        call(Method::GET, &uri, &[], Vec::new(), timeout, 16 << 20).ok()
    }

    /// Runners listed in a daemon's status; empty if it doesn't respond.
    pub fn runners(&self) -> Vec<serde_json::Value> {
        let status = self.get_json("/status").unwrap_or_default();
        status["runners"].as_array().cloned().unwrap_or_default()
    }

    /// Sends a GET request and parses the JSON response; `None` unless the status is 200.
    pub fn get_json(&self, path: &str) -> Option<serde_json::Value> {
        let response = self.get(path).filter(|response| response.status == 200)?;
        serde_json::from_slice(&response.body).ok()
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        if self.child.is_some() {
            self.kill();
        }
    }
}
