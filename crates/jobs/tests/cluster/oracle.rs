use std::collections::BTreeMap;

/// Outcome of a client's request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientOutcome {
    Answer(Vec<u8>),
    /// 503: this request has not run and never will.
    NotRun,
    /// 409, 502 or 504: the job may have run.
    MayHaveRun,
    /// 422: the idempotency key was used with another request.
    KeyReused,
    /// The gateway crashed or the client disconnected.
    NoResponse,
}

/// One client request for a job.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub job: usize,
    pub outcome: Option<(u64, ClientOutcome)>,
    /// Number of times that the request ran.
    pub run_count: u32,
}

/// Records all runs and the outcomes of all requests, and checks them against each other.
#[derive(Default)]
pub struct Oracle {
    pub runs: BTreeMap<usize, Vec<Vec<u8>>>,
    pub client_requests: Vec<ClientRequest>,
    /// Minimum time between two runs of an at-most-once job, in microseconds; 0 if a job must not run twice at all.
    pub min_rerun_interval: u64,
    ran_at: BTreeMap<usize, u64>,
    /// Delays in microseconds that the claim added to runs of at-most-once jobs.
    pub claim_delays: Vec<u64>,
}

/// Whether a job may run at most once: those with even numbers may.
pub fn at_most_once(job: usize) -> bool {
    job.is_multiple_of(2)
}

impl Oracle {
    pub fn add_request(&mut self, job: usize) -> usize {
        self.client_requests.push(ClientRequest {
            job,
            outcome: None,
            run_count: 0,
        });
        self.client_requests.len() - 1
    }

    pub fn record_outcome(&mut self, client_request: usize, at: u64, outcome: ClientOutcome) {
        let client_request = &mut self.client_requests[client_request];
        assert!(
            client_request.outcome.is_none(),
            "{client_request:?} got two outcomes"
        );
        if let ClientOutcome::Answer(answer) = &outcome {
            let runs = self
                .runs
                .get(&client_request.job)
                .map_or(&[][..], |runs| runs);
            assert!(
                runs.contains(answer),
                "{client_request:?}: the answer is not from any run"
            );
        }
        client_request.outcome = Some((at, outcome));
    }

    /// Records a run of a request's job, and returns its response.
    pub fn record_run(&mut self, client_request: usize, at: u64) -> Vec<u8> {
        let request = &mut self.client_requests[client_request];
        request.run_count += 1;
        let job = request.job;
        let is_rejected = matches!(request.outcome, Some((_, ClientOutcome::NotRun)));
        assert!(
            !is_rejected,
            "job {job} runs for a request that was reported as not run"
        );
        let runs = self.runs.entry(job).or_default();
        let answer = format!("job {job}, run {}", runs.len()).into_bytes();
        runs.push(answer.clone());
        let count = runs.len();
        let previous = self.ran_at.insert(job, at);
        let is_far_enough_apart =
            previous.is_none_or(|previous| at >= previous + self.min_rerun_interval);
        assert!(
            !at_most_once(job)
                || count == 1
                || (self.min_rerun_interval > 0 && is_far_enough_apart),
            "job {job} runs {count} times: {:#?}",
            self.client_requests
                .iter()
                .filter(|request| request.job == job)
                .collect::<Vec<_>>()
        );
        answer
    }

    /// Returns the outcomes of all requests for a job.
    pub fn outcomes(&self, job: usize) -> Vec<ClientOutcome> {
        let requests = self
            .client_requests
            .iter()
            .filter(|request| request.job == job);
        requests
            .filter_map(|request| request.outcome.as_ref().map(|(_, outcome)| outcome.clone()))
            .collect()
    }
}
