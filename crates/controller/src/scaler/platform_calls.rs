//! The scaler's requests to the platform, and the handling of their outcomes.

use super::{Scaler, ScalerContext};
use crate::codec::PlatformRequest;
use crate::platform_client::RequestPurpose;
use crate::platform_lists::PageProgress;
use autoscaler::StartError;
use http1::Response;

const OK: u16 = 200;
/// Reason logged for a list that was rejected by the platform or not received.
const LIST_FAILURE_REASON: &str = "rejected or unanswered";

impl Scaler {
    pub(super) fn poll_lists(&mut self, context: &mut ScalerContext<'_>) {
        let interval_ms = context.options.list_interval_ms();
        if self.lists.take_workers_due(context.now, interval_ms) {
            let request = context.options.platform_codec.list_workers();
            self.send(request, RequestPurpose::ListWorkers, context);
        }
        if self.lists.take_runners_due(context.now, interval_ms) {
            let request = context.options.platform_codec.list_runners(None);
            self.send(request, RequestPurpose::ListRunners, context);
        }
    }

    pub(super) fn send(
        &mut self,
        request: PlatformRequest,
        purpose: RequestPurpose,
        context: &mut ScalerContext<'_>,
    ) {
        match self.platform.enqueue(request, purpose) {
            Ok(()) => self.send_queued(context),
            Err(purpose) => self.handle_failure(purpose, context.now),
        }
    }

    pub(super) fn send_queued(&mut self, context: &mut ScalerContext<'_>) {
        let endpoint = context.endpoint();
        let failed = self
            .platform
            .send_queued(context.now, endpoint, context.connections);
        self.handle_failures(failed, context.now);
    }

    pub(super) fn handle_response(
        &mut self,
        purpose: RequestPurpose,
        response: &Response,
        context: &mut ScalerContext<'_>,
    ) {
        let codec = &context.options.platform_codec;
        let Some(autoscaler) = self.autoscaler.as_mut() else {
            return;
        };
        match purpose {
            RequestPurpose::ListWorkers if response.status == OK => {
                match codec.read_workers(&response.body) {
                    Ok(workers) => autoscaler.update_workers(context.now, workers),
                    Err(reason) => log::warn!("scaler: worker list failed reason={reason}"),
                }
            }
            RequestPurpose::ListRunners if response.status == OK => {
                self.handle_runner_page(&response.body, context);
            }
            RequestPurpose::Start(nonce) => {
                let result = codec.read_start(response.status, &response.body);
                if let Err(error) = &result {
                    log::info!("scaler: start rejected nonce={nonce} error={error:?}");
                }
                autoscaler.handle_start_result(context.now, &nonce, result);
            }
            RequestPurpose::Stop(id) => {
                let is_done = codec.is_stopped(response.status);
                autoscaler.handle_stop_result(context.now, &id, is_done);
            }
            purpose => self.handle_failure(purpose, context.now),
        }
    }

    fn handle_runner_page(&mut self, body: &[u8], context: &mut ScalerContext<'_>) {
        let codec = &context.options.platform_codec;
        let page = match codec.read_runners(body) {
            Ok(page) => page,
            Err(reason) => {
                log::warn!("scaler: runner list failed reason={reason}");
                self.lists.record_failure();
                return;
            }
        };
        match self.lists.add_page(context.now, page) {
            PageProgress::Next(page) => {
                let request = codec.list_runners(Some(&page));
                self.send(request, RequestPurpose::ListRunners, context);
            }
            PageProgress::Complete(runners) => {
                if let Some(autoscaler) = self.autoscaler.as_mut() {
                    autoscaler.update_runners(context.now, runners);
                }
            }
        }
    }

    pub(super) fn handle_failures(&mut self, purposes: Vec<RequestPurpose>, now: u64) {
        for purpose in purposes {
            self.handle_failure(purpose, now);
        }
    }

    /// Handles a request to the platform that got no response, or an unexpected one.
    pub(super) fn handle_failure(&mut self, purpose: RequestPurpose, now: u64) {
        let Some(autoscaler) = self.autoscaler.as_mut() else {
            return;
        };
        match purpose {
            RequestPurpose::ListWorkers => {
                log::warn!("scaler: worker list failed reason={LIST_FAILURE_REASON}")
            }
            RequestPurpose::ListRunners => {
                log::warn!("scaler: runner list failed reason={LIST_FAILURE_REASON}");
                self.lists.record_failure();
            }
            RequestPurpose::Start(nonce) => {
                autoscaler.handle_start_result(now, &nonce, Err(StartError::Unanswered));
            }
            RequestPurpose::Stop(id) => autoscaler.handle_stop_result(now, &id, false),
        }
    }
}
