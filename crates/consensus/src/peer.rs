use crate::message::{Heartbeat, HeartbeatAck};

/// Another controller, as its newest heartbeat told it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peer {
    pub heard_at: Option<u64>,
    pub heartbeat: Heartbeat,
    /// The incarnation before the present one; its messages may still be on the way.
    pub former_incarnation: Option<u64>,
    /// When this controller last sent it a heartbeat.
    pub told_at: Option<u64>,
}

impl Peer {
    /// The newest heartbeat, as it is acknowledged.
    pub fn heard(&self) -> HeartbeatAck {
        HeartbeatAck {
            incarnation: self.heartbeat.incarnation,
            number: self.heartbeat.number,
        }
    }

    pub fn is_fresh(&self, now: u64, span: u64) -> bool {
        self.heard_at.is_some_and(|at| now <= at + span)
    }
}
