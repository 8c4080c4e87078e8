use std::collections::BTreeMap;

/// What a client was told.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Told {
    Answer(Vec<u8>),
    /// 503: this request was not run and never will be.
    NotRun,
    /// 409, 502 or 504: the job may have run.
    MayHaveRun,
    /// 422: the key belongs to another request.
    Other,
    /// Its gateway died, or the client left.
    Silence,
}

/// One request of a job.
#[derive(Clone, Debug)]
pub struct Asked {
    pub job: usize,
    pub told: Option<(u64, Told)>,
    /// Times that it left for a runner after it had been told.
    pub ran: u32,
}

/// Knows all runs and all that clients were told.
#[derive(Default)]
pub struct Oracle {
    pub runs: BTreeMap<usize, Vec<Vec<u8>>>,
    pub asked: Vec<Asked>,
    /// Microseconds that must lie between two runs of one job; 0 where there must be one.
    pub apart: u64,
    ran_at: BTreeMap<usize, u64>,
    /// Microseconds that the claim added to runs of once-work.
    pub waits: Vec<u64>,
}

/// Jobs with even numbers may run once at most.
pub fn is_once(job: usize) -> bool {
    job.is_multiple_of(2)
}

impl Oracle {
    pub fn ask(&mut self, job: usize) -> usize {
        self.asked.push(Asked {
            job,
            told: None,
            ran: 0,
        });
        self.asked.len() - 1
    }

    pub fn tell(&mut self, asked: usize, at: u64, told: Told) {
        let asked = &mut self.asked[asked];
        assert!(asked.told.is_none(), "{asked:?} was told twice");
        if let Told::Answer(answer) = &told {
            let runs = self.runs.get(&asked.job).map_or(&[][..], |runs| runs);
            assert!(runs.contains(answer), "{asked:?}: an answer of no run");
        }
        asked.told = Some((at, told));
    }

    /// A request runs; gives its answer.
    pub fn run(&mut self, asked: usize, at: u64) -> Vec<u8> {
        let request = &mut self.asked[asked];
        request.ran += 1;
        let job = request.job;
        let is_refused = matches!(request.told, Some((_, Told::NotRun)));
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
            !is_once(job) || count == 1 || (self.apart > 0 && is_apart),
            "job {job} runs {count} times: {:#?}",
            self.asked
                .iter()
                .filter(|one| one.job == job)
                .collect::<Vec<_>>()
        );
        answer
    }

    /// All that the clients of one job were told.
    pub fn told(&self, job: usize) -> Vec<Told> {
        let asked = self.asked.iter().filter(|one| one.job == job);
        asked
            .filter_map(|one| one.told.as_ref().map(|(_, told)| told.clone()))
            .collect()
    }
}
