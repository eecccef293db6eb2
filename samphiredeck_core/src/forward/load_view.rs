//! Adds up the requests that all nodes have in flight at each upstream, and tells every node the sums.
//!
//! Answers pools of so many upstreams that a node hears of each one only every few seconds: its view is empty or old just
//! when the load moves. The upstreams are asked nothing: nodes know what they have sent.
//!
//! Each node tells one node of its failure domain, the collector, how many requests it has in flight at which upstream. A
//! collector adds up those of its nodes, exchanges the sums with the collectors of other domains, and returns the total.
//! All messages carry absolute numbers, so a lost one is made up for by the next. What is not told again is forgotten.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    boot_time::BootTime,
    forward::{
        admission::fair_share::{WorkspaceUse, add_uses},
        member_list::MemberIdentity,
        upstreams::{UpstreamRegistry, tracked::SharedLoad},
    },
    ids::{DomainName, NodeName, UpstreamId},
};

/// Time after which the counts of a node or collector that tells nothing are dropped.
const SOURCE_LIFETIME: Duration = Duration::from_millis(600);
/// Time without a view after which a node turns to another collector.
const VIEW_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a silent collector is not asked again.
const AVOIDED_TIME: Duration = Duration::from_secs(4);
/// Maximum number of counts in one message, so that it fits into a datagram.
pub const PAGE_COUNTS: usize = 110;
/// Maximum number of pages of one view. Larger pools are not exchanged: each node would get more bytes than the control
/// traffic may take.
pub const PAGES_MAX: usize = 4;

/// Share of the nodes whose counts a total must have.
const NODES_SHARE_MIN: f64 = 0.8;
/// Mean age of a node's own reports from which it needs those of others: a request at an upstream then usually began after
/// the last report.
const REPORT_AGE_NEEDED: Duration = Duration::from_secs(1);
/// Age that a report has at most in that mean, or an upstream without one.
const REPORT_AGE_MAX: Duration = Duration::from_secs(3);
/// Time for which a node goes on taking part after it needed to.
const NEEDED_LIFETIME: Duration = Duration::from_secs(5);
/// Minimum number of upstreams for an exchange.
const UPSTREAMS_MIN: usize = 8;
/// Maximum number of workspaces in sums.
pub const USES_MAX: usize = 40;

/// Short name of an upstream in counts. Two upstreams of one pool hardly ever have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UpstreamKey(u32);

impl UpstreamKey {
    /// Key of `upstream`.
    #[must_use]
    pub fn of(upstream: &UpstreamId) -> Self {
        let hash = xxh3_64(upstream.as_str().as_bytes());
        Self(u32::try_from(hash >> 32).unwrap_or(u32::MAX))
    }
}

/// Prompt tokens in a unit of [`RequestCount::pending`]. A few milliseconds of work.
const TOKEN_UNIT: u64 = 128;

/// Number of requests in flight at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCount {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Requests there. Above 0.
    pub count: u16,
    /// Prompt tokens to compute for those without a sign of a response, in units of [`TOKEN_UNIT`].
    pub pending: u16,
}

/// Counts of one sender, sorted by upstream, without duplicates.
pub type RequestCounts = Vec<RequestCount>;

/// Counts that a node or a collector told.
#[derive(Clone, Debug)]
struct CountSource {
    node: NodeName,
    /// Number of the page that these are, and of all pages.
    page: (u8, u8),
    sums: LoadSums,
    told_at: BootTime,
}

/// Sorted by node and page, without duplicates. All pages of a node state the same number of pages.
type CountSources = Vec<CountSource>;

fn store(sources: &mut CountSources, node: &NodeName, told: ViewPage, now: BootTime) {
    let ViewPage { page, pages, mut sums } = told;
    sums.counts.sort_by_key(|row| row.upstream);
    sums.counts.dedup_by_key(|row| row.upstream);
    sums.uses.sort_by_key(|row| row.workspace);
    sums.uses.dedup_by_key(|row| row.workspace);
    sources.retain(|source| {
        let is_outdated = source.node == *node && source.page.1 != pages;
        now.since(source.told_at) < SOURCE_LIFETIME && !is_outdated
    });
    if page > 0 {
        // Every page states the number of nodes.
        sums.nodes = 0;
    }
    let source = CountSource { node: node.clone(), page: (page, pages), sums, told_at: now };
    match sources.binary_search_by(|other| (&other.node, other.page.0).cmp(&(node, page))) {
        Ok(at) => sources[at] = source,
        Err(at) => sources.insert(at, source),
    }
}

/// Requests in flight, and what workspaces ask for, of one node or of several.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSums {
    /// Number of nodes that these are the sums of.
    pub nodes: u16,
    /// Counts above 0, sorted by upstream, without duplicates.
    pub counts: RequestCounts,
    /// Uses, sorted by workspace, without duplicates.
    pub uses: Vec<WorkspaceUse>,
}

impl LoadSums {
    fn add(&mut self, other: &Self) {
        self.nodes = self.nodes.saturating_add(other.nodes);
        for row in &other.counts {
            match self.counts.binary_search_by_key(&row.upstream, |other| other.upstream) {
                Ok(at) => {
                    let sum = &mut self.counts[at];
                    sum.count = sum.count.saturating_add(row.count);
                    sum.pending = sum.pending.saturating_add(row.pending);
                }
                Err(at) => self.counts.insert(at, *row),
            }
        }
        add_uses(&mut self.uses, &other.uses);
    }
}

/// Page of sums.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewPage {
    /// Number of this page, below `pages`.
    pub page: u8,
    /// Number of pages. An upstream belongs to the page of its key modulo this number.
    pub pages: u8,
    /// Sums of the upstreams of this page. The first page has all uses, as far as they fit.
    pub sums: LoadSums,
}

/// Divides `sums` into pages.
#[must_use]
pub fn paginate(sums: &LoadSums) -> Vec<ViewPage> {
    let counts = &sums.counts;
    let pages = counts.len().div_ceil(PAGE_COUNTS).max(1);
    if pages > PAGES_MAX {
        return Vec::new();
    }
    let Ok(pages) = u8::try_from(pages) else { return Vec::new() };
    let of_page = |page: u8| {
        let is_in = |row: &&RequestCount| row.upstream.0 % u32::from(pages) == u32::from(page);
        counts.iter().filter(is_in).copied().collect()
    };
    let uses_of = |page: u8| {
        let count = if page == 0 { USES_MAX.min(sums.uses.len()) } else { 0 };
        sums.uses[..count].to_vec()
    };
    (0..pages)
        .map(|page| {
            let sums = LoadSums { nodes: sums.nodes, counts: of_page(page), uses: uses_of(page) };
            ViewPage { page, pages, sums }
        })
        .collect()
}

/// What a node knows of the requests of all nodes, and what it adds up for others.
#[derive(Clone, Debug, Default)]
pub struct LoadExchange {
    /// Nodes that this one collects for.
    nodes: CountSources,
    /// Collectors of other domains.
    collectors: CountSources,
    /// What this node told its collector last.
    told: RequestCounts,
    /// Collector that it tells, and since when.
    collector: Option<(NodeName, BootTime)>,
    /// Time of the last view.
    viewed_at: Option<BootTime>,
    /// Last time at which this node needed to know more than its own responses tell.
    needed_at: Option<BootTime>,
    /// Collectors that did not reply, with the time until which they are not asked.
    avoided: Vec<(NodeName, BootTime)>,
}

impl LoadExchange {
    /// Whether this node takes part at `now`: it hears of upstreams too seldom itself, or collects for others.
    pub fn is_needed(&mut self, registry: &UpstreamRegistry, now: BootTime) -> bool {
        let accepting = registry.rows().iter().filter(|row| row.is_accepting(now));
        let ages = accepting.map(|row| row.own_report_age(now).unwrap_or(REPORT_AGE_MAX));
        let (count, sum) = ages.fold((0_u32, Duration::ZERO), |(count, sum), age| {
            (count + 1, sum + age.min(REPORT_AGE_MAX))
        });
        let is_large = usize::try_from(count).is_ok_and(|count| count >= UPSTREAMS_MIN);
        if is_large && sum / count.max(1) >= REPORT_AGE_NEEDED {
            self.needed_at = Some(now);
        }
        let is_recent = |at: BootTime| now.since(at) < NEEDED_LIFETIME;
        self.needed_at.is_some_and(is_recent) || !self.followers(now).is_empty()
    }

    /// Chooses whom this node tells at `now`: the first of `candidates` that replies. They are the nodes of the own domain
    /// in the order that all nodes agree on.
    pub fn choose_collector(&mut self, candidates: &[NodeName], now: BootTime) -> Option<NodeName> {
        self.avoided.retain(|(_, until)| now < *until);
        if let Some((collector, since)) = &self.collector {
            let heard_at = self.viewed_at.map_or(*since, |at| at.max(*since));
            if now.since(heard_at) >= VIEW_TIMEOUT {
                self.avoided.push((collector.clone(), now + AVOIDED_TIME));
                self.collector = None;
            }
        }
        let is_avoided = |node: &NodeName| self.avoided.iter().any(|(other, _)| other == node);
        let chosen = candidates.iter().find(|node| !is_avoided(node))?;
        if self.collector.as_ref().is_none_or(|(known, _)| known != chosen) {
            self.collector = Some((chosen.clone(), now));
        }
        Some(chosen.clone())
    }

    /// Records what this node tells now.
    pub fn record_told(&mut self, counts: RequestCounts) {
        self.told = counts;
    }

    /// Records counts that `node` told this one, its collector.
    pub fn record_node(&mut self, node: &NodeName, sums: LoadSums, now: BootTime) {
        store(&mut self.nodes, node, ViewPage { page: 0, pages: 1, sums }, now);
    }

    /// Records a page of the sums that the collector `node` of another domain told.
    pub fn record_collector(&mut self, node: &NodeName, page: ViewPage, now: BootTime) {
        store(&mut self.collectors, node, page, now);
    }

    /// Nodes that this one collects for at `now`.
    #[must_use]
    pub fn followers(&self, now: BootTime) -> Vec<NodeName> {
        let is_live = |source: &&CountSource| now.since(source.told_at) < SOURCE_LIFETIME;
        self.nodes.iter().filter(is_live).map(|source| source.node.clone()).collect()
    }

    /// Whether the collector `node` of another domain has told sums lately.
    #[must_use]
    pub fn hears_collector(&self, node: &NodeName, now: BootTime) -> bool {
        let is_live = |source: &CountSource| now.since(source.told_at) < SOURCE_LIFETIME;
        self.collectors.iter().any(|source| source.node == *node && is_live(source))
    }

    /// Sum over this node, which has `own`, and those that it collects for.
    #[must_use]
    pub fn domain_sum(&self, own: &LoadSums, now: BootTime) -> LoadSums {
        let mut sum = own.clone();
        let live = self.nodes.iter().filter(|source| now.since(source.told_at) < SOURCE_LIFETIME);
        live.for_each(|source| sum.add(&source.sums));
        sum
    }

    /// Sum over all nodes, given that of this domain.
    #[must_use]
    pub fn total(&self, domain_sum: &LoadSums, now: BootTime) -> LoadSums {
        let mut sum = domain_sum.clone();
        let live =
            self.collectors.iter().filter(|source| now.since(source.told_at) < SOURCE_LIFETIME);
        live.for_each(|source| sum.add(&source.sums));
        sum
    }

    /// Records that a view arrived at `now`. Returns what this node had told before it.
    pub fn record_view(&mut self, now: BootTime) -> &[RequestCount] {
        self.viewed_at = Some(now);
        &self.told
    }

    /// Age of the last view at `now`, if it is recent enough to be used.
    #[must_use]
    pub fn view_age(&self, now: BootTime) -> Option<Duration> {
        self.viewed_at.map(|at| now.since(at)).filter(|age| *age < VIEW_TIMEOUT)
    }
}

/// Nodes of `domain` in the order in which all nodes ask them to collect.
#[must_use]
pub fn collector_order(members: &[MemberIdentity], domain: &DomainName) -> Vec<NodeName> {
    let near = members.iter().filter(|member| member.domain == *domain);
    let mut order: Vec<NodeName> = near.map(|member| member.node.clone()).collect();
    order.sort_by_cached_key(|node| xxh3_64(node.as_str().as_bytes()));
    order
}

impl UpstreamRegistry {
    /// Requests that this node has in flight.
    #[must_use]
    pub fn request_counts(&self) -> RequestCounts {
        let busy = self.rows().iter().filter(|row| row.in_flight > 0);
        let mut counts: RequestCounts = busy
            .map(|row| RequestCount {
                upstream: UpstreamKey::of(&row.entry.id),
                count: u16::try_from(row.in_flight).unwrap_or(u16::MAX),
                pending: u16::try_from(row.pending_prefill_tokens.div_ceil(TOKEN_UNIT))
                    .unwrap_or(u16::MAX),
            })
            .collect();
        counts.sort_by_key(|row| row.upstream);
        counts.dedup_by_key(|row| row.upstream);
        counts
    }

    /// Applies a page of the total that this node's collector sent, whose counts include the `own` ones. Ignores it unless
    /// it has those of nearly all of `members` nodes.
    pub fn apply_load_view(
        &mut self,
        page: &ViewPage,
        own: &[RequestCount],
        members: u32,
        now: BootTime,
    ) {
        if f64::from(page.sums.nodes) < f64::from(members) * NODES_SHARE_MIN {
            return;
        }
        let find = |counts: &[RequestCount], key: UpstreamKey| {
            let found = counts.binary_search_by_key(&key, |row| row.upstream);
            found.map_or((0, 0), |at| (counts[at].count, counts[at].pending))
        };
        for row in self.rows_mut() {
            let key = UpstreamKey::of(&row.entry.id);
            if key.0 % u32::from(page.pages.max(1)) == u32::from(page.page) {
                let (all, own) = (find(&page.sums.counts, key), find(own, key));
                let requests = u32::from(all.0.saturating_sub(own.0));
                let pending_tokens = u64::from(all.1.saturating_sub(own.1)) * TOKEN_UNIT;
                row.set_shared_load(SharedLoad { requests, pending_tokens, at: now });
            }
        }
    }
}
