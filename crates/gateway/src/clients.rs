//! Connections of clients: requests come in, and each gets its answer before the next one is read.

use crate::gateway::{Due, Gateway, Role};
use crate::tickets::{Stage, Ticket};
use event_loop::ConnectionId;
use http1::{write_response, HttpError, MessageLimits, Request, RequestReader, CONTINUE};

/// A client's connection.
#[derive(Default)]
pub(crate) struct Client {
    pub reader: RequestReader,
    pub ticket: Option<u64>,
    pub has_continued: bool,
    /// When the request that is arriving began to, or the connection fell idle.
    pub since: u64,
    pub is_arriving: bool,
    pub is_timed: bool,
}

/// Most milliseconds that any request is held.
const HELD_MAX_MS: u64 = 120_000;

impl Gateway {
    pub fn client_opened(&mut self, line: ConnectionId) {
        let client = Client {
            since: self.now,
            is_timed: true,
            ..Client::default()
        };
        self.roles.insert(line, Role::Client(client));
        let wait = self.control.limits().idle_timeout_ms;
        // A client that reads nothing for a while is no daemon that fell silent.
        self.event_loop.set_user_timeout(line, wait);
        self.timers.schedule(self.now + wait, Due::Client(line));
    }

    pub fn client_arrived(&mut self, line: ConnectionId) {
        let limits = self.control.limits();
        let bounds = MessageLimits {
            header_bytes: limits.header_bytes,
            body_bytes: limits.body_bytes,
        };
        let Some(Role::Client(client)) = self.roles.get_mut(&line) else {
            return;
        };
        if client.ticket.is_some() {
            return;
        }
        let Some(inbox) = self.event_loop.read_buffer(line) else {
            return;
        };
        match client.reader.read(inbox, &bounds) {
            Ok(Some(request)) => {
                client.is_arriving = false;
                client.has_continued = false;
                self.take(line, request);
            }
            Ok(None) => {
                let has_begun = client.reader.has_begun(inbox);
                if has_begun && !client.is_arriving {
                    client.is_arriving = true;
                    client.since = self.now;
                    let wait = limits.header_timeout_ms;
                    self.timers.schedule(self.now + wait, Due::Client(line));
                }
                if client.reader.expects_continue() && !client.has_continued {
                    client.has_continued = true;
                    self.event_loop.send(line, CONTINUE);
                }
            }
            Err(fault) => self.refuse_bytes(line, &fault),
        }
    }

    fn refuse_bytes(&mut self, line: ConnectionId, fault: &HttpError) {
        log::debug!("gateway: bytes refused: {fault}");
        let mut out = Vec::new();
        let text = fault.to_string();
        write_response(
            &mut out,
            fault.status(),
            std::iter::empty(),
            text.as_bytes(),
            false,
            false,
        );
        self.event_loop.send(line, &out);
        self.event_loop.close_after_flush(line);
        self.roles.remove(&line);
    }

    /// A whole request: it is bound to a function and bids for a seat.
    fn take(&mut self, line: ConnectionId, request: Request) {
        let conventions = self.options.conventions;
        if (conventions.is_readiness_check)(&request.method, &request.target) {
            self.tell_readiness(line, request.keeps_alive);
            self.note_unread(line);
            return;
        }
        let host = request.headers.get_text("host").unwrap_or("");
        let path = request.target.split('?').next().unwrap_or("");
        let table = self.control.table();
        let found = table.as_ref().and_then(|table| table.find(host, path));
        let id = request
            .headers
            .get(conventions.request_id)
            .unwrap_or(b"")
            .to_vec();
        let Some((_, binding, function)) = found else {
            let status = if table.is_some() { 404 } else { 503 };
            self.answer_own(
                line,
                &id,
                status,
                "no binding for this host and path",
                &request,
            );
            return;
        };
        if id.is_empty() {
            self.answer_own(line, &id, 400, "the request has no id", &request);
            return;
        }
        let budget = match request.headers.get_text(conventions.timeout) {
            None => Some(u64::from(binding.timeout_ms)),
            Some(text) => text.trim().parse::<u64>().ok(),
        };
        let Some(budget) = budget else {
            self.answer_own(line, &id, 400, "the time left is not a number", &request);
            return;
        };
        let Ok(job) = self.pass_of(&request, binding.at_most_once) else {
            let text = "the idempotency key is not up to 200 visible ASCII characters, told once";
            self.answer_own(line, &id, 400, text, &request);
            return;
        };
        let held = budget.min(u64::from(binding.timeout_ms)).min(HELD_MAX_MS);
        let ticket = Ticket {
            client: Some(line),
            id,
            function: function.name.clone(),
            is_once: binding.at_most_once,
            rank: binding.priority,
            tries: binding.max_attempts.max(1),
            sends: 0,
            unreached: 0,
            may_have_run: false,
            began_at: self.now,
            ends_at: self.now + held,
            avoid: Vec::new(),
            stage: Stage::Resting,
            job,
            request,
        };
        let number = self.tickets.add(ticket);
        if let Some(Role::Client(client)) = self.roles.get_mut(&line) {
            client.ticket = Some(number);
        }
        self.timers.schedule(self.now + held, Due::Ticket(number));
        self.earn_credit(number);
        self.place_bid(number);
    }

    /// Answers with this daemon's own word, before there is a ticket.
    fn answer_own(
        &mut self,
        line: ConnectionId,
        id: &[u8],
        status: u16,
        text: &str,
        request: &Request,
    ) {
        let conventions = self.options.conventions;
        let mut headers: Vec<(&str, &[u8])> = Vec::new();
        if !id.is_empty() {
            headers.push((conventions.request_id, id));
        }
        let keeps_alive = request.keeps_alive && self.drains_since.is_none();
        let mut out = Vec::new();
        let is_head = request.method == "HEAD";
        let headers = headers.into_iter();
        write_response(
            &mut out,
            status,
            headers,
            text.as_bytes(),
            keeps_alive,
            is_head,
        );
        self.event_loop.send(line, &out);
        self.after_answer(line, keeps_alive);
    }

    /// Answers a ticket and goes on with what its client sent meanwhile.
    pub fn answer(&mut self, ticket: &Ticket, status: u16, headers: &[(&str, &[u8])], body: &[u8]) {
        let Some(line) = ticket.client else {
            return;
        };
        let keeps_alive = ticket.request.keeps_alive && self.drains_since.is_none();
        let mut out = Vec::with_capacity(body.len() + 256);
        let is_head = ticket.request.method == "HEAD";
        let headers = headers.iter().copied();
        write_response(&mut out, status, headers, body, keeps_alive, is_head);
        self.event_loop.send(line, &out);
        self.after_answer(line, keeps_alive);
    }

    fn after_answer(&mut self, line: ConnectionId, keeps_alive: bool) {
        if !keeps_alive {
            self.event_loop.close_after_flush(line);
            self.roles.remove(&line);
            return;
        }
        let Some(Role::Client(client)) = self.roles.get_mut(&line) else {
            return;
        };
        client.ticket = None;
        client.since = self.now;
        if !client.is_timed {
            client.is_timed = true;
            let wait = self.control.limits().idle_timeout_ms;
            self.timers.schedule(self.now + wait, Due::Client(line));
        }
        self.note_unread(line);
    }

    /// A client's next request may have arrived already. It is read in its turn: not from within the answer to the one
    /// before, since a client may send any number of requests at once.
    fn note_unread(&mut self, line: ConnectionId) {
        let inbox = self.event_loop.read_buffer(line);
        if inbox.is_some_and(|inbox| !inbox.is_empty()) {
            self.unread.push(line);
        }
    }

    /// Reads one more request of each client that sent several at once.
    pub fn read_on(&mut self) {
        for line in std::mem::take(&mut self.unread) {
            self.client_arrived(line);
        }
    }

    /// A look whether a client's connection has been idle, or its request arriving, for too long.
    pub fn client_is_late(&mut self, line: ConnectionId) {
        let limits = self.control.limits();
        let Some(Role::Client(client)) = self.roles.get_mut(&line) else {
            return;
        };
        client.is_timed = false;
        if client.ticket.is_some() {
            return;
        }
        let wait = if client.is_arriving {
            limits.header_timeout_ms
        } else {
            limits.idle_timeout_ms
        };
        let ends_at = client.since + wait;
        if self.now < ends_at {
            client.is_timed = true;
            self.timers.schedule(ends_at, Due::Client(line));
            return;
        }
        if client.is_arriving {
            let mut out = Vec::new();
            write_response(
                &mut out,
                408,
                std::iter::empty(),
                b"the request came too slowly",
                false,
                false,
            );
            self.event_loop.send(line, &out);
        }
        self.event_loop.close_after_flush(line);
        self.roles.remove(&line);
    }

    /// A client left. What has left for a runner goes on, since it may be once-work; all else is withdrawn.
    pub fn client_ended(&mut self, line: ConnectionId) {
        let Some(Role::Client(client)) = self.roles.get(&line) else {
            return;
        };
        let Some(number) = client.ticket else {
            return;
        };
        let Some(ticket) = self.tickets.get(number) else {
            return;
        };
        ticket.client = None;
        match &ticket.stage {
            Stage::Sent(sent) if sent.has_left => return,
            Stage::Sent(sent) => {
                let lender = sent.lender.clone();
                self.leave_runner(number);
                self.void_bid(&lender, number);
            }
            Stage::Waiting { .. } | Stage::Resting => self.withdraw(number),
        }
        self.tickets.remove(number);
    }

    pub fn readiness_arrived(&mut self, line: ConnectionId) {
        let bounds = MessageLimits {
            header_bytes: 8 << 10,
            body_bytes: 1 << 10,
        };
        let Some(Role::Readiness(reader)) = self.roles.get_mut(&line) else {
            return;
        };
        let Some(inbox) = self.event_loop.read_buffer(line) else {
            return;
        };
        match reader.read(inbox, &bounds) {
            Ok(None) => {}
            Ok(Some(request)) => {
                self.tell_readiness(line, request.keeps_alive);
            }
            Err(fault) => self.refuse_bytes(line, &fault),
        }
    }

    fn tell_readiness(&mut self, line: ConnectionId, keeps_alive: bool) {
        let is_ready = self.control.is_ready() && self.drains_since.is_none();
        let status = if is_ready { 200 } else { 503 };
        let mut out = Vec::new();
        write_response(
            &mut out,
            status,
            std::iter::empty(),
            b"",
            keeps_alive,
            false,
        );
        self.event_loop.send(line, &out);
        if !keeps_alive {
            self.event_loop.close_after_flush(line);
            self.roles.remove(&line);
        }
    }

    pub fn close_idle_clients(&mut self) {
        let idle = self.roles.iter().filter(|(_, role)| {
            matches!(role, Role::Client(client) if client.ticket.is_none() && !client.is_arriving)
        });
        let idle: Vec<ConnectionId> = idle.map(|(line, _)| *line).collect();
        for line in idle {
            let has_more = self
                .event_loop
                .read_buffer(line)
                .is_some_and(|inbox| !inbox.is_empty());
            if !has_more {
                self.event_loop.close_after_flush(line);
                self.roles.remove(&line);
            }
        }
    }

    pub fn has_clients(&self) -> bool {
        let mut roles = self.roles.values();
        roles.any(|role| matches!(role, Role::Client(_)))
    }
}
