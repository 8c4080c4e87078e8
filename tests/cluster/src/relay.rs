//! TCP relays between daemons that can partition the cluster, delay data and reset connections.
//!
//! Each daemon listens on a separate address, and a relay listens on the address that the others use. The daemon that opened a
//! connection is identified by its first bytes, which contain its name or address.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How often a relay checks whether a partition has healed or the relay is closed.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const CHUNK_BYTES: usize = 64 << 10;

/// Name that identifies a daemon to the relays.
pub type MachineName = String;

/// A direction of traffic between two machines.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Direction {
    pub from: MachineName,
    pub to: MachineName,
}

impl Direction {
    pub fn new(from: &str, to: &str) -> Self {
        Self {
            from: from.into(),
            to: to.into(),
        }
    }

    fn reversed(&self) -> Self {
        Self::new(&self.to, &self.from)
    }
}

#[derive(Default)]
struct Faults {
    /// Number of active faults that cut each direction, as faults may overlap.
    cuts: BTreeMap<Direction, usize>,
    delays: BTreeMap<Direction, Duration>,
    /// Connections with a number up to this one are reset.
    reset_before: u64,
}

/// State shared by all relays of a cluster.
#[derive(Default)]
pub struct Network {
    faults: Mutex<Faults>,
    /// Text contained in a daemon's first bytes, and the daemon's name.
    identities: Mutex<Vec<(String, MachineName)>>,
    connections: Mutex<u64>,
    is_closed: AtomicBool,
}

impl Network {
    /// Attributes connections whose first bytes contain this text to this machine.
    pub fn identify(&self, text: &str, name: &str) {
        let mut identities = self.identities.lock().unwrap();
        identities.push((text.into(), name.into()));
    }

    /// Holds back all data in these directions until [`heal`](Self::heal).
    pub fn cut(&self, directions: &BTreeSet<Direction>) {
        let mut faults = self.faults.lock().unwrap();
        for direction in directions {
            *faults.cuts.entry(direction.clone()).or_default() += 1;
        }
    }

    /// Removes one cut of each of these directions; data that was held back is then delivered.
    pub fn heal(&self, directions: &BTreeSet<Direction>) {
        let mut faults = self.faults.lock().unwrap();
        for direction in directions {
            if let Some(count) = faults.cuts.get_mut(direction) {
                *count = count.saturating_sub(1);
            }
        }
    }

    /// Delays data in these directions; zero removes the delay.
    pub fn delay(&self, directions: &BTreeSet<Direction>, delay: Duration) {
        let mut faults = self.faults.lock().unwrap();
        for direction in directions {
            faults.delays.insert(direction.clone(), delay);
        }
    }

    /// Resets all currently open connections between daemons.
    pub fn reset_connections(&self) {
        let accepted = *self.connections.lock().unwrap();
        self.faults.lock().unwrap().reset_before = accepted;
    }

    /// Stops all relays.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
    }

    fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::SeqCst)
    }

    fn is_cut(&self, direction: &Direction) -> bool {
        let faults = self.faults.lock().unwrap();
        faults.cuts.get(direction).is_some_and(|count| *count > 0)
    }

    fn delay_of(&self, direction: &Direction) -> Duration {
        let faults = self.faults.lock().unwrap();
        faults.delays.get(direction).copied().unwrap_or_default()
    }

    fn is_reset(&self, connection: u64) -> bool {
        connection <= self.faults.lock().unwrap().reset_before
    }

    fn sender_of(&self, first_bytes: &[u8]) -> Option<MachineName> {
        let identities = self.identities.lock().unwrap();
        let is_named = |text: &str| {
            let mut windows = first_bytes.windows(text.len());
            windows.any(|window| window == text.as_bytes())
        };
        let found = identities.iter().find(|(text, _)| is_named(text));
        found.map(|(_, name)| name.clone())
    }
}

/// Accepts connections to one port of a machine and forwards them to the address on which its daemon listens.
pub fn open(network: &Arc<Network>, to: &str, at: SocketAddr, target: SocketAddr) {
    let listener = TcpListener::bind(at).unwrap_or_else(|error| panic!("{at}: {error}"));
    let (network, to) = (Arc::clone(network), to.to_string());
    listener
        .set_nonblocking(true)
        .expect("a listener can be made non-blocking");
    std::thread::spawn(move || {
        while !network.is_closed() {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(POLL_INTERVAL);
                continue;
            };
            let (network, to) = (Arc::clone(&network), to.clone());
            std::thread::spawn(move || relay(&network, &to, stream, target));
        }
    });
}

/// Identifies the sender, then forwards data in both directions until either side closes.
fn relay(network: &Arc<Network>, to: &str, mut accepted: TcpStream, target: SocketAddr) {
    let _ = accepted.set_nonblocking(false);
    let _ = accepted.set_nodelay(true);
    let number = {
        let mut connections = network.connections.lock().unwrap();
        *connections += 1;
        *connections
    };
    let mut first = vec![0; CHUNK_BYTES];
    let Ok(count @ 1..) = accepted.read(&mut first) else {
        return;
    };
    first.truncate(count);
    let from = network
        .sender_of(&first)
        .unwrap_or_else(|| "unknown".into());
    let direction = Direction::new(&from, to);
    // A connection opened during a cut is established after it heals, like a retransmitted SYN.
    while network.is_cut(&direction) && !network.is_closed() && !network.is_reset(number) {
        std::thread::sleep(POLL_INTERVAL);
    }
    let Ok(upstream) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else {
        return;
    };
    let _ = upstream.set_nodelay(true);
    let (Ok(accepted_copy), Ok(upstream_copy)) = (accepted.try_clone(), upstream.try_clone())
    else {
        return;
    };
    let reverse_direction = direction.reversed();
    let reverse_network = Arc::clone(network);
    std::thread::spawn(move || {
        forward(
            &reverse_network,
            number,
            &reverse_direction,
            upstream_copy,
            accepted_copy,
            Vec::new(),
        )
    });
    forward(network, number, &direction, accepted, upstream, first);
}

/// Forwards data in one direction until the stream ends, the connection is reset or the relays are closed.
fn forward(
    network: &Network,
    number: u64,
    direction: &Direction,
    mut from: TcpStream,
    mut to: TcpStream,
    first: Vec<u8>,
) {
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut buffered: Vec<u8> = first;
    let mut deliver_at = Instant::now();
    let mut is_ended = false;
    while !network.is_closed() && !network.is_reset(number) {
        let may_forward = !network.is_cut(direction) && Instant::now() >= deliver_at;
        if may_forward && !buffered.is_empty() {
            if to.write_all(&buffered).is_err() {
                break;
            }
            buffered.clear();
        }
        if is_ended {
            if buffered.is_empty() && !network.is_cut(direction) {
                break;
            }
            std::thread::sleep(POLL_INTERVAL);
            continue;
        }
        match from.read(&mut chunk) {
            Ok(0) => is_ended = true,
            Ok(count) => {
                if buffered.is_empty() {
                    deliver_at = Instant::now() + network.delay_of(direction);
                }
                buffered.extend_from_slice(&chunk[..count]);
            }
            Err(error) if is_timeout(&error) => {}
            Err(_) => is_ended = true,
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
    )
}
