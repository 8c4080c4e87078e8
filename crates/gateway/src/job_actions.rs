//! Runs the actions of the job coordinator: lease requests, messages to gateways and requests to controllers.

use crate::gateway::Gateway;
use jobs::JobAction;
use protocol::Message;

impl Gateway {
    /// Runs the pending actions of the job coordinator. Returns whether there were any.
    pub fn run_job_actions(&mut self) -> bool {
        let actions = self.jobs.take_actions();
        let has_any = !actions.is_empty();
        for action in actions {
            self.run_job_action(action);
        }
        has_any
    }

    fn run_job_action(&mut self, action: JobAction) {
        match action {
            JobAction::RequestLease {
                gateway,
                zone,
                request,
            } => {
                // The link to the requesting gateway may have ended meanwhile, which cancels all its requests.
                if gateway == self.options.name || self.peers.contains(&gateway) {
                    self.place_lease_request(&gateway, &zone, request);
                }
            }
            JobAction::CancelLeaseRequest {
                gateway,
                request_id,
            } => {
                self.cancel_placed_request(&gateway, request_id);
            }
            JobAction::NotifyClaimed { .. } | JobAction::NotifyJoined { .. } => {
                self.notify_of_claim(action);
            }
            JobAction::NotifyVerdict { .. } | JobAction::NotifyPersisted { .. } => {
                self.notify_of_result(action);
            }
            JobAction::AccessRegister { .. } => self.access_register(action),
        }
    }

    /// Notifies a gateway that its request may run, or that another copy of it may be running.
    fn notify_of_claim(&mut self, action: JobAction) {
        let (gateway, message) = match action {
            JobAction::NotifyClaimed {
                gateway,
                request_id,
                attempt,
                register_version,
            } => {
                let message = Message::JobClaimed {
                    request_id,
                    attempt,
                    register_version,
                };
                (gateway, message)
            }
            JobAction::NotifyJoined {
                gateway,
                request_id,
                attempt,
            } => {
                let message = Message::JobJoined {
                    request_id,
                    attempt,
                };
                (gateway, message)
            }
            _ => return,
        };
        self.send_job_message(&gateway, message);
    }

    /// Notifies a gateway of the outcome of its request's job, or that its result is persisted.
    fn notify_of_result(&mut self, action: JobAction) {
        let (gateway, message) = match action {
            JobAction::NotifyVerdict {
                gateway,
                request_id,
                attempt,
                verdict,
            } => {
                let message = Message::JobVerdict {
                    request_id,
                    attempt,
                    verdict,
                };
                (gateway, message)
            }
            JobAction::NotifyPersisted {
                gateway,
                request_id,
            } => (gateway, Message::JobPersisted(request_id)),
            _ => return,
        };
        self.send_job_message(&gateway, message);
    }

    /// Requests a controller to read or write a job's register. Each retry goes to a different controller.
    fn access_register(&mut self, action: JobAction) {
        let JobAction::AccessRegister {
            number,
            key,
            expected_version,
            value,
            retries,
        } = action
        else {
            return;
        };
        let zone = &self.options.zone;
        let Some(controller) = self.controllers.for_job_register(zone, retries) else {
            return;
        };
        let message = Message::JobRegisterRequest {
            number,
            key,
            expected_version,
            value,
        };
        self.send_to_controller(&controller, &message);
    }
}
