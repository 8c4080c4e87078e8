use crate::gateway::Role;
use event_loop::{ConnectionId, EventLoop};
use std::collections::HashMap;

/// Most idle lines that are kept.
const IDLE_MAX: usize = 1_024;

/// Idle connections by runner.
#[derive(Default)]
pub(crate) struct Pool {
    idle: HashMap<String, Vec<ConnectionId>>,
    count: usize,
}

impl Pool {
    pub fn take(&mut self, runner: &str) -> Option<ConnectionId> {
        let lines = self.idle.get_mut(runner)?;
        let line = lines.pop();
        if lines.is_empty() {
            self.idle.remove(runner);
        }
        self.count -= usize::from(line.is_some());
        line
    }

    pub fn put(&mut self, runner: &str, line: ConnectionId, most: usize) -> bool {
        let lines = self.idle.entry(runner.into()).or_default();
        if lines.len() >= most || self.count >= IDLE_MAX {
            return false;
        }
        lines.push(line);
        self.count += 1;
        true
    }

    pub fn forget(&mut self, runner: &str, line: ConnectionId) {
        let Some(lines) = self.idle.get_mut(runner) else {
            return;
        };
        let before = lines.len();
        lines.retain(|one| *one != line);
        self.count -= before - lines.len();
        if lines.is_empty() {
            self.idle.remove(runner);
        }
    }

    /// Closes what was idle for too long.
    pub fn expire(
        &mut self,
        event_loop: &mut EventLoop,
        roles: &mut HashMap<ConnectionId, Role>,
        now: u64,
    ) {
        let mut count = self.count;
        self.idle.retain(|_, lines| {
            lines.retain(|line| {
                let is_fresh = matches!(roles.get(line),
                    Some(Role::Runner(runner)) if runner.expires_at > now);
                if !is_fresh {
                    roles.remove(line);
                    event_loop.close(*line);
                    count -= 1;
                }
                is_fresh
            });
            !lines.is_empty()
        });
        self.count = count;
    }
}
