use crate::links::Links;
use crate::message::PeerMessage;
use crossbeam::channel::Sender;
use register::{NumberedResponse, VoterPort, VoterRef, VoterRequest};
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
    fn send(
        &self,
        voter: &VoterRef,
        request: VoterRequest,
        number: u64,
        index: usize,
        responses: Sender<NumberedResponse>,
    ) {
        let on_answer = Box::new(move |answer| {
            if let PeerMessage::VoterResponse(response) = answer {
                let _ = responses.send(NumberedResponse {
                    number,
                    voter: index,
                    response,
                });
            }
        });
        self.links
            .ask(&voter.address, PeerMessage::Voter(request), on_answer);
    }
}
