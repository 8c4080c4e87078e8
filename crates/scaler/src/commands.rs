use crate::observation::ListedRunner;
use configuration::{Plan, RunnerEntry, RunnerState};
use std::collections::{BTreeMap, BTreeSet};

/// A call to the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformCommand {
    /// Start this runner.
    Start(RunnerEntry),
    /// Stop the runner of this id.
    Stop(String),
}

/// How a call to the platform ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandResult {
    /// Taken; it is under way.
    Accepted,
    /// The runner is surely gone.
    Gone,
    /// The platform will not start it.
    Refused,
    /// The platform knows a higher term: another scaler is at work.
    StaleTerm,
    /// No answer; it is to be asked again.
    NoResponse,
}

/// Works out the calls between the settled plan and what the platform is known to have.
#[derive(Debug, Default)]
pub struct CommandPlanner {
    started: BTreeSet<String>,
    refused: BTreeSet<String>,
    gone: BTreeSet<String>,
    asked_at: BTreeMap<String, u64>,
    strange_since: BTreeMap<String, u64>,
}

impl CommandPlanner {
    /// Calls that are due; each is asked again after `pause` where no answer came.
    pub fn due(
        &mut self,
        now: u64,
        plan: &Plan,
        listed: &[ListedRunner],
        pause: u64,
        grace: u64,
    ) -> Vec<PlatformCommand> {
        let mut commands = Vec::new();
        for entry in &plan.runners {
            let is_listed = listed.iter().any(|runner| runner.id == entry.id);
            let wants_start = entry.state == RunnerState::Wanted
                && !is_listed
                && !self.started.contains(&entry.id)
                && !self.refused.contains(&entry.id);
            let wants_stop = entry.state == RunnerState::Stopping && !self.gone.contains(&entry.id);
            if wants_start && self.may_ask(now, &entry.id, pause) {
                commands.push(PlatformCommand::Start(entry.clone()));
            } else if wants_stop && self.may_ask(now, &entry.id, pause) {
                commands.push(PlatformCommand::Stop(entry.id.clone()));
            }
        }
        self.strange_since
            .retain(|id, _| listed.iter().any(|runner| runner.id == *id));
        for runner in listed {
            if plan.runner(&runner.id).is_some() {
                self.strange_since.remove(&runner.id);
                continue;
            }
            let since = *self.strange_since.entry(runner.id.clone()).or_insert(now);
            if since + grace <= now && self.may_ask(now, &runner.id, pause) {
                commands.push(PlatformCommand::Stop(runner.id.clone()));
            }
        }
        let is_known = |id: &String| plan.runner(id).is_some();
        self.started.retain(is_known);
        self.refused.retain(is_known);
        self.gone.retain(is_known);
        self.asked_at.retain(|_, asked_at| *asked_at + grace > now);
        commands
    }

    fn may_ask(&mut self, now: u64, id: &str, pause: u64) -> bool {
        if self
            .asked_at
            .get(id)
            .is_some_and(|asked| asked + pause > now)
        {
            return false;
        }
        self.asked_at.insert(id.to_string(), now);
        true
    }

    /// Takes the end of a call.
    pub fn on_result(&mut self, command: &PlatformCommand, result: CommandResult) {
        match (command, result) {
            (PlatformCommand::Start(entry), CommandResult::Accepted) => {
                self.started.insert(entry.id.clone());
                self.asked_at.remove(&entry.id);
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
