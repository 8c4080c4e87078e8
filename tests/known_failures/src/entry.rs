//! The lines of the list.

use std::error::Error;
use std::fmt;

/// Separates the fields of a line.
const SEPARATOR: char = '|';
const FIELDS: usize = 5;
const ISSUE_PREFIX: &str = "issue ";

/// How a known failure shows itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A cargo test that fails in each run.
    Steady,
    /// A cargo test that fails now and then.
    Flaky,
    /// A script, or a program with a seed, that the test run does not start.
    Script,
}

impl Kind {
    fn parse(word: &str) -> Option<Self> {
        match word {
            "test" => Some(Self::Steady),
            "flaky" => Some(Self::Flaky),
            "script" => Some(Self::Script),
            _ => None,
        }
    }
}

/// An entry of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownFailure {
    /// How it shows itself.
    pub kind: Kind,
    /// `binary::test` of a cargo test, or the path of a script or of a program's source relative to the workspace.
    pub name: String,
    /// Command and seed that show the failure.
    pub command: String,
    /// What was seen.
    pub seen: String,
    /// The open issue, such as `issue 7`.
    pub issue: String,
}

impl fmt::Display for KnownFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            name,
            command,
            seen,
            issue,
            ..
        } = self;
        write!(formatter, "{name} | {command} | {seen} | {issue}")
    }
}

/// A line that is not an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListError {
    /// Number of the line, from 1.
    pub line: usize,
    /// What is wrong with it.
    pub reason: &'static str,
}

impl fmt::Display for ListError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "line {}: {}", self.line, self.reason)
    }
}

impl Error for ListError {}

/// Reads the list, one `kind | name | command and seed | what was seen | issue N` a line.
///
/// # Errors
/// If a line has another form, or names what a former line names.
pub fn parse_list(text: &str) -> Result<Vec<KnownFailure>, ListError> {
    let mut entries: Vec<KnownFailure> = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let entry = parse_line(line).and_then(|entry| {
            let is_repeated = entries.iter().any(|former| former.name == entry.name);
            (!is_repeated).then_some(entry).ok_or("it is listed twice")
        });
        entries.push(entry.map_err(|reason| ListError {
            line: index + 1,
            reason,
        })?);
    }
    Ok(entries)
}

fn parse_line(line: &str) -> Result<KnownFailure, &'static str> {
    let fields: Vec<&str> = line.split(SEPARATOR).map(str::trim).collect();
    if fields.len() != FIELDS || fields.contains(&"") {
        return Err("not `kind | name | command and seed | what was seen | issue N`");
    }
    let kind = Kind::parse(fields[0]).ok_or("the kind is not `test`, `flaky` or `script`")?;
    if kind != Kind::Script && !fields[1].contains("::") {
        return Err("the name is not `binary::test`");
    }
    let number = fields[4].strip_prefix(ISSUE_PREFIX);
    if number.is_none_or(|number| number.parse::<u32>().is_err()) {
        return Err("no issue is named");
    }
    Ok(KnownFailure {
        kind,
        name: fields[1].into(),
        command: fields[2].into(),
        seen: fields[3].into(),
        issue: fields[4].into(),
    })
}
