use crate::links::Links;
use crate::message::Message;
use crossbeam::channel::Sender;
use register::{VoterPort, VoterRef, VoterRequest, VoterResponse};
use std::sync::Arc;

/// Reaches voters over the links.
pub struct WireVoters {
    links: Arc<Links>,
}

impl WireVoters {
    /// Voters that are reached over these links.
    pub fn new(links: Arc<Links>) -> Self {
        Self { links }
    }
}

impl VoterPort for WireVoters {
    fn ask(
        &self,
        voter: &VoterRef,
        message: VoterRequest,
        number: u64,
        place: usize,
        replies: Sender<(u64, usize, VoterResponse)>,
    ) {
        let on_answer = Box::new(move |answer| {
            if let Message::VoterAnswer(reply) = answer {
                let _ = replies.send((number, place, reply));
            }
        });
        self.links
            .ask(&voter.address, Message::Voter(message), on_answer);
    }
}
