use crate::fleet::{reached_at, wire_port};
use parking_lot::Mutex;
use std::collections::HashSet;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use transport::{decode, encode, Envelope};

/// Pairs (from, to) of daemons whose messages in this direction are dropped.
type Cuts = Arc<Mutex<HashSet<(String, String)>>>;

/// TCP relays in front of the daemons, through which the lab cuts links. The daemons are not aware of them.
pub struct Relays {
    cuts: Cuts,
    names: Vec<String>,
}

impl Relays {
    /// Opens a relay in front of each daemon.
    pub fn open(base_port: u16, names: &[String]) -> io::Result<Self> {
        let cuts = Cuts::default();
        for name in names {
            let listener = TcpListener::bind(reached_at(base_port, name, true))?;
            let (target, to, cuts) = (wire_port(base_port, name), name.clone(), cuts.clone());
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

    /// Drops the messages of one direction.
    pub fn cut_one_way(&self, from: &str, to: &str) {
        self.cuts.lock().insert((from.into(), to.into()));
    }

    /// Cuts both directions between a daemon and all others.
    pub fn cut_off(&self, name: &str) {
        for other in &self.names {
            self.cut_one_way(name, other);
            self.cut_one_way(other, name);
        }
    }

    /// Removes all cuts.
    pub fn heal(&self) {
        self.cuts.lock().clear();
    }
}

fn forward(
    from: &mut impl io::Read,
    writer: &mut TcpStream,
    cuts: &Cuts,
    endpoints: impl Fn(&Envelope) -> (String, String),
) {
    while let Ok(envelope) = decode(from) {
        if cuts.lock().contains(&endpoints(&envelope)) {
            continue;
        }
        let written = encode(&envelope).map(|frame| writer.write_all(&frame));
        if !matches!(written, Some(Ok(()))) {
            return;
        }
    }
}

// The caller is identified by the sender of its messages; responses on the connection are addressed to it.
fn relay(stream: TcpStream, target: SocketAddr, to: &str, cuts: &Cuts) {
    let Ok(upstream) = TcpStream::connect(target) else {
        return;
    };
    let _ = (stream.set_nodelay(true), upstream.set_nodelay(true));
    let (Ok(mut caller), Ok(mut upstream_reader)) = (stream.try_clone(), upstream.try_clone())
    else {
        return;
    };
    let caller_name = Arc::new(Mutex::new(String::new()));
    let (destination_name, target_name, cuts_back) =
        (caller_name.clone(), to.to_string(), cuts.clone());
    let mut response_writer = caller.try_clone().ok();
    let response_thread = thread::spawn(move || {
        if let Some(writer) = response_writer.as_mut() {
            forward(&mut upstream_reader, writer, &cuts_back, |_| {
                (target_name.clone(), destination_name.lock().clone())
            });
        }
        let _ = stream.shutdown(Shutdown::Both);
    });
    let mut writer = upstream;
    forward(&mut caller, &mut writer, cuts, |envelope| {
        *caller_name.lock() = envelope.from.name.clone();
        (envelope.from.name.clone(), to.to_string())
    });
    let _ = writer.shutdown(Shutdown::Both);
    let _ = response_thread.join();
}
