use std::collections::BTreeMap;

/// How a client's request ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientOutcome {
    Answer(Vec<u8>),
    /// 503: this request was not run and never will be.
    NotRun,
    /// 409, 502 or 504: the job may have run.
    MayHaveRun,
    /// 422: the key belongs to another request.
    Other,
    /// Its gateway crashed, or the client left.
    NoResponse,
}

/// One request for a job.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub job: usize,
    pub outcome: Option<(u64, ClientOutcome)>,
    /// How often it ran.
    pub ran: u32,
}

/// Records all runs and the outcome of all requests.
#[derive(Default)]
pub struct Oracle {
    pub runs: BTreeMap<usize, Vec<Vec<u8>>>,
    pub client_requests: Vec<ClientRequest>,
    /// Microseconds that must lie between two runs of one job; 0 where there must be one.
    pub apart: u64,
    ran_at: BTreeMap<usize, u64>,
    /// Microseconds that the claim added to runs of at-most-once jobs.
    pub waits: Vec<u64>,
}

/// Jobs with even numbers may run once at most.
pub fn at_most_once(job: usize) -> bool {
    job.is_multiple_of(2)
}

impl Oracle {
    pub fn ask(&mut self, job: usize) -> usize {
        self.client_requests.push(ClientRequest {
            job,
            outcome: None,
            ran: 0,
        });
        self.client_requests.len() - 1
    }

    pub fn tell(&mut self, client_request: usize, at: u64, outcome: ClientOutcome) {
        let client_request = &mut self.client_requests[client_request];
        assert!(
            client_request.outcome.is_none(),
            "{client_request:?} was told twice"
        );
        if let ClientOutcome::Answer(answer) = &outcome {
            let runs = self
                .runs
                .get(&client_request.job)
                .map_or(&[][..], |runs| runs);
            assert!(
                runs.contains(answer),
                "{client_request:?}: an answer of no run"
            );
        }
        client_request.outcome = Some((at, outcome));
    }

    /// A request runs; gives its response.
    pub fn run(&mut self, client_request: usize, at: u64) -> Vec<u8> {
        let request = &mut self.client_requests[client_request];
        request.ran += 1;
        let job = request.job;
        let is_refused = matches!(request.outcome, Some((_, ClientOutcome::NotRun)));
        assert!(
            !is_refused,
            "job {job} runs after it was told that it had not"
        );
        let runs = self.runs.entry(job).or_default();
        let answer = format!("job {job}, run {}", runs.len()).into_bytes();
        runs.push(answer.clone());
        let count = runs.len();
        let former = self.ran_at.insert(job, at);
        let is_apart = former.is_none_or(|former| at >= former + self.apart);
        assert!(
            !at_most_once(job) || count == 1 || (self.apart > 0 && is_apart),
            "job {job} runs {count} times: {:#?}",
            self.client_requests
                .iter()
                .filter(|one| one.job == job)
                .collect::<Vec<_>>()
        );
        answer
    }

    /// Outcomes of the requests for one job.
    pub fn outcomes(&self, job: usize) -> Vec<ClientOutcome> {
        let client_request = self.client_requests.iter().filter(|one| one.job == job);
        client_request
            .filter_map(|one| one.outcome.as_ref().map(|(_, outcome)| outcome.clone()))
            .collect()
    }
}
