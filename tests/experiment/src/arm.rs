//! One arm of an experiment: a source tree and its policy settings.

use policy::PolicySetting;
use std::path::PathBuf;

/// Key in the deploy file that holds a role's command.
const RUN_KEY: &str = "run";
/// Command line flag that sets a policy option of a daemon.
const POLICY_FLAG: &str = "--policy";

/// One of the variants that an experiment compares.
#[derive(Clone, Debug)]
pub struct Arm {
    /// Name of the arm in tables and journal entries.
    pub label: String,
    /// Git checkout that the arm is built from.
    pub sources: PathBuf,
    /// Policy options that differ from their defaults.
    pub settings: Vec<PolicySetting>,
}

impl Arm {
    /// The deploy file with the arm's policy options appended to each role's command.
    #[must_use]
    pub fn deploy_file(&self, original: &str) -> String {
        let flags: String = self
            .settings
            .iter()
            .map(|setting| format!(" {POLICY_FLAG} {}={}", setting.name, setting.value))
            .collect();
        let lines = original.lines().map(|line| with_flags(line, &flags));
        lines.collect()
    }
}

fn with_flags(line: &str, flags: &str) -> String {
    let key = line.split('=').next().unwrap_or_default().trim();
    match line.rfind('"') {
        Some(end) if key == RUN_KEY => format!("{}{flags}{}\n", &line[..end], &line[end..]),
        _ => format!("{line}\n"),
    }
}
