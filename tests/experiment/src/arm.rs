//! One side of an experiment: a folder of sources with the options that differ from their defaults.

use policy::PolicySetting;
use std::path::PathBuf;

/// The key of a role's command in the deploy file.
const RUN_KEY: &str = "run";
/// The flag by which a daemon takes an option of a policy.
const POLICY_FLAG: &str = "--policy";

/// One side of an experiment.
#[derive(Clone, Debug)]
pub struct Arm {
    /// What tables call it.
    pub label: String,
    /// Folder of its sources, a checkout.
    pub sources: PathBuf,
    /// Options that differ from their defaults.
    pub settings: Vec<PolicySetting>,
}

impl Arm {
    /// The deploy file with the options added to the command of each role.
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
