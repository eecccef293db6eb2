//! Which models go on which engines, and which instances to ask the platform for.

use std::time::{Duration, Instant};

use crate::{
    backoff::BackoffState,
    declaration::Model,
    ids::{DomainName, MachineClass, ModelName, UpstreamId},
    platform_api::PriceRow,
    upstream::{PurchaseOption, UpstreamKind, UpstreamRow},
};

/// Time between two orders of one load, so that the weight store's rate holds.
pub const LOAD_PACE: Duration = Duration::from_secs(2);
/// First pause after a refused start.
const REFUSED_FIRST: Duration = Duration::from_secs(1);
/// Longest pause after refused starts.
const REFUSED_LONGEST: Duration = Duration::from_secs(60);

/// Load of one model that is missing on one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadPlan {
    /// Engine to order.
    pub upstream: UpstreamId,
    /// Model to load.
    pub model: ModelName,
}

/// Plans the next load: the model that lacks most runners, on the engine that holds fewest
/// models, in the failure domain that holds the model least.
#[must_use]
pub fn plan_load(models: &[Model], engines: &[&UpstreamRow], now: Instant) -> Option<LoadPlan> {
    let usable: Vec<&&UpstreamRow> = engines
        .iter()
        .filter(|row| row.listing.kind == UpstreamKind::Engine && row.accepts_new_work(now))
        .collect();
    let holders = |model: &Model| usable.iter().filter(|row| row.has_model(&model.name)).count();
    let lacking = |model: &&Model| holders(model) < model.min_runners as usize;
    let model = models
        .iter()
        .filter(lacking)
        .max_by_key(|model| model.min_runners as usize - holders(model))?;
    let in_domain = |domain: &DomainName| {
        let here =
            |row: &&&&UpstreamRow| row.listing.domain == *domain && row.has_model(&model.name);
        usable.iter().filter(here).count()
    };
    let target = usable
        .iter()
        .filter(|row| !row.has_model(&model.name))
        .min_by_key(|row| (in_domain(&row.listing.domain), row.load.models.len()))?;
    Some(LoadPlan { upstream: target.listing.id.clone(), model: model.name.clone() })
}

/// Counts the instances needed so that `needed` are left when any one of `domains` goes.
#[must_use]
pub fn with_spare_domain(needed: usize, domains: usize) -> usize {
    if domains < 2 { needed } else { (needed * domains).div_ceil(domains - 1) }
}

/// Place and kind of an instance to ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartChoice {
    /// Failure domain.
    pub domain: DomainName,
    /// Machine class.
    pub class: MachineClass,
    /// How it is bought.
    pub market: PurchaseOption,
}

/// Refusals of one place and kind.
#[derive(Clone, Debug)]
struct RefusalRow {
    choice: StartChoice,
    backoff: BackoffState,
    until: Instant,
}

/// Chooses where to ask for instances, around recent refusals.
#[derive(Debug, Default)]
pub struct StartPlanner {
    rows: Vec<RefusalRow>,
}

impl StartPlanner {
    /// Notes that a start was refused at `now`. `noise` is uniform in 0 to 1.
    pub fn note_refused(&mut self, choice: &StartChoice, noise: f64, now: Instant) {
        let at = self.rows.iter().position(|row| row.choice == *choice).unwrap_or_else(|| {
            self.rows.push(RefusalRow {
                choice: choice.clone(),
                backoff: BackoffState::new(REFUSED_FIRST, REFUSED_LONGEST),
                until: now,
            });
            self.rows.len() - 1
        });
        let row = &mut self.rows[at];
        row.until = now + row.backoff.next_pause(noise);
    }

    /// Notes that a start was granted.
    pub fn note_started(&mut self, choice: &StartChoice) {
        self.rows.retain(|row| row.choice != *choice);
    }

    fn is_paused(&self, choice: &StartChoice, now: Instant) -> bool {
        self.rows.iter().any(|row| row.choice == *choice && now < row.until)
    }

    /// Chooses the next start: reclaimable before on-demand, the domain with the fewest
    /// instances first, then the lowest price. `present` counts instances by domain.
    #[must_use]
    pub fn choose(
        &self,
        prices: &[PriceRow],
        present: &[(DomainName, usize)],
        now: Instant,
    ) -> Option<StartChoice> {
        let count = |domain: &DomainName| {
            present.iter().find(|(name, _)| name == domain).map_or(0, |(_, count)| *count)
        };
        let open = prices.iter().filter_map(|row| {
            let choice = StartChoice {
                domain: row.domain.clone(),
                class: row.class.clone(),
                market: row.market,
            };
            (!self.is_paused(&choice, now)).then_some((row, choice))
        });
        open.min_by_key(|(row, _)| (row.market, count(&row.domain), row.price))
            .map(|(_, choice)| choice)
    }
}
