use crate::fleet::{reached_at, wire_port};
use parking_lot::Mutex;
use std::collections::HashSet;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use transport::{decode, encode, Envelope};

/// Pairs (from, to) of daemons between which nothing passes.
type Cuts = Arc<Mutex<HashSet<(String, String)>>>;

/// Relays between the daemons, by which the lab cuts links. The daemons know nothing of it.
pub struct Relays {
    cuts: Cuts,
    names: Vec<String>,
}

impl Relays {
    /// Opens a relay before each daemon.
    pub fn open(base: u16, names: &[String]) -> io::Result<Self> {
        let cuts = Cuts::default();
        for name in names {
            let listener = TcpListener::bind(reached_at(base, name, true))?;
            let (target, to, cuts) = (wire_port(base, name), name.clone(), cuts.clone());
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (to, cuts) = (to.clone(), cuts.clone());
                    thread::spawn(move || relay(stream, target, &to, &cuts));
                }
            });
        }
        Ok(Self {
            cuts,
            names: names.to_vec(),
        })
    }

    /// Cuts one direction.
    pub fn cut_one_way(&self, from: &str, to: &str) {
        self.cuts.lock().insert((from.into(), to.into()));
    }

    /// Cuts a daemon off from all others.
    pub fn cut_off(&self, name: &str) {
        for other in &self.names {
            self.cut_one_way(name, other);
            self.cut_one_way(other, name);
        }
    }

    /// Heals all cuts.
    pub fn heal(&self) {
        self.cuts.lock().clear();
    }
}

fn pass(
    from: &mut impl io::Read,
    into: &mut TcpStream,
    cuts: &Cuts,
    ends: impl Fn(&Envelope) -> (String, String),
) {
    while let Ok(envelope) = decode(from) {
        if cuts.lock().contains(&ends(&envelope)) {
            continue;
        }
        let written = encode(&envelope).map(|frame| into.write_all(&frame));
        if !matches!(written, Some(Ok(()))) {
            return;
        }
    }
}

// The caller's name is in each of its messages; answers go back to whoever called.
fn relay(stream: TcpStream, target: SocketAddr, to: &str, cuts: &Cuts) {
    let Ok(onward) = TcpStream::connect(target) else {
        return;
    };
    let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
    let (Ok(mut caller), Ok(mut back)) = (stream.try_clone(), onward.try_clone()) else {
        return;
    };
    let caller_name = Arc::new(Mutex::new(String::new()));
    let (known, own, cuts_back) = (caller_name.clone(), to.to_string(), cuts.clone());
    let mut answers_into = caller.try_clone().ok();
    let answers = thread::spawn(move || {
        if let Some(into) = answers_into.as_mut() {
            pass(&mut back, into, &cuts_back, |_| {
                (own.clone(), known.lock().clone())
            });
        }
        let _ = stream.shutdown(Shutdown::Both);
    });
    let mut into = onward;
    pass(&mut caller, &mut into, cuts, |envelope| {
        *caller_name.lock() = envelope.from.name.clone();
        (envelope.from.name.clone(), to.to_string())
    });
    let _ = into.shutdown(Shutdown::Both);
    let _ = answers.join();
}
