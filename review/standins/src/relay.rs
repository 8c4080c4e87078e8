//! A proxy between the machines, which holds back what one machine and the others say to each other while it is cut off.
//! Whoever opened a connection is known by its first bytes, which hold its name or address.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const POLL: Duration = Duration::from_millis(5);

/// The machines' names and which of them is cut off.
#[derive(Default)]
pub struct Network {
    /// Text in a daemon's first bytes, and the number of its machine.
    identities: Mutex<Vec<(String, usize)>>,
    cut_off: Mutex<Option<usize>>,
}

impl Network {
    /// Attributes connections that begin with this text to a machine.
    pub fn identify(&self, text: String, machine: usize) {
        self.identities.lock().unwrap().push((text, machine));
    }

    /// Cuts a machine off from all others; `None` heals the cut, and what was held back is delivered.
    pub fn cut_off(&self, machine: Option<usize>) {
        *self.cut_off.lock().unwrap() = machine;
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        let cut_off = *self.cut_off.lock().unwrap();
        one != other && cut_off.is_some_and(|machine| machine == one || machine == other)
    }

    fn machine_of(&self, bytes: &[u8]) -> Option<usize> {
        let identities = self.identities.lock().unwrap();
        let places = identities.iter().filter_map(|(text, machine)| {
            let mut windows = bytes.windows(text.len());
            Some((windows.position(|part| part == text.as_bytes())?, *machine))
        });
        places.min().map(|(_, machine)| machine)
    }
}

/// Accepts connections to one port of a machine and forwards them to where its daemon listens.
pub fn open(
    network: &Arc<Network>,
    to: usize,
    at: SocketAddr,
    target: SocketAddr,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(at)?;
    let network = Arc::clone(network);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let network = Arc::clone(&network);
            std::thread::spawn(move || connect(&network, to, stream, target));
        }
    });
    Ok(())
}

fn connect(network: &Arc<Network>, to: usize, mut accepted: TcpStream, target: SocketAddr) {
    let mut first = vec![0; 16 << 10];
    let Ok(count @ 1..) = accepted.read(&mut first) else {
        return;
    };
    first.truncate(count);
    let from = network.machine_of(&first).unwrap_or(to);
    // A connection that is opened during a cut comes about once it is healed.
    while network.is_cut(from, to) {
        std::thread::sleep(POLL);
    }
    let Ok(upstream) = TcpStream::connect(target) else {
        let _ = accepted.shutdown(Shutdown::Both);
        return;
    };
    let _ = (accepted.set_nodelay(true), upstream.set_nodelay(true));
    let (Ok(back_to), Ok(back_from)) = (accepted.try_clone(), upstream.try_clone()) else {
        return;
    };
    let back = Arc::clone(network);
    std::thread::spawn(move || forward(&back, (to, from), back_from, back_to, Vec::new()));
    forward(network, (from, to), accepted, upstream, first);
}

/// Forwards one direction until it ends.
fn forward(
    network: &Network,
    (one, other): (usize, usize),
    mut from: TcpStream,
    mut to: TcpStream,
    first: Vec<u8>,
) {
    let _ = from.set_read_timeout(Some(POLL));
    let mut held = first;
    let mut chunk = vec![0; 64 << 10];
    let mut is_ended = false;
    loop {
        if !network.is_cut(one, other) {
            if !held.is_empty() && to.write_all(&held).is_err() {
                break;
            }
            held.clear();
            if is_ended {
                break;
            }
        }
        if is_ended {
            std::thread::sleep(POLL);
            continue;
        }
        match from.read(&mut chunk) {
            Ok(0) => is_ended = true,
            Ok(count) => held.extend_from_slice(&chunk[..count]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => is_ended = true,
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
