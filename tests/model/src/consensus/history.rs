use register::{ChangeOutcome, VersionedValue};
use std::collections::BTreeMap;

/// A read or write under way, by its token.
#[derive(Clone, Debug)]
struct CallerRequest {
    key: String,
    /// Bytes and expected version of a write.
    write: Option<(u64, Vec<u8>)>,
    /// Newest acknowledged version when it began.
    floor: u64,
}

/// The responses that callers got, and what follows from it for all later answers.
#[derive(Clone, Debug, Default)]
pub struct History {
    requests: BTreeMap<u64, CallerRequest>,
    committed: BTreeMap<(String, u64), Vec<u8>>,
    acknowledged: BTreeMap<String, u64>,
    terms: BTreeMap<u64, (usize, u64)>,
    last_token: u64,
}

impl History {
    /// A request begins; the token that it is asked with.
    pub fn begin(&mut self, key: &str, write: Option<(u64, Vec<u8>)>) -> u64 {
        self.last_token += 1;
        let request = CallerRequest {
            key: key.to_string(),
            write,
            floor: self.acknowledged(key),
        };
        self.requests.insert(self.last_token, request);
        self.last_token
    }

    /// Newest version of a key that a caller knows to be committed.
    pub fn acknowledged(&self, key: &str) -> u64 {
        self.acknowledged.get(key).copied().unwrap_or(0)
    }

    /// The value that is committed at a version, where it is known.
    pub fn committed(&self, key: &str, version: u64) -> Option<&Vec<u8>> {
        self.committed.get(&(key.to_string(), version))
    }

    /// A value is said to be committed: no other may ever be at its version.
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

    /// A request has ended.
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
        request: &CallerRequest,
        stored: &VersionedValue,
    ) -> Result<(), String> {
        match &request.write {
            Some((expected, bytes)) if stored.version != expected + 1 || stored.bytes != *bytes => {
                return Err(format!(
                    "another's write of {} was acknowledged",
                    request.key
                ));
            }
            None if stored.version < request.floor => {
                return Err(format!(
                    "{} was acknowledged at version {} and read at {} later",
                    request.key, request.floor, stored.version
                ));
            }
            _ => {}
        }
        let newest = self.acknowledged.entry(request.key.clone()).or_default();
        *newest = (*newest).max(stored.version);
        Ok(())
    }

    /// Terms that were won.
    pub fn terms_won(&self) -> usize {
        self.terms.len()
    }

    /// A controller won a term: no two win the same, and terms only rise.
    pub fn record_term(&mut self, term: u64, place: usize, incarnation: u64) -> Result<(), String> {
        let winner = *self.terms.entry(term).or_insert((place, incarnation));
        if winner != (place, incarnation) {
            return Err(format!("two controllers won term {term}"));
        }
        if self.terms.keys().next_back() != Some(&term) {
            return Err(format!("term {term} was won after a higher one"));
        }
        Ok(())
    }
}
