use crate::gateway::{Due, Gateway, Role};
use crate::runners::{runner_role, IDLE_MS, INBOX_MAX};
use event_loop::ConnectionId;

impl Gateway {
    /// Opens a line to a runner that is starting, to see whether it is up.
    pub fn probe(&mut self, function: String, runner: String, address: &str) {
        let line = address.parse().ok();
        let line = line.and_then(|address| {
            let line = self.event_loop.connect(address, INBOX_MAX);
            line.ok()
        });
        let Some(line) = line else {
            self.keeper
                .record_probe(self.now, &function, &runner, false);
            return;
        };
        let wait = self.options.connect_ms();
        self.timers.schedule(self.now + wait, Due::Connect(line));
        self.roles.insert(line, Role::Probe { function, runner });
    }

    /// The line of a probe that was taken is kept for requests.
    pub fn pool_probe(&mut self, line: ConnectionId, runner: &str) {
        let mut role = runner_role(runner);
        if let Role::Runner(runner) = &mut role {
            runner.expires_at = self.now + IDLE_MS;
        }
        self.roles.insert(line, role);
        if !self.pool.put(runner, line, 2) {
            self.roles.remove(&line);
            self.event_loop.close(line);
        }
    }
}
