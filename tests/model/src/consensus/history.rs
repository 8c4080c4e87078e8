use register::{ChangeOutcome, VersionedValue};
use std::collections::BTreeMap;

/// A read or write in progress.
#[derive(Clone, Debug)]
struct ClientRequest {
    key: String,
    /// Expected version and new bytes of a write; `None` for a read.
    write: Option<(u64, Vec<u8>)>,
    /// Newest version acknowledged to any client when the request began; a read must not return an older one.
    min_version: u64,
}

/// Responses that clients received, and the guarantees for later responses that follow from them.
#[derive(Clone, Debug, Default)]
pub struct History {
    requests: BTreeMap<u64, ClientRequest>,
    committed: BTreeMap<(String, u64), Vec<u8>>,
    acknowledged: BTreeMap<String, u64>,
    terms: BTreeMap<u64, (usize, u64)>,
    last_token: u64,
}

impl History {
    /// Records the start of a request and returns its token.
    pub fn begin(&mut self, key: &str, write: Option<(u64, Vec<u8>)>) -> u64 {
        self.last_token += 1;
        let request = ClientRequest {
            key: key.to_string(),
            write,
            min_version: self.acknowledged(key),
        };
        self.requests.insert(self.last_token, request);
        self.last_token
    }

    /// Returns the newest version of a key that was acknowledged to a client, 0 if there is none.
    pub fn acknowledged(&self, key: &str) -> u64 {
        self.acknowledged.get(key).copied().unwrap_or(0)
    }

    /// Returns the value that is known to be committed at a version.
    pub fn committed(&self, key: &str, version: u64) -> Option<&Vec<u8>> {
        self.committed.get(&(key.to_string(), version))
    }

    /// Records a committed value; fails if another value is committed at the same version.
    pub fn record_committed(
        &mut self,
        key: &str,
        version: u64,
        bytes: &[u8],
    ) -> Result<(), String> {
        if version == 0 {
            return Ok(());
        }
        let known = self.committed.entry((key.to_string(), version));
        let known = known.or_insert_with(|| bytes.to_vec());
        if known == bytes {
            return Ok(());
        }
        Err(format!(
            "two values are committed at version {version} of {key}"
        ))
    }

    /// Records the outcome of a request and checks it against earlier responses.
    pub fn end(&mut self, token: u64, outcome: &ChangeOutcome) -> Result<(), String> {
        let Some(request) = self.requests.remove(&token) else {
            return Err(format!("request {token} ended twice"));
        };
        let (ChangeOutcome::Committed(stored) | ChangeOutcome::Conflict(stored)) = outcome else {
            return Ok(());
        };
        self.record_committed(&request.key, stored.version, &stored.bytes)?;
        match outcome {
            ChangeOutcome::Committed(_) => self.acknowledge(&request, stored),
            _ => Ok(()),
        }
    }

    fn acknowledge(
        &mut self,
        request: &ClientRequest,
        stored: &VersionedValue,
    ) -> Result<(), String> {
        match &request.write {
            Some((expected, bytes)) if stored.version != expected + 1 || stored.bytes != *bytes => {
                return Err(format!(
                    "the write of {} was acknowledged with a value of another write",
                    request.key
                ));
            }
            None if stored.version < request.min_version => {
                return Err(format!(
                    "{} was acknowledged at version {}, and a later read returned version {}",
                    request.key, request.min_version, stored.version
                ));
            }
            _ => {}
        }
        let newest = self.acknowledged.entry(request.key.clone()).or_default();
        *newest = (*newest).max(stored.version);
        Ok(())
    }

    /// Returns the number of terms that were won.
    pub fn terms_won(&self) -> usize {
        self.terms.len()
    }

    /// Records that a controller won a term; fails if another one won the same term or a higher one was won before.
    pub fn record_term(&mut self, term: u64, index: usize, incarnation: u64) -> Result<(), String> {
        let winner = *self.terms.entry(term).or_insert((index, incarnation));
        if winner != (index, incarnation) {
            return Err(format!("two controllers won term {term}"));
        }
        if self.terms.keys().next_back() != Some(&term) {
            return Err(format!("term {term} was won after a higher one"));
        }
        Ok(())
    }
}
