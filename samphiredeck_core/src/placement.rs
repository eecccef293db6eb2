//! Placement of models on engines and choice of the instances to start.

use std::time::{Duration, Instant};

use crate::{
    backoff::Backoff,
    declaration::Model,
    ids::{DomainName, MachineClass, ModelName, UpstreamId},
    platform_api::PriceRow,
    upstream::{PurchaseOption, UpstreamKind, UpstreamRow},
};

/// Minimum time between two load orders, to stay within the rate limit of the weight store.
pub const LOAD_ORDER_INTERVAL: Duration = Duration::from_secs(2);
/// Initial backoff after a refused start.
const REFUSED_BACKOFF_INITIAL: Duration = Duration::from_secs(1);
/// Maximum backoff after repeated refusals.
const REFUSED_BACKOFF_MAX: Duration = Duration::from_secs(60);

/// Load of one model on one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadPlan {
    /// Engine that loads the model.
    pub upstream: UpstreamId,
    /// Model to load.
    pub model: ModelName,
}

/// Plans the next load: the model that is furthest below its minimum of runners, in the failure
/// domain with the fewest runners of the model, on the engine with the fewest models.
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

/// Returns how many instances to run so that `needed` remain when any one of `domains` failure
/// domains is lost.
#[must_use]
pub fn with_spare_domain(needed: usize, domains: usize) -> usize {
    if domains < 2 { needed } else { (needed * domains).div_ceil(domains - 1) }
}

/// Failure domain and kind of an instance to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartSpec {
    /// Failure domain.
    pub domain: DomainName,
    /// Machine class.
    pub class: MachineClass,
    /// Whether the instance is reclaimable or on-demand.
    pub purchase_option: PurchaseOption,
}

/// Backoff state of one refused combination.
#[derive(Clone, Debug)]
struct RefusedStart {
    spec: StartSpec,
    backoff: Backoff,
    retry_at: Instant,
}

/// Chooses which instances to start, avoiding combinations that were refused recently.
#[derive(Debug, Default)]
pub struct StartPlanner {
    rows: Vec<RefusedStart>,
}

impl StartPlanner {
    /// Records that a start was refused at `now`. `jitter` is uniform in 0 to 1.
    pub fn record_refusal(&mut self, spec: &StartSpec, jitter: f64, now: Instant) {
        let at = self.rows.iter().position(|row| row.spec == *spec).unwrap_or_else(|| {
            self.rows.push(RefusedStart {
                spec: spec.clone(),
                backoff: Backoff::new(REFUSED_BACKOFF_INITIAL, REFUSED_BACKOFF_MAX),
                retry_at: now,
            });
            self.rows.len() - 1
        });
        let row = &mut self.rows[at];
        row.retry_at = now + row.backoff.next_delay(jitter);
    }

    /// Records that a start was granted, which clears the backoff of `spec`.
    pub fn record_started(&mut self, spec: &StartSpec) {
        self.rows.retain(|row| row.spec != *spec);
    }

    fn is_backing_off(&self, spec: &StartSpec, now: Instant) -> bool {
        self.rows.iter().any(|row| row.spec == *spec && now < row.retry_at)
    }

    /// Chooses the next instance to start: reclaimable before on-demand, then the domain with the
    /// fewest instances, then the lowest price. `present` holds the number of instances by domain.
    #[must_use]
    pub fn choose(
        &self,
        prices: &[PriceRow],
        present: &[(DomainName, usize)],
        now: Instant,
    ) -> Option<StartSpec> {
        let count = |domain: &DomainName| {
            present.iter().find(|(name, _)| name == domain).map_or(0, |(_, count)| *count)
        };
        let open = prices.iter().filter_map(|row| {
            let spec = StartSpec {
                domain: row.domain.clone(),
                class: row.class.clone(),
                purchase_option: row.purchase_option,
            };
            (!self.is_backing_off(&spec, now)).then_some((row, spec))
        });
        open.min_by_key(|(row, _)| (row.purchase_option, count(&row.domain), row.price))
            .map(|(_, spec)| spec)
    }
}
