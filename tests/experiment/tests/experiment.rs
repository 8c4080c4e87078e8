//! Statistics, tables, plots and plans of experiments.

use experiment::arm::Arm;
use experiment::comparison::compare;
use experiment::plan::{parse_seeds, Day, Plan};
use experiment::play::Reports;
use experiment::report::{DayReport, PRICES, WORTH};
use experiment::statistics::Summary;
use experiment::{plot, table};
use policy::PolicySetting;
use std::path::PathBuf;

const REPORT: &str = r#"{"G":0.75,"served":0.99,"fault":null,"unknown":1,
  "parts":[["whole day",0.75,0.997]],
  "prices":[["machines",4215.0,0.12],["bytes",0.04,0.05]],
  "breaks":{"TWICE":[1]}}"#;

fn summary(differences: &[f64]) -> Summary {
    Summary::of(differences).expect("there are differences")
}

fn reports(worth_by_seed: &[f64]) -> Reports {
    let days = worth_by_seed.iter().zip(1..).map(|(worth, seed)| {
        let day = Day {
            site: PathBuf::from("sites/here.toml"),
            day: "mix".into(),
            seed,
        };
        let mut report = DayReport::default();
        report.metrics.insert(WORTH.into(), *worth);
        (day, report)
    });
    days.collect()
}

#[test]
fn five_differences_of_one_sign_are_significant() {
    let observed = summary(&[0.01, 0.02, 0.015, 0.011, 0.03]);
    assert!(observed.is_significant(), "{observed:?}");
    assert!((observed.median - 0.015).abs() < 1e-12);
    assert!((observed.min - 0.01).abs() < 1e-12 && (observed.max - 0.03).abs() < 1e-12);
    assert!((observed.p_value - 2.0 / 32.0).abs() < 1e-12);
}

#[test]
fn differences_of_mixed_sign_or_none_are_not_significant() {
    assert!(!summary(&[0.01, -0.02, 0.015, -0.011, 0.003]).is_significant());
    assert!(!summary(&[0.0; 8]).is_significant());
    assert!(!summary(&[0.5]).is_significant());
    assert_eq!(Summary::of(&[]), None);
}

#[test]
fn the_median_of_an_even_count_is_the_mean_of_the_middle_two() {
    assert!((summary(&[1.0, 4.0, 2.0, 8.0]).median - 3.0).abs() < 1e-12);
}

#[test]
fn a_report_is_parsed_into_worth_parts_and_prices() {
    let report = DayReport::parse(REPORT).expect("it is a report");
    assert!((report.metrics[WORTH] - 0.75).abs() < 1e-12);
    assert!((report.metrics[PRICES] - 0.17).abs() < 1e-12);
    assert!((report.metrics["part: whole day"] - 0.997).abs() < 1e-12);
    assert!((report.metrics["price: bytes"] - 0.05).abs() < 1e-12);
    assert_eq!(report.violations, ["TWICE"]);
    assert!(DayReport::parse("{}").is_err());
}

#[test]
fn only_days_that_both_arms_have_are_compared() {
    let changes = compare(&reports(&[0.7, 0.8, 0.6]), &reports(&[0.71, 0.82]));
    assert_eq!(changes.len(), 1);
    let change = &changes[0];
    assert_eq!((change.metric.as_str(), change.summary.pairs), (WORTH, 2));
    assert!((change.summary.median - 0.015).abs() < 1e-12);
    assert!(table::metrics(&changes).contains("| worth | 0.7500 | 0.7650 | +0.0150 |"));
}

#[test]
fn an_unchanged_metric_is_not_in_the_table() {
    let changes = compare(&reports(&[0.7, 0.8]), &reports(&[0.7, 0.8]));
    assert!(!table::metrics(&changes).contains("worth"));
}

#[test]
fn options_are_appended_only_to_role_commands() {
    let arm = Arm {
        label: "change".into(),
        sources: PathBuf::new(),
        settings: vec![PolicySetting {
            name: "scaling.alpha".into(),
            value: "0.7".into(),
        }],
    };
    let original = "build = \"make\"\n[roles.a]\nrun = \"bin/a --port 1\"\non = \"x\"\n";
    let expected =
        "build = \"make\"\n[roles.a]\nrun = \"bin/a --port 1 --policy scaling.alpha=0.7\"\non = \"x\"\n";
    assert_eq!(arm.deploy_file(original), expected);
}

#[test]
fn seeds_are_parsed_from_numbers_and_ranges() {
    assert_eq!(parse_seeds("1-3,9"), Ok(vec![1, 2, 3, 9]));
    for text in ["", "a", "3-1", "1-", "-"] {
        assert!(parse_seeds(text).is_err(), "{text}");
    }
}

#[test]
fn a_plan_combines_every_deployment_day_and_seed() {
    let sites = [PathBuf::from("a.toml"), PathBuf::from("b.toml")];
    let days = Plan::all_days(&sites, &["quiet".into(), "mix".into()], &[1, 2]);
    assert_eq!(days.len(), 8);
    assert_eq!(days[0].label(), "a quiet 1");
}

#[test]
fn a_plot_names_the_metrics_that_changed() {
    let changes = compare(&reports(&[0.7, 0.8]), &reports(&[0.71, 0.82]));
    let folder = std::env::temp_dir().join(format!("hallkeel-plot-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder can be made");
    let path = folder.join("plot.svg");
    plot::draw(&path, "a title", &changes).expect("it is drawn");
    let drawn = std::fs::read_to_string(&path).expect("it is there");
    assert!(drawn.contains("a title") && drawn.contains("worth"));
    std::fs::remove_dir_all(&folder).expect("it can be removed");
}

#[test]
fn an_ablation_row_shows_worth_and_prices() {
    let with_prices = |worth_by_seed: &[f64]| {
        let mut reports = reports(worth_by_seed);
        for report in reports.values_mut() {
            report.metrics.insert(PRICES.into(), 0.2);
        }
        reports
    };
    let changes = compare(&with_prices(&[0.7, 0.8]), &with_prices(&[0.71, 0.82]));
    let row = table::ablation_row("scaling.evicts=false", &changes);
    assert_eq!(
        row,
        "| scaling.evicts=false | +0.0150 | +0.0100 | +0.0200 | +0.0000 | no (p 0.50) |\n"
    );
    assert!(table::ablation_row("x=1", &[]).contains("not played"));
}
