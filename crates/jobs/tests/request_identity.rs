//! Requests that differ in one part that decides what runs, or who may read the answer, are no copies of one job.

use fuzzing::seeded;
use jobs::RequestIdentity;

/// Owned parts of a request, in the order of [`RequestIdentity`].
type Parts = (Option<String>, [String; 5], Vec<u8>);

fn digest((tenant, [host, route, function, method, target], body): &Parts) -> [u8; 16] {
    let request = RequestIdentity {
        tenant: tenant.as_deref(),
        host,
        route,
        function,
        method,
        target,
        body,
    };
    request.digest()
}

/// The parts with one of them changed.
fn changed(parts: &Parts, number: usize) -> Parts {
    let mut changed = parts.clone();
    match number {
        0 => {
            changed.0 = changed
                .0
                .map_or(Some(String::new()), |name| Some(name + "x"))
        }
        1..=5 => changed.1[number - 1].push('x'),
        _ => changed.2.push(b'x'),
    }
    changed
}

/// The parts with the last character of one text moved to the start of the next one.
fn shifted(parts: &Parts, number: usize) -> Option<Parts> {
    let mut shifted = parts.clone();
    let moved = shifted.1[number].pop()?;
    shifted.1[number + 1].insert(0, moved);
    Some(shifted)
}

seeded! {
    // Guards against a part that is left out of a job's identity: its copies would get another request's answer.
    fn a_change_of_any_one_part_changes_the_digest(tenant: Option<String>, texts: Vec<String>, body: Vec<u8>) -> bool {
        let mut texts = texts.into_iter().chain(std::iter::repeat(String::new()));
        let texts = [(); 5].map(|()| texts.next().unwrap_or_default());
        let parts = (tenant, texts, body);
        let differs = |other: &Parts| digest(other) != digest(&parts);
        !differs(&parts.clone())
            && (0..=6).all(|number| differs(&changed(&parts, number)))
            && (0..4).all(|number| shifted(&parts, number).is_none_or(|other| differs(&other)))
    }
}
