use crate::options::{ControllerError, Translator};
use courier::{Courier, Event, LineId};
use exchange::{write_response, Bounds, Request, RequestReader};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

const INBOX_MAX: usize = 40 << 20;
const PATIENCE: Duration = Duration::from_millis(500);

/// What a daemon of the control plane without a disk needs to know.
pub struct GuideOptions {
    /// Address for operators.
    pub operators: SocketAddr,
    /// Operators' addresses of daemons that may have a disk.
    pub others: Vec<SocketAddr>,
    /// Most open lines.
    pub lines_max: usize,
    /// How operators speak.
    pub translator: Box<dyn Translator>,
}

/// Serves operators on a machine without a disk: nothing is kept here, so each call is sent on to another daemon.
pub fn guide(options: &GuideOptions) -> Result<(), ControllerError> {
    let term = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, Arc::clone(&term)).map_err(ControllerError::System)?;
    }
    let mut courier = Courier::new(options.lines_max, 5_000).map_err(ControllerError::System)?;
    let listening = courier.listen(options.operators, INBOX_MAX);
    listening.map_err(|error| ControllerError::Listen(options.operators, error))?;
    log::info!(
        "controller: no disk here; calls are sent on to {:?}",
        options.others
    );
    let mut readers: HashMap<LineId, RequestReader> = HashMap::new();
    let mut events = Vec::new();
    let mut turn = 0;
    while !term.load(Ordering::Relaxed) {
        courier.wait(PATIENCE, &mut events);
        for event in events.drain(..) {
            match event {
                Event::Opened(_, line) => {
                    readers.insert(line, RequestReader::new());
                }
                Event::Arrived(line) => serve(options, &mut courier, &mut readers, line, &mut turn),
                Event::Connected(_) => {}
                Event::Ended(line, _) => {
                    readers.remove(&line);
                    courier.close(line);
                }
            }
        }
    }
    Ok(())
}

fn serve(
    options: &GuideOptions,
    courier: &mut Courier,
    readers: &mut HashMap<LineId, RequestReader>,
    line: LineId,
    turn: &mut usize,
) {
    let bounds = Bounds {
        header_bytes: 64 << 10,
        body_bytes: 32 << 20,
    };
    let (Some(reader), Some(inbox)) = (readers.get_mut(&line), courier.inbox(line)) else {
        return;
    };
    let mut out = Vec::new();
    match reader.read(inbox, &bounds) {
        Ok(None) => return,
        Ok(Some(request)) => {
            *turn += 1;
            send_on(options, &request, *turn, &mut out);
        }
        Err(fault) => {
            let text = fault.to_string();
            let none = std::iter::empty();
            write_response(
                &mut out,
                fault.status(),
                none,
                text.as_bytes(),
                false,
                false,
            );
        }
    }
    courier.send(line, &out);
    courier.finish(line);
    readers.remove(&line);
}

fn send_on(options: &GuideOptions, request: &Request, turn: usize, out: &mut Vec<u8>) {
    let call = options
        .translator
        .operator_call(&request.method, &request.target);
    let status = match &call {
        None => 404,
        Some(Err(status)) => *status,
        Some(Ok(_)) if options.others.is_empty() => 503,
        Some(Ok(_)) => 307,
    };
    let place = turn % options.others.len().max(1);
    let other = options.others.get(place).filter(|_| status == 307);
    let location = other.map(|other| format!("http://{other}{}", request.target));
    let headers = location
        .iter()
        .map(|location| ("Location", location.as_bytes()));
    write_response(out, status, headers, b"", false, false);
}
