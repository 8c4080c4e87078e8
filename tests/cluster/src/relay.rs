//! Relays between daemons, which partition the cluster, delay bytes and reset connections.
//!
//! Each daemon listens for others at an address of its own, and a relay stands at the address by which they know it. Who opened a connection
//! is known from its first bytes, in which every daemon names itself.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How often a relay looks whether a partition has healed or it is to end.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
const CHUNK_BYTES: usize = 64 << 10;

/// The name by which a daemon is known to relays.
pub type MachineName = String;

/// One way between two machines.
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
    /// How many faults cut each way at the moment: they may overlap.
    cuts: BTreeMap<Direction, usize>,
    delays: BTreeMap<Direction, Duration>,
    /// Connections that are reset; those that were opened before this number.
    reset_before: u64,
}

/// What all relays of a cluster share.
#[derive(Default)]
pub struct Network {
    faults: Mutex<Faults>,
    /// Texts that a daemon's first bytes bear, with its name.
    identities: Mutex<Vec<(String, MachineName)>>,
    connections: Mutex<u64>,
    is_closed: AtomicBool,
}

impl Network {
    /// Whoever sends this text first is this machine.
    pub fn identify(&self, text: &str, name: &str) {
        let mut identities = self.identities.lock().unwrap();
        identities.push((text.into(), name.into()));
    }

    /// Bytes in these directions are held from now on.
    pub fn cut(&self, directions: &BTreeSet<Direction>) {
        let mut faults = self.faults.lock().unwrap();
        for direction in directions {
            *faults.cuts.entry(direction.clone()).or_default() += 1;
        }
    }

    /// Ends a former cut of these directions; what was held arrives late.
    pub fn heal(&self, directions: &BTreeSet<Direction>) {
        let mut faults = self.faults.lock().unwrap();
        for direction in directions {
            if let Some(count) = faults.cuts.get_mut(direction) {
                *count = count.saturating_sub(1);
            }
        }
    }

    /// Bytes in these directions take so much longer; zero ends it.
    pub fn delay(&self, directions: &BTreeSet<Direction>, delay: Duration) {
        let mut faults = self.faults.lock().unwrap();
        for direction in directions {
            faults.delays.insert(direction.clone(), delay);
        }
    }

    /// Resets all connections between daemons that are open now.
    pub fn reset_connections(&self) {
        let opened = *self.connections.lock().unwrap();
        self.faults.lock().unwrap().reset_before = opened;
    }

    /// Ends all relays.
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

/// Accepts connections to one port of a machine and passes them on to where its daemon listens.
pub fn open(network: &Arc<Network>, to: &str, at: SocketAddr, target: SocketAddr) {
    let listener = TcpListener::bind(at).unwrap_or_else(|error| panic!("{at}: {error}"));
    let (network, to) = (Arc::clone(network), to.to_string());
    listener
        .set_nonblocking(true)
        .expect("a listener may be asked without waiting");
    std::thread::spawn(move || {
        while !network.is_closed() {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(LOOK_INTERVAL);
                continue;
            };
            let (network, to) = (Arc::clone(&network), to.clone());
            std::thread::spawn(move || relay(&network, &to, stream, target));
        }
    });
}

/// Reads who opened the connection, then passes bytes on both ways until either side ends.
fn relay(network: &Arc<Network>, to: &str, mut opened: TcpStream, target: SocketAddr) {
    let _ = opened.set_nonblocking(false);
    let _ = opened.set_nodelay(true);
    let number = {
        let mut connections = network.connections.lock().unwrap();
        *connections += 1;
        *connections
    };
    let mut first = vec![0; CHUNK_BYTES];
    let Ok(count @ 1..) = opened.read(&mut first) else {
        return;
    };
    first.truncate(count);
    let from = network
        .sender_of(&first)
        .unwrap_or_else(|| "unknown".into());
    let direction = Direction::new(&from, to);
    // A connection that is opened while the way is cut comes up once it has healed, as the system sends its first packet again.
    while network.is_cut(&direction) && !network.is_closed() && !network.is_reset(number) {
        std::thread::sleep(LOOK_INTERVAL);
    }
    let Ok(passed) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else {
        return;
    };
    let _ = passed.set_nodelay(true);
    let (Ok(opened_copy), Ok(passed_copy)) = (opened.try_clone(), passed.try_clone()) else {
        return;
    };
    let backwards = direction.reversed();
    let back_network = Arc::clone(network);
    std::thread::spawn(move || {
        pass(
            &back_network,
            number,
            &backwards,
            passed_copy,
            opened_copy,
            Vec::new(),
        )
    });
    pass(network, number, &direction, opened, passed, first);
}

/// Passes bytes one way until the end, a reset or the end of the run.
fn pass(
    network: &Network,
    number: u64,
    direction: &Direction,
    mut from: TcpStream,
    mut to: TcpStream,
    first: Vec<u8>,
) {
    let _ = from.set_read_timeout(Some(LOOK_INTERVAL));
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut held: Vec<u8> = first;
    let mut due = Instant::now();
    let mut is_ended = false;
    while !network.is_closed() && !network.is_reset(number) {
        let may_pass = !network.is_cut(direction) && Instant::now() >= due;
        if may_pass && !held.is_empty() {
            if to.write_all(&held).is_err() {
                break;
            }
            held.clear();
        }
        if is_ended {
            if held.is_empty() && !network.is_cut(direction) {
                break;
            }
            std::thread::sleep(LOOK_INTERVAL);
            continue;
        }
        match from.read(&mut chunk) {
            Ok(0) => is_ended = true,
            Ok(count) => {
                if held.is_empty() {
                    due = Instant::now() + network.delay_of(direction);
                }
                held.extend_from_slice(&chunk[..count]);
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
