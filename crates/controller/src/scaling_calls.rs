use crate::controller::{Controller, Role};
use crate::options::PlatformRequest;
use autoscaler::StartError;
use event_loop::ConnectionId;
use http1::{write_request, MessageLimits, Response, ResponseReader};
use std::collections::{HashMap, VecDeque};

const ANSWER_MAX: usize = 16 << 20;
/// Most connections to the platform.
const LINES_MAX: usize = 8;
/// Most calls that wait for a connection.
const WAITING_MAX: usize = 4_096;
/// Most pages of a list.
const LISTED_MAX: usize = 1 << 18;

/// What a call to the platform is for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Purpose {
    Workers,
    Runners,
    Start(String),
    Stop(String),
}

struct Busy {
    purpose: Purpose,
    reader: ResponseReader,
    ends_at: u64,
}

/// Calls to the platform: some under way, each on a connection of its own, the others waiting.
#[derive(Default)]
pub(crate) struct PlatformCalls {
    waiting: VecDeque<(PlatformRequest, Purpose)>,
    busy: HashMap<ConnectionId, Busy>,
    idle: Vec<ConnectionId>,
}

impl Controller {
    pub fn call_platform(&mut self, call: PlatformRequest, purpose: Purpose) {
        if self.scaling.calls.waiting.len() >= WAITING_MAX {
            self.fail(purpose);
            return;
        }
        self.scaling.calls.waiting.push_back((call, purpose));
        self.send_calls();
    }

    fn send_calls(&mut self) {
        while let Some((call, purpose)) = self.scaling.calls.waiting.pop_front() {
            let Some(address) = self.options.platform_address else {
                self.fail(purpose);
                continue;
            };
            let line = match self.scaling.calls.idle.pop() {
                Some(line) if self.event_loop.is_open(line) => Some(line),
                Some(_) => {
                    self.scaling.calls.waiting.push_front((call, purpose));
                    continue;
                }
                None if self.scaling.calls.busy.len() >= LINES_MAX => {
                    self.scaling.calls.waiting.push_front((call, purpose));
                    return;
                }
                None => self.event_loop.connect(address, ANSWER_MAX).ok(),
            };
            let Some(line) = line else {
                self.fail(purpose);
                continue;
            };
            self.roles.insert(line, Role::Platform);
            let host = address.to_string();
            let mut headers: Vec<(&str, &[u8])> = vec![("Host", host.as_bytes())];
            if !call.body.is_empty() {
                headers.push(("Content-Type", b"application/json"));
            }
            let own = call.headers.iter();
            headers.extend(own.map(|(name, value)| (*name, value.as_bytes())));
            let mut out = Vec::new();
            write_request(
                &mut out,
                call.method,
                &call.target,
                headers.into_iter(),
                &call.body,
            );
            self.event_loop.send(line, &out);
            let busy = Busy {
                purpose,
                reader: ResponseReader::new(false),
                ends_at: self.now + self.options.call_ms(),
            };
            self.scaling.calls.busy.insert(line, busy);
        }
    }

    /// Calls whose time is over were perhaps done all the same.
    pub fn tend_calls(&mut self) {
        let busy = self.scaling.calls.busy.iter();
        let late = busy.filter(|(_, busy)| busy.ends_at <= self.now);
        let late: Vec<ConnectionId> = late.map(|(line, _)| *line).collect();
        for line in late {
            self.roles.remove(&line);
            self.event_loop.close(line);
            self.platform_ended(line);
        }
        self.send_calls();
    }

    pub fn drop_calls(&mut self) {
        let calls = std::mem::take(&mut self.scaling.calls);
        for line in calls.busy.into_keys().chain(calls.idle) {
            self.roles.remove(&line);
            self.event_loop.close(line);
        }
    }

    pub fn platform_ended(&mut self, line: ConnectionId) {
        self.scaling.calls.idle.retain(|idle| *idle != line);
        if let Some(busy) = self.scaling.calls.busy.remove(&line) {
            self.fail(busy.purpose);
            self.send_calls();
        }
    }

    pub fn platform_arrived(&mut self, line: ConnectionId) {
        let bounds = MessageLimits {
            header_bytes: 64 << 10,
            body_bytes: ANSWER_MAX,
        };
        let Some(busy) = self.scaling.calls.busy.get_mut(&line) else {
            self.scaling.calls.idle.retain(|idle| *idle != line);
            self.roles.remove(&line);
            self.event_loop.close(line);
            return;
        };
        let Some(inbox) = self.event_loop.read_buffer(line) else {
            return;
        };
        match busy.reader.read(inbox, &bounds) {
            Ok(None) => {}
            Err(fault) => {
                log::warn!("scaler: the platform sent no answer in the protocol: {fault}");
                self.roles.remove(&line);
                self.event_loop.close(line);
                self.platform_ended(line);
            }
            Ok(Some(response)) => {
                let Some(busy) = self.scaling.calls.busy.remove(&line) else {
                    return;
                };
                if response.keeps_alive {
                    self.scaling.calls.idle.push(line);
                } else {
                    self.roles.remove(&line);
                    self.event_loop.close(line);
                }
                self.take_answer(busy.purpose, &response);
                self.carry_out();
                self.send_calls();
            }
        }
    }

    fn take_answer(&mut self, purpose: Purpose, response: &Response) {
        let codec = &self.options.platform_codec;
        let Some(autoscaler) = self.scaling.autoscaler.as_mut() else {
            return;
        };
        match purpose {
            Purpose::Workers if response.status == 200 => {
                match codec.read_workers(&response.body) {
                    Ok(workers) => autoscaler.update_workers(self.now, workers),
                    Err(reason) => log::warn!("scaler: the list of workers: {reason}"),
                }
            }
            Purpose::Runners if response.status == 200 => self.take_page(&response.body),
            Purpose::Start(nonce) => {
                let reply = codec.read_start(response.status, &response.body);
                if let Err(fault) = &reply {
                    log::info!("scaler: start {nonce} gave no runner: {fault:?}");
                }
                autoscaler.handle_start_result(self.now, &nonce, reply);
            }
            Purpose::Stop(id) => {
                let is_done = codec.is_stopped(response.status);
                autoscaler.handle_stop_result(self.now, &id, is_done);
            }
            purpose => self.fail(purpose),
        }
    }

    fn take_page(&mut self, body: &[u8]) {
        let codec = &self.options.platform_codec;
        let page = match codec.read_runners(body) {
            Ok(page) => page,
            Err(reason) => {
                log::warn!("scaler: the list of runners: {reason}");
                self.scaling.is_listing = false;
                return;
            }
        };
        self.scaling.pages.extend(page.runners);
        if let Some(next) = page.next.filter(|_| self.scaling.pages.len() < LISTED_MAX) {
            let call = codec.list_runners(Some(&next));
            self.call_platform(call, Purpose::Runners);
            return;
        }
        self.scaling.is_listing = false;
        let runners = std::mem::take(&mut self.scaling.pages);
        if let Some(autoscaler) = self.scaling.autoscaler.as_mut() {
            autoscaler.update_runners(self.now, runners);
        }
    }

    fn fail(&mut self, purpose: Purpose) {
        let Some(autoscaler) = self.scaling.autoscaler.as_mut() else {
            return;
        };
        match purpose {
            Purpose::Workers => {}
            Purpose::Runners => {
                self.scaling.is_listing = false;
                self.scaling.pages.clear();
            }
            Purpose::Start(nonce) => {
                autoscaler.handle_start_result(self.now, &nonce, Err(StartError::Unanswered));
            }
            Purpose::Stop(id) => autoscaler.handle_stop_result(self.now, &id, false),
        }
    }
}
