use crate::config::Config;
use configuration::{Blueprint, District, Kind, Listing};

pub(crate) fn district(place: usize) -> String {
    ["a", "b", "c"][place % 3].to_string()
}

/// The blueprint that a simulated fleet starts with.
pub(crate) fn first_blueprint(config: &Config) -> Blueprint {
    let listings = (0..config.functions).map(|number| Listing {
        name: format!("f{number}"),
        memory_mb: 300,
        start_ms: 700,
        concurrency: 2 + number as u32 % 3,
        budget_ms: 2_000,
        kinds: vec!["urgent".into(), "plain".into()],
    });
    let kinds = [("urgent", true), ("plain", false)];
    let districts = (0..3).map(|place| District {
        name: district(place),
        state: Default::default(),
    });
    let mut blueprint = Blueprint::empty();
    blueprint.listings = listings.collect();
    blueprint.ranking = kinds
        .iter()
        .map(|(name, once)| Kind {
            name: name.to_string(),
            once: *once,
        })
        .collect();
    blueprint.districts = districts.collect();
    blueprint.bounds.worker_memory_mb = 2_000;
    blueprint.bounds.claim_ms = config.claim_ms;
    blueprint
}
