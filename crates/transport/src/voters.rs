use crate::links::Links;
use crate::message::PeerMessage;
use crossbeam::channel::Sender;
use register::{NumberedResponse, VoterPort, VoterRef, VoterRequest};
use std::sync::Arc;

/// Sends requests to voters over the links.
pub struct WireVoters {
    links: Arc<Links>,
}

impl WireVoters {
    /// Creates a port to the voters that uses these links.
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
        let on_response = Box::new(move |message| {
            if let PeerMessage::VoterResponse(response) = message {
                let _ = responses.send(NumberedResponse {
                    number,
                    voter: index,
                    response,
                });
            }
        });
        self.links
            .ask(&voter.address, PeerMessage::Voter(request), on_response);
    }
}
