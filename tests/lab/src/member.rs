use crate::deployment::LabError;
use oxhttp::model::Method;
use std::fs::File;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use transport::{call, CallResponse};

fn fleet_fault(error: impl std::fmt::Display) -> LabError {
    LabError::Fleet(error.to_string())
}

/// One process of the fleet.
pub struct Member {
    pub name: String,
    pub http: SocketAddr,
    program: &'static str,
    arguments: Vec<String>,
    environment: Vec<(String, String)>,
    child: Option<Child>,
}

impl Member {
    /// A process of this program beside the lab's own, not started yet.
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

    /// A process that runs already, to ask it over HTTP only.
    pub fn asked_at(http: SocketAddr) -> Self {
        Self::new("", http, "", Vec::new())
    }

    /// Starts the process; its output goes to a log file in the fleet's folder.
    pub fn start(&mut self, dir: &Path) -> Result<(), LabError> {
        let own = std::env::current_exe().map_err(fleet_fault)?;
        let program = own.with_file_name(self.program);
        let log_path = dir.join("logs").join(format!("{}.log", self.name));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log_path)
            .map_err(fleet_fault)?;
        let errors = log.try_clone().map_err(fleet_fault)?;
        let mut command = Command::new(&program);
        command
            .args(&self.arguments)
            .envs(self.environment.iter().cloned())
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors);
        // SAFETY: prctl is safe to call between fork and exec; it makes the child end with the lab.
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

    /// Variables of the environment, from the next start on.
    pub fn set_environment(&mut self, environment: Vec<(String, String)>) {
        self.environment = environment;
    }

    /// Gives another value to a flag, from the next start on.
    pub fn set_flag(&mut self, flag: &str, value: &str) {
        let place = self.arguments.iter().position(|known| known == flag);
        if let Some(known) = place.and_then(|place| self.arguments.get_mut(place + 1)) {
            *known = value.to_string();
        }
    }

    /// Id of the running process.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the id is that of a child that was started here and not yet waited for.
            unsafe {
                libc::kill(child.id() as i32, signal);
            }
        }
    }

    /// Waits until the process has ended and gives its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        let mut child = self.child.take()?;
        child.wait().ok()?.code()
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        self.signal(libc::SIGKILL);
        self.wait();
    }

    /// Asks the process over HTTP.
    pub fn get(&self, path: &str) -> Option<CallResponse> {
        let uri = format!("http://{}{path}", self.http);
        let timeout = Duration::from_secs(2);
        call(Method::GET, &uri, &[], Vec::new(), timeout, 16 << 20).ok()
    }

    /// Runners in the status of a daemon; none where it does not answer.
    pub fn runners(&self) -> Vec<serde_json::Value> {
        let status = self.get_json("/status").unwrap_or_default();
        status["runners"].as_array().cloned().unwrap_or_default()
    }

    /// Asks the process for JSON.
    pub fn get_json(&self, path: &str) -> Option<serde_json::Value> {
        let answer = self.get(path).filter(|answer| answer.status == 200)?;
        serde_json::from_slice(&answer.body).ok()
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        if self.child.is_some() {
            self.kill();
        }
    }
}
