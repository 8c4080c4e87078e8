//! Real controllers and real_gateways on loopback, with many hollow gateways in this process.

use crate::configuration;
use crate::meter::{figure, Markdown};
use crate::synthetic_site;
use crate::wire_daemons::{operate, Daemon, Fleet};
use crate::wire_gateways::Gateways;
use std::path::Path;
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// What is run.
pub struct Size {
    pub gateways: usize,
    pub functions: usize,
    pub instances: usize,
    pub controllers: usize,
    pub real_gateways: usize,
    pub seconds: u64,
}

/// Longest time for the whole.
const MOST: Duration = Duration::from_secs(400);
const CHANGES: u64 = 4;
const RESTARTS: usize = 4;

struct Run {
    fleet: Fleet,
    gateways: Gateways,
    ends_at: Instant,
}

/// What the daemons spent over a part of the run.
struct Part {
    spans: Vec<f64>,
    seconds: f64,
    kb_out: f64,
    kb_in: f64,
}

impl Run {
    fn drive(&mut self, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            assert!(Instant::now() < self.ends_at, "the run takes too long");
            self.gateways.turn();
        }
    }

    fn until(&mut self, most: Duration, is_so: impl Fn(&Gateways) -> bool) -> f64 {
        let began = Instant::now();
        while !is_so(&self.gateways) {
            assert!(
                began.elapsed() < most,
                "it takes too long: {}",
                self.gateways.print_figures()
            );
            self.gateways.turn();
        }
        began.elapsed().as_secs_f64()
    }

    fn part(&mut self, work: impl FnOnce(&mut Self)) -> Part {
        let before: Vec<f64> = self.fleet.daemons.iter().map(Daemon::cpu_s).collect();
        let (taken, sent) = (self.gateways.taken, self.gateways.sent);
        let began = Instant::now();
        work(self);
        let after = self.fleet.daemons.iter().map(Daemon::cpu_s);
        Part {
            spans: after
                .zip(before)
                .map(|(after, before)| after - before)
                .collect(),
            seconds: began.elapsed().as_secs_f64(),
            kb_out: (self.gateways.taken - taken) as f64 / 1e3,
            kb_in: (self.gateways.sent - sent) as f64 / 1e3,
        }
    }

    /// Gives an order and drives the gateways until all hold what came of it: seconds of the answer, and from there.
    fn command(&mut self, target: &'static str, base: u64, body: Vec<u8>) -> (f64, f64) {
        let (print_figures, notified) = mpsc::channel();
        let address = self.fleet.operators();
        let began = Instant::now();
        std::thread::spawn(move || print_figures.send(operate(address, target, base, &body)));
        let answer = loop {
            if let Ok(answer) = notified.try_recv() {
                break answer;
            }
            assert!(
                began.elapsed() < Duration::from_secs(40),
                "the operator waits too long"
            );
            self.gateways.turn();
        };
        assert_eq!(answer, Ok(200), "the order is taken");
        let answered = began.elapsed().as_secs_f64();
        let version_number = self.gateways.newest;
        let wanted = base + 1;
        let held = self.until(Duration::from_secs(60), |gateways| {
            gateways.commands_held() >= wanted && gateways.newest >= version_number
        });
        (answered, held)
    }
}

/// Runs it all and prints its tables.
pub fn run(size: &Size, programs: &Path) {
    let fleet = Fleet::start(size, programs);
    let gateways = Gateways::new(size.gateways, size.instances, fleet.controllers());
    let mut run = Run {
        fleet,
        gateways,
        ends_at: Instant::now() + MOST,
    };
    println!(
        "\n## {} hollow gateways, {} real_gateways, {} controllers, {} functions, {} instances listed",
        size.gateways, size.real_gateways, size.controllers, size.functions, size.instances
    );
    run.until(Duration::from_secs(60), Gateways::are_linked);
    run.drive(Duration::from_secs(8));
    let quiet = Duration::from_secs(size.seconds);
    let bare = run.part(|run| run.drive(quiet));
    let rss = run.fleet.rss();
    let document = synthetic_site::document(size.functions, 1);
    let first = run.command("/v1/Config.Replace", 0, document);
    run.drive(Duration::from_secs(8));
    let described = run.part(|run| run.drive(quiet));
    let rss_described = run.fleet.rss();
    let mut times = Vec::new();
    let changes = run.part(|run| {
        for version in 1..=CHANGES {
            let body = configuration::change(version as usize, version + 1);
            times.push(run.command("/v1/Config.Update", version, body));
            run.drive(Duration::from_secs(2));
        }
    });
    let restarts = run.part(|run| {
        for place in 0..RESTARTS {
            run.gateways.restart(place);
            run.until(Duration::from_secs(20), Gateways::are_linked);
            run.drive(Duration::from_secs(2));
        }
    });
    let peaks = run.fleet.peaks();
    print_figures(
        &run,
        &[
            ("no description", &bare),
            ("description in force", &described),
        ],
    );
    print_each(
        &run,
        "Processor time of one change, ms",
        &changes,
        &described,
        CHANGES as f64,
    );
    print_each(
        &run,
        "Processor time of one gateway's restart, ms",
        &restarts,
        &described,
        RESTARTS as f64,
    );
    let table = Markdown::head(
        "Memory, MB",
        &["daemon", "no description", "described", "peak of the run"],
    );
    for (place, daemon) in run.fleet.daemons.iter().enumerate() {
        table.named(
            &daemon.name,
            &[rss[place], rss_described[place], peaks[place]],
        );
    }
    let spread: Vec<String> = times
        .iter()
        .map(|(answered, held)| format!("{}+{}", figure(*answered), figure(*held)))
        .collect();
    println!(
        "\nfirst document: answered in {} s, held by all gateways {} s later; changes (s): {}",
        figure(first.0),
        figure(first.1),
        spread.join(", ")
    );
    println!(
        "\nframes that gateways took: {}",
        run.gateways.print_figures()
    );
}

fn print_figures(run: &Run, parts: &[(&str, &Part)]) {
    for (title, part) in parts {
        let table = Markdown::head(&format!("Quiet: {title}"), &["daemon", "% of a controller"]);
        for (place, daemon) in run.fleet.daemons.iter().enumerate() {
            table.named(&daemon.name, &[part.spans[place] * 100.0 / part.seconds]);
        }
        println!(
            "\nKB/s to all gateways: {}, from all gateways: {}",
            figure(part.kb_out / part.seconds),
            figure(part.kb_in / part.seconds)
        );
    }
}

fn print_each(run: &Run, title: &str, part: &Part, quiet: &Part, count: f64) {
    let table = Markdown::head(title, &["daemon", "ms above the quiet part"]);
    for (place, daemon) in run.fleet.daemons.iter().enumerate() {
        let idle = quiet.spans[place] / quiet.seconds * part.seconds;
        table.named(&daemon.name, &[(part.spans[place] - idle) * 1e3 / count]);
    }
    let idle = quiet.kb_out / quiet.seconds * part.seconds;
    println!(
        "\nKB to all gateways: {}",
        figure((part.kb_out - idle) / count)
    );
}
