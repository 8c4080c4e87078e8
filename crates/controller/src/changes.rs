use crate::controller::Controller;
use crate::kept::{digest, Closures, Kept, CLOSURES, DESCRIPTION};
use crate::options::OperatorCall;
use binding::Fault;
use courier::LineId;
use register::{Outcome, Stored};
use speedy::{Readable, Writable};
use std::collections::HashMap;

/// Most changes that are worked on at once.
const CHANGES_MAX: usize = 32;
/// Times that a change begins anew because another one was faster.
const ROUNDS_MAX: u32 = 8;

/// Milliseconds after which an order gets its answer, so that an operator who waits for a second hears it.
const ANSWER_MS: u64 = 800;
/// Bytes of an order for which an operator waits a millisecond longer.
const BYTES_EACH_MS: u64 = 250;

/// One operator's call that is being worked on.
struct Change {
    line: LineId,
    keeps_alive: bool,
    call: OperatorCall,
    base: Option<u64>,
    body: Vec<u8>,
    rounds: u32,
    ends_at: u64,
    has_written: bool,
}

/// Operators' calls that wait for the council.
#[derive(Default)]
pub(crate) struct Changes {
    pending: HashMap<u64, Change>,
    last: u64,
}

/// What a change comes to, given what is in force.
enum Verdict {
    Reply(u16, String),
    Write(Vec<u8>),
}

fn reply(status: u16, text: &str) -> Verdict {
    Verdict::Reply(status, text.into())
}

impl Controller {
    pub fn begin_change(
        &mut self,
        line: LineId,
        call: OperatorCall,
        base: Option<u64>,
        body: Vec<u8>,
        keeps_alive: bool,
    ) {
        if self.changes.pending.len() >= CHANGES_MAX {
            self.reply(line, 503, b"too many changes at once", keeps_alive);
            return;
        }
        self.changes.last += 1;
        let token = self.changes.last;
        let key = match call {
            OperatorCall::Close(_) | OperatorCall::Open(_) => CLOSURES,
            _ => DESCRIPTION,
        };
        let answer_ms = ANSWER_MS + body.len() as u64 / BYTES_EACH_MS;
        let answer_ms = answer_ms.min(self.options.change_ms.max(ANSWER_MS));
        let change = Change {
            line,
            keeps_alive,
            call,
            base,
            body,
            rounds: 0,
            ends_at: self.now + answer_ms,
            has_written: false,
        };
        self.changes.pending.insert(token, change);
        // What is in force is read at a majority first, so that a core which missed it refuses nothing wrongly.
        self.council.read(self.now, token, key);
    }

    /// Changes whose time is over, or that lost contact with a majority on the way, get no clear answer.
    pub fn tend_changes(&mut self) {
        let late = self.changes.pending.iter();
        let has_contact = self.council.is_in_contact(self.now);
        let late = late.filter(|(_, change)| !has_contact || change.ends_at <= self.now);
        let late: Vec<u64> = late.map(|(token, _)| *token).collect();
        for token in late {
            if let Some(change) = self.changes.pending.remove(&token) {
                let text =
                    b"it is not known whether it was taken: no majority of cores answered in time";
                self.reply(change.line, 503, text, change.keeps_alive);
            }
        }
    }

    /// The council is done with a read or a write.
    pub fn change_done(&mut self, token: u64, outcome: Outcome) {
        let Some(mut change) = self.changes.pending.remove(&token) else {
            return;
        };
        let has_written = std::mem::take(&mut change.has_written);
        let stored = match outcome {
            Outcome::Settled(_) if has_written => {
                self.take_settled_change(&change);
                return;
            }
            Outcome::Settled(stored) | Outcome::Stale(stored) => stored,
            other => {
                log::info!("controller: a change got no clear answer: {other:?}");
                let text = b"it is not known whether it was taken; send it again";
                self.reply(change.line, 503, text, change.keeps_alive);
                return;
            }
        };
        change.rounds += 1;
        if change.rounds > ROUNDS_MAX {
            let text = b"other changes kept winning; send it again";
            self.reply(change.line, 503, text, change.keeps_alive);
            return;
        }
        match self.judge(&change, &stored) {
            Verdict::Reply(status, text) => {
                if status >= 400 {
                    log::info!(
                        "controller: {:?} refused with {status}: {text}",
                        change.call
                    );
                }
                self.reply(change.line, status, text.as_bytes(), change.keeps_alive);
            }
            Verdict::Write(bytes) => {
                let key = match change.call {
                    OperatorCall::Close(_) | OperatorCall::Open(_) => CLOSURES,
                    _ => DESCRIPTION,
                };
                change.has_written = true;
                self.changes.pending.insert(token, change);
                self.council
                    .write(self.now, token, key, stored.version, bytes);
            }
        }
    }

    fn take_settled_change(&mut self, change: &Change) {
        log::info!("controller: {:?} taken", change.call);
        self.reply(change.line, 200, b"{}", change.keeps_alive);
    }

    fn judge(&self, change: &Change, stored: &Stored) -> Verdict {
        match &change.call {
            OperatorCall::Read => {
                let kept = Kept::read_from_buffer(&stored.bytes).unwrap_or_default();
                if kept.version == 0 {
                    return reply(404, "there is no configuration yet");
                }
                let text = String::from_utf8(kept.document());
                Verdict::Reply(200, text.unwrap_or_default())
            }
            OperatorCall::Close(district) => self.judge_closure(stored, district, true),
            OperatorCall::Open(district) => self.judge_closure(stored, district, false),
            OperatorCall::Replace => {
                self.judge_description(change, stored, |_, body| Ok(body.to_vec()))
            }
            OperatorCall::Change => self.judge_description(change, stored, |document, body| {
                self.options.translator.documents().change(document, body)
            }),
        }
    }

    fn judge_closure(&self, stored: &Stored, district: &str, closes: bool) -> Verdict {
        let mut closures = Closures::read_from_buffer(&stored.bytes).unwrap_or_default();
        let is_closed = closures.districts.iter().any(|known| known == district);
        if is_closed == closes {
            return reply(200, "{}");
        }
        if closes {
            closures.districts.push(district.into());
        } else {
            closures.districts.retain(|known| known != district);
        }
        Verdict::Write(closures.write_to_vec().unwrap_or_default())
    }

    fn judge_description(
        &self,
        change: &Change,
        stored: &Stored,
        whole: impl Fn(&[u8], &[u8]) -> Result<Vec<u8>, Fault>,
    ) -> Verdict {
        let kept = Kept::read_from_buffer(&stored.bytes).unwrap_or_default();
        let translator = &self.options.translator;
        let Some(version) = translator.version_of(&change.body) else {
            return reply(400, "the version cannot be read");
        };
        if kept.has_taken(version, digest(&change.body)) {
            return reply(200, "{}");
        }
        let Some(base) = change.base else {
            return reply(400, "it is not told on which version this builds");
        };
        if base != kept.version {
            let text = format!("version {} is in place", kept.version);
            return Verdict::Reply(412, text);
        }
        if version <= kept.version {
            let text = format!("version {version} is not above {}", kept.version);
            return Verdict::Reply(400, text);
        }
        let document = match whole(&kept.document(), &change.body) {
            Ok(document) => document,
            Err(fault) => return Verdict::Reply(400, fault.to_string()),
        };
        match translator.documents().read(&document) {
            Err(fault) => Verdict::Reply(400, fault.to_string()),
            Ok(_) => {
                let is_change = change.call == OperatorCall::Change;
                let next = kept.next(version, &document, &change.body, is_change);
                Verdict::Write(next.write_to_vec().unwrap_or_default())
            }
        }
    }
}
