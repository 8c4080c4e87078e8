use crate::observation::ListedRunner;
use configuration::{Plan, RunnerEntry, RunnerState};
use std::collections::{BTreeMap, BTreeSet};

/// A command sent to the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformCommand {
    /// Start this runner.
    Start(RunnerEntry),
    /// Stop the runner with this id.
    Stop(String),
}

/// Outcome of a command sent to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandResult {
    /// The platform accepted the command and is executing it.
    Accepted,
    /// The platform confirmed that the runner no longer exists.
    Gone,
    /// The platform refused to start the runner; the start is not retried.
    Refused,
    /// The platform has seen a higher term, so another scaler is active.
    StaleTerm,
    /// No usable response arrived; the command is retried.
    NoResponse,
}

/// Computes the commands that bring the runners on the platform in line with the committed plan.
#[derive(Debug, Default)]
pub struct CommandPlanner {
    started: BTreeSet<String>,
    refused: BTreeSet<String>,
    gone: BTreeSet<String>,
    attempted_at: BTreeMap<String, u64>,
    unplanned_since: BTreeMap<String, u64>,
}

impl CommandPlanner {
    /// Commands that are due at `now`. A command without a final result is repeated every `retry_interval` milliseconds.
    /// A listed runner that is not in the plan is stopped once it has been seen for `grace` milliseconds.
    pub fn due(
        &mut self,
        now: u64,
        plan: &Plan,
        listed: &[ListedRunner],
        retry_interval: u64,
        grace: u64,
    ) -> Vec<PlatformCommand> {
        let mut commands = Vec::new();
        for entry in &plan.runners {
            let is_listed = listed.iter().any(|runner| runner.id == entry.id);
            let needs_start = entry.state == RunnerState::Wanted
                && !is_listed
                && !self.started.contains(&entry.id)
                && !self.refused.contains(&entry.id);
            let needs_stop = entry.state == RunnerState::Stopping && !self.gone.contains(&entry.id);
            if needs_start && self.record_attempt_if_due(now, &entry.id, retry_interval) {
                commands.push(PlatformCommand::Start(entry.clone()));
            } else if needs_stop && self.record_attempt_if_due(now, &entry.id, retry_interval) {
                commands.push(PlatformCommand::Stop(entry.id.clone()));
            }
        }
        self.unplanned_since
            .retain(|id, _| listed.iter().any(|runner| runner.id == *id));
        for runner in listed {
            if plan.runner(&runner.id).is_some() {
                self.unplanned_since.remove(&runner.id);
                continue;
            }
            let since = *self.unplanned_since.entry(runner.id.clone()).or_insert(now);
            if since + grace <= now && self.record_attempt_if_due(now, &runner.id, retry_interval) {
                commands.push(PlatformCommand::Stop(runner.id.clone()));
            }
        }
        let is_planned = |id: &String| plan.runner(id).is_some();
        self.started.retain(is_planned);
        self.refused.retain(is_planned);
        self.gone.retain(is_planned);
        self.attempted_at
            .retain(|_, attempted_at| *attempted_at + grace > now);
        commands
    }

    /// Records an attempt for this runner, unless the previous one was less than `retry_interval` milliseconds ago.
    /// Returns whether the attempt is due.
    fn record_attempt_if_due(&mut self, now: u64, id: &str, retry_interval: u64) -> bool {
        if self
            .attempted_at
            .get(id)
            .is_some_and(|attempted| attempted + retry_interval > now)
        {
            return false;
        }
        self.attempted_at.insert(id.to_string(), now);
        true
    }

    /// Records the result of a command.
    pub fn on_result(&mut self, command: &PlatformCommand, result: CommandResult) {
        match (command, result) {
            (PlatformCommand::Start(entry), CommandResult::Accepted) => {
                self.started.insert(entry.id.clone());
                self.attempted_at.remove(&entry.id);
            }
            (PlatformCommand::Start(entry), CommandResult::Refused) => {
                self.refused.insert(entry.id.clone());
            }
            (PlatformCommand::Stop(id), CommandResult::Gone) => {
                self.gone.insert(id.clone());
            }
            _ => {}
        }
    }

    /// Whether the platform refused to start the runner.
    pub fn is_refused(&self, id: &str) -> bool {
        self.refused.contains(id)
    }

    /// Whether the platform confirmed that the runner is gone.
    pub fn is_gone(&self, id: &str) -> bool {
        self.gone.contains(id)
    }
}
