use crate::callers;
use crate::deployment::{Deployment, LabError};
use crate::fleet::Needs;
use crate::judge::percentile;
use crate::member::Member;
use crate::run_log::unix_now_ms;
use crate::session::{make_ready, Ready};
use oxhttp::model::Method;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use transport::call;

const TIMEOUT: Duration = Duration::from_secs(5);
const CALLS: usize = 400;
const CLOSED_LOOP: usize = 48;

/// Measures what a front adds to a call, what a call costs, and what daemons take.
pub fn run(file: &Path, dir: &Path, report: Option<&Path>) -> Result<(), LabError> {
    let deployment = Deployment::read(file)?;
    let ready = make_ready(&deployment, file, dir, Needs::default())?;
    let mut lines = vec![memory(&ready, "at rest")];
    let function = format!("{}-000", deployment.groups[0].prefix);
    let runner = runner_of(&ready, &function)?;
    let fronts: Vec<SocketAddr> = ready.fleet.fronts.iter().map(|front| front.http).collect();
    lines.extend(latencies("idle", &runner, fronts[0], &function));
    let is_over = AtomicBool::new(false);
    let loaded = thread::scope(|scope| {
        let (traffic, over) = (deployment.clone(), &is_over);
        let fronts = fronts.clone();
        let load = scope.spawn(move || {
            while !over.load(Ordering::SeqCst) {
                callers::send(&traffic, &fronts, 4, false, unix_now_ms());
            }
        });
        thread::sleep(Duration::from_millis(500));
        let lines = latencies(
            "at 300 a second",
            &runner,
            ready.fleet.fronts[0].http,
            &function,
        );
        is_over.store(true, Ordering::SeqCst);
        let _ = load.join();
        lines
    });
    lines.extend(loaded);
    for (name, kind) in [("repeatable", "plain"), ("once", "urgent")] {
        lines.push(most(
            &ready,
            &format!("one front, {name}"),
            &fronts[..1],
            &function,
            kind,
        ));
        lines.push(most(
            &ready,
            &format!("all fronts, {name}"),
            &fronts,
            &function,
            kind,
        ));
    }
    lines.push(memory(&ready, "after the load"));
    lines.push(restart(ready)?);
    let text = lines.join("\n");
    match report {
        None => println!("{text}"),
        Some(path) => {
            use std::io::Write;
            let opened = std::fs::File::options()
                .create(true)
                .append(true)
                .open(path);
            opened
                .and_then(|mut file| writeln!(file, "{text}\n"))
                .map_err(|error| LabError::Input(format!("{}: {error}", path.display())))?;
        }
    }
    Ok(())
}

/// Address and id of a function's runner.
fn runner_of(ready: &Ready, function: &str) -> Result<(String, String), LabError> {
    let mut runners = ready.fleet.cores.iter().flat_map(Member::runners);
    let found = runners.find(|runner| runner["function"] == function);
    let found = found.ok_or_else(|| LabError::Fleet(format!("no runner of {function}")))?;
    let text = |field: &str| found[field].as_str().unwrap_or_default().to_string();
    Ok((text("address"), text("id")))
}

fn idempotency_key(number: u64) -> String {
    format!("{}-cost-{number}", unix_now_ms())
}

fn ask(front: SocketAddr, function: &str, kind: &str, number: u64) -> bool {
    let key = idempotency_key(number);
    let mut headers = vec![
        ("hallkeel-kind", kind),
        ("content-type", "application/json"),
    ];
    if kind == "urgent" {
        headers.push(("idempotency-key", key.as_str()));
    }
    let uri = format!("http://{front}/call/{function}");
    let body = format!("{{\"call\":\"{number}\"}}").into_bytes();
    let answer = call(Method::POST, &uri, &headers, body, TIMEOUT, 1 << 20);
    answer.is_ok_and(|answer| answer.status == 200)
}

fn timed(mut once: impl FnMut(u64) -> bool) -> (Vec<Duration>, usize) {
    let mut times = Vec::new();
    let mut failed = 0;
    for number in 0..CALLS as u64 {
        let began = Instant::now();
        if once(number) {
            times.push(began.elapsed());
        } else {
            failed += 1;
        }
    }
    times.sort();
    (times, failed)
}

fn latencies(
    load: &str,
    (address, id): &(String, String),
    front: SocketAddr,
    function: &str,
) -> Vec<String> {
    let direct = timed(|number| {
        let queued_request = format!("direct-{number}");
        let headers = [
            ("hallkeel-runner", id.as_str()),
            ("hallkeel-ticket", queued_request.as_str()),
            ("hallkeel-budget-ms", "1000"),
        ];
        let uri = format!("http://{address}/invoke");
        let body = b"{\"call\":\"-\"}".to_vec();
        call(Method::POST, &uri, &headers, body, TIMEOUT, 1 << 20).is_ok()
    });
    let plain = timed(|number| ask(front, function, "plain", number));
    let once = timed(|number| ask(front, function, "urgent", number));
    let base = percentile(&direct.0, 0.5).as_secs_f64();
    [("direct", direct), ("repeatable", plain), ("once", once)]
        .into_iter()
        .map(|(name, (times, failed))| {
            let at = |share: f64| percentile(&times, share).as_secs_f64() * 1_000.0;
            format!(
                "| latency {load} | {name} | p50 {:.2} ms, p99 {:.2} ms | {:.2} times direct at the median | {failed} failed |",
                at(0.5),
                at(0.99),
                at(0.5) / 1_000.0 / base.max(1e-9)
            )
        })
        .collect()
}

/// Processor time of processes so far, in milliseconds.
fn processor_ms<'a>(members: impl Iterator<Item = &'a Member>) -> f64 {
    // SAFETY: the call only reads a constant of the system.
    let ticks = unsafe { libc::sysconf(libc::_SC_CLK_TCK) } as f64;
    let used = members.filter_map(|member| {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", member.pid()?)).ok()?;
        let words: Vec<&str> = text.rsplit(')').next()?.split_whitespace().collect();
        let used: f64 = words.get(11)?.parse::<f64>().ok()? + words.get(12)?.parse::<f64>().ok()?;
        Some(used * 1_000.0 / ticks)
    });
    used.sum()
}

/// The most calls a second in a closed loop, and the processor time of a call.
fn most(ready: &Ready, name: &str, fronts: &[SocketAddr], function: &str, kind: &str) -> String {
    let before = (
        processor_ms(ready.fleet.fronts.iter()),
        processor_ms(ready.fleet.cores.iter()),
    );
    let (done, failed) = (AtomicU64::new(0), AtomicU64::new(0));
    let numbers = AtomicU64::new(1_000_000 + unix_now_ms() % 1_000_000);
    let began = Instant::now();
    let lasts = Duration::from_secs(5);
    thread::scope(|scope| {
        for place in 0..CLOSED_LOOP {
            let (done, failed, numbers) = (&done, &failed, &numbers);
            scope.spawn(move || {
                while began.elapsed() < lasts {
                    let number = numbers.fetch_add(1, Ordering::Relaxed);
                    let count = if ask(fronts[place % fronts.len()], function, kind, number) {
                        done
                    } else {
                        failed
                    };
                    count.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    });
    let done = done.into_inner() as f64;
    let fronts_ms = processor_ms(ready.fleet.fronts.iter()) - before.0;
    let cores_ms = processor_ms(ready.fleet.cores.iter()) - before.1;
    format!(
        "| most | {name} | {:.0} a second | processor a call: fronts {:.2} ms, cores {:.2} ms | {} failed |",
        done / began.elapsed().as_secs_f64(),
        fronts_ms / done.max(1.0),
        cores_ms / done.max(1.0),
        failed.into_inner()
    )
}

fn resident_mb(member: &Member) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{}/status", member.pid()?)).ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    let words: Vec<&str> = line.split_whitespace().collect();
    Some(words.get(1)?.parse::<f64>().ok()? / 1_024.0)
}

fn memory(ready: &Ready, when: &str) -> String {
    let most = |members: &[Member]| {
        let each = members.iter().filter_map(resident_mb);
        each.fold(0.0, f64::max)
    };
    format!(
        "| memory | {when} | front {:.0} MB, core {:.0} MB | the largest of each | |",
        most(&ready.fleet.fronts),
        most(&ready.fleet.cores)
    )
}

/// A core's start with the journal that the load has left.
fn restart(mut ready: Ready) -> Result<String, LabError> {
    let dir = ready.fleet.dir.clone();
    let status = ready.fleet.cores[0].get_json("/status").unwrap_or_default();
    let keys = status["keys"].as_u64().unwrap_or(0);
    ready.fleet.cores[0].kill();
    let data = dir.join("data").join("core-0").join("register");
    let files = std::fs::read_dir(data).into_iter().flatten().flatten();
    let bytes: u64 = files
        .filter_map(|file| file.metadata().ok())
        .map(|known| known.len())
        .sum();
    ready.fleet.cores[0].start(&dir)?;
    let took = ready.fleet.wait_until("the core answers", |fleet| {
        let status = fleet.cores[0].get_json("/status");
        status.is_some_and(|status| status["keys"].as_u64() >= Some(keys))
    })?;
    Ok(format!(
        "| start | core with {keys} keys, {:.1} MB of journal | {:.0} ms until it tells them | | |",
        bytes as f64 / 1e6,
        took.as_secs_f64() * 1_000.0
    ))
}
