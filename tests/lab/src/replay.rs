use crate::deployment::LabError;
use crate::judge::percentile;
use crate::run_log::unix_now_ms;
use crossbeam::channel::unbounded;
use har::{Har, Spec};
use oxhttp::model::{Method, Uri};
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;
use transport::call;

const ENTRIES_MAX: usize = 100_000;
const CALLERS: usize = 64;
const TIMEOUT: Duration = Duration::from_secs(30);
/// Headers that belong to the recorded connection, not to the request.
const LEFT_OUT: [&str; 5] = [
    "host",
    "connection",
    "content-length",
    "transfer-encoding",
    "accept-encoding",
];

struct Recorded {
    after: Duration,
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

fn input(text: impl Into<String>) -> LabError {
    LabError::Input(text.into())
}

fn entries_of(har: Har) -> Result<Vec<har::v1_2::Entries>, LabError> {
    match har.log {
        Spec::V1_2(log) => Ok(log.entries),
        Spec::V1_3(_) => Err(input("only HAR 1.2 is replayed")),
    }
}

fn read(file: &Path) -> Result<Vec<Recorded>, LabError> {
    let broken =
        |place: usize, why: &str| input(format!("{}: entry {place}: {why}", file.display()));
    let har =
        har::from_path(file).map_err(|error| input(format!("{}: {error}", file.display())))?;
    let entries = entries_of(har)?;
    if entries.is_empty() || entries.len() > ENTRIES_MAX {
        let text = format!("{}: {} entries", file.display(), entries.len());
        return Err(input(text));
    }
    let mut recorded = Vec::new();
    for (place, entry) in entries.into_iter().enumerate() {
        let began = OffsetDateTime::parse(&entry.started_date_time, &Rfc3339)
            .map_err(|_| broken(place, "startedDateTime is no time"))?;
        let request = entry.request;
        let method = request.method.parse::<Method>();
        let method = method.map_err(|_| broken(place, "the method is none"))?;
        let uri = request.url.parse::<Uri>();
        let uri = uri.map_err(|_| broken(place, "the URL is none"))?;
        let headers = request.headers.into_iter().filter(|header| {
            let name = header.name.to_ascii_lowercase();
            !name.starts_with(':') && !LEFT_OUT.contains(&name.as_str())
        });
        let recorded_at = began.unix_timestamp_nanos() / 1_000_000;
        recorded.push((
            recorded_at,
            Recorded {
                after: Duration::ZERO,
                method,
                path: uri.path().to_string(),
                headers: headers.map(|header| (header.name, header.value)).collect(),
                body: request
                    .post_data
                    .and_then(|data| data.text)
                    .unwrap_or_default()
                    .into_bytes(),
            },
        ));
    }
    recorded.sort_by_key(|(at, _)| *at);
    let first = recorded[0].0;
    let paced = recorded.into_iter().map(|(at, entry)| Recorded {
        after: Duration::from_millis((at - first) as u64),
        ..entry
    });
    Ok(paced.collect())
}

/// Sends a recorded file's requests to a front, paced as they were recorded, and tells what came.
pub fn run(file: &Path, front: SocketAddr) -> Result<(), LabError> {
    if !front.ip().is_loopback() {
        return Err(input("a recording is replayed on loopback only"));
    }
    let recorded = read(file)?;
    let count = recorded.len();
    let results: Mutex<Vec<(String, Duration)>> = Mutex::default();
    let (sender, receiver) = unbounded::<Recorded>();
    let began = Instant::now();
    thread::scope(|scope| {
        for _ in 0..CALLERS.min(count) {
            let (receiver, results) = (receiver.clone(), &results);
            scope.spawn(move || {
                for entry in &receiver {
                    let reported = send(&entry, front);
                    let took = began.elapsed().saturating_sub(entry.after);
                    results.lock().push((reported, took));
                }
            });
        }
        for entry in recorded {
            thread::sleep(entry.after.saturating_sub(began.elapsed()));
            let _ = sender.send(entry);
        }
        drop(sender);
    });
    let results = results.into_inner();
    let mut times: Vec<Duration> = results.iter().map(|(_, took)| *took).collect();
    times.sort();
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for (reported, _) in &results {
        *counts.entry(reported).or_default() += 1;
    }
    println!("{count} requests in {:.1} s", began.elapsed().as_secs_f64());
    for (reported, count) in counts {
        println!("{count:>8}  {reported}");
    }
    println!(
        "p50 {} ms, p99 {} ms",
        percentile(&times, 0.50).as_millis(),
        percentile(&times, 0.99).as_millis()
    );
    Ok(())
}

fn send(entry: &Recorded, front: SocketAddr) -> String {
    // A replay is new work: a recorded key would only give back the recorded answer, or be too old.
    let new_key = format!("{}-replay-{}", unix_now_ms(), rand::random::<u32>());
    let headers: Vec<(&str, &str)> = entry
        .headers
        .iter()
        .map(|(name, value)| {
            let is_key = name.eq_ignore_ascii_case("idempotency-key");
            (name.as_str(), if is_key { new_key.as_str() } else { value })
        })
        .collect();
    let uri = format!("http://{front}{}", entry.path);
    let method = entry.method.clone();
    match call(
        method,
        &uri,
        &headers,
        entry.body.clone(),
        TIMEOUT,
        16 << 20,
    ) {
        Ok(answer) => {
            let outcome = answer.headers.get("hallkeel-outcome");
            let outcome = outcome.and_then(|value| value.to_str().ok());
            format!("{} {}", answer.status, outcome.unwrap_or("-"))
        }
        Err(error) => error.to_string(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn har(entries: &str) -> std::path::PathBuf {
        let digest = entries.len();
        let path = std::env::temp_dir().join(format!("replay-{}-{digest}.har", std::process::id()));
        let text = format!(
            r#"{{"log":{{"version":"1.2","creator":{{"name":"t","version":"1"}},"entries":[{entries}]}}}}"#
        );
        std::fs::write(&path, text).unwrap();
        path
    }

    fn entry(time: &str, url: &str) -> String {
        format!(
            r#"{{"startedDateTime":"{time}","time":1,"cache":{{}},
            "timings":{{"send":0,"wait":0,"receive":0}},
            "request":{{"method":"POST","url":"{url}","httpVersion":"HTTP/1.1","cookies":[],
              "headers":[{{"name":"Host","value":"x"}},{{"name":"Hallkeel-Kind","value":"k"}}],
              "queryString":[],"headersSize":-1,"bodySize":2,
              "postData":{{"mimeType":"text/plain","text":"ab"}}}},
            "response":{{"status":200,"statusText":"","httpVersion":"HTTP/1.1","cookies":[],"headers":[],
              "content":{{"size":0,"mimeType":""}},"redirectURL":"","headersSize":-1,"bodySize":-1}}}}"#
        )
    }

    #[test]
    fn a_recording_is_read_in_order_of_time() {
        let later = entry("2026-11-30T09:00:01.500Z", "http://shop.example/call/b");
        let first = entry(
            "2026-11-30T10:00:00.250+01:00",
            "http://shop.example/call/a",
        );
        let path = har(&format!("{later},{first}"));
        let recorded = read(&path).unwrap();
        std::fs::remove_file(path).unwrap();
        assert_eq!(recorded[0].path, "/call/a");
        assert_eq!(recorded[1].after, Duration::from_millis(1_250));
        assert_eq!(recorded[1].body, b"ab");
        let names: Vec<&str> = recorded[0]
            .headers
            .iter()
            .map(|(name, _)| name.as_str())
            .collect();
        assert_eq!(names, ["Hallkeel-Kind"]);
    }

    #[test]
    fn a_broken_recording_is_refused_with_its_entry() {
        let path = har(&entry("yesterday", "http://shop.example/call/a"));
        let fault = read(&path).err().unwrap();
        std::fs::remove_file(path).unwrap();
        assert_eq!(fault.code(), 2);
        assert!(fault.to_string().contains("entry 0"), "{fault}");
        assert_eq!(read(Path::new("/nowhere.har")).err().unwrap().code(), 2);
    }
}
