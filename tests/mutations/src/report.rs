//! Formats results as lines and as a table.

use crate::campaign::TrialResult;
use crate::runner::Verdict;
use std::fmt::Write;

/// Returns a short description of a verdict.
pub fn verdict_text(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Compiles => "compiles".into(),
        Verdict::Caught(tests) if tests.is_empty() => "caught: a test binary failed".into(),
        Verdict::Caught(tests) => format!("caught by {}", tests.join(", ")),
        Verdict::TimedOut => "UNDECIDED: timed out".into(),
        Verdict::Missed => "MISSED".into(),
        Verdict::DoesNotBuild => "DOES NOT BUILD".into(),
    }
}

/// Whether a verdict is the expected one: the entry compiles, or a test detected it.
pub fn is_expected(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Compiles | Verdict::Caught(_))
}

/// Formats all results as a Markdown table, followed by the number of results of each kind.
pub fn table(results: &[TrialResult]) -> String {
    let mut text = String::from("| entry | removes | result | s |\n|---|---|---|---|\n");
    for result in results {
        let (name, removes) = (&result.entry.name, &result.entry.removes);
        let verdict = verdict_text(&result.verdict);
        let seconds = result.elapsed.as_secs();
        // Writing to a string cannot fail.
        let _ = writeln!(text, "| {name} | {removes} | {verdict} | {seconds} |");
    }
    text + &summary(results)
}

fn summary(results: &[TrialResult]) -> String {
    let count = |is_kind: fn(&Verdict) -> bool| {
        let verdicts = results.iter().map(|result| &result.verdict);
        verdicts.filter(|verdict| is_kind(verdict)).count()
    };
    format!(
        "{} mutations: {} caught, {} missed, {} undecided, {} do not build, {} compiled only\n",
        results.len(),
        count(|verdict| matches!(verdict, Verdict::Caught(_))),
        count(|verdict| *verdict == Verdict::Missed),
        count(|verdict| *verdict == Verdict::TimedOut),
        count(|verdict| *verdict == Verdict::DoesNotBuild),
        count(|verdict| *verdict == Verdict::Compiles),
    )
}
