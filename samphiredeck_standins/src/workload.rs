//! Seeded workloads of both users: what callers ask, when, and with which shared prefixes.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::StdRng};

/// Words that prompts are made of.
const WORDS: [&str; 16] = [
    "ferry", "fuel", "village", "stay", "receipt", "share", "brake", "oil", "recall", "mileage",
    "rotor", "tyre", "invoice", "deposit", "guest", "filter",
];

/// Which user's workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UserKind {
    /// The travel-cost trust.
    Vakatoka,
    /// The dealer association.
    Peachstate,
}

impl UserKind {
    /// Folder of the example declaration.
    #[must_use]
    pub fn folder(self) -> &'static str {
        match self {
            Self::Vakatoka => "vakatoka",
            Self::Peachstate => "peachstate",
        }
    }

    /// Failure domains.
    #[must_use]
    pub fn domains(self) -> [&'static str; 4] {
        match self {
            Self::Vakatoka => ["suva-a", "suva-b", "nadi-a", "lautoka-a"],
            Self::Peachstate => ["macon-a", "macon-b", "warner-robins", "perry-hall"],
        }
    }

    /// Model runners.
    #[must_use]
    pub fn runners(self) -> usize {
        match self {
            Self::Vakatoka => 12,
            Self::Peachstate => 9,
        }
    }

    /// Round trip between failure domains in milliseconds.
    #[must_use]
    pub fn round_trip_ms(self) -> u64 {
        match self {
            Self::Vakatoka => 1,
            Self::Peachstate => 3,
        }
    }

    /// Model that is called.
    #[must_use]
    pub fn model(self) -> &'static str {
        match self {
            Self::Vakatoka => "tala-8b",
            Self::Peachstate => "draft-13b",
        }
    }
}

/// One request of a workload.
#[derive(Clone, Debug)]
pub struct WorkItem {
    /// Time from the begin at which it is asked.
    pub at: Duration,
    /// Bearer key.
    pub key: &'static str,
    /// Priority class.
    pub class: &'static str,
    /// Text of the only message.
    pub content: String,
    /// Tokens of the answer.
    pub tokens: u64,
}

/// One kind of request.
#[derive(Clone, Copy, Debug)]
struct KindRow {
    key: &'static str,
    class: &'static str,
    /// Share of all requests in percent.
    percent: u32,
    /// Words that all requests of the kind begin with.
    shared_words: usize,
    /// Sessions that come back with a longer history.
    sessions: usize,
    /// Words that each visit of a session adds.
    visit_words: (usize, usize),
    /// Visits after which a session begins anew.
    visits: usize,
    tokens: (u64, u64),
}

const VAKATOKA: [KindRow; 4] = [
    KindRow {
        key: "wharf-key",
        class: "urgent",
        percent: 55,
        shared_words: 250,
        sessions: 90,
        visit_words: (30, 120),
        visits: 10,
        tokens: (20, 70),
    },
    KindRow {
        key: "trips-key",
        class: "urgent",
        percent: 10,
        shared_words: 150,
        sessions: 25,
        visit_words: (40, 160),
        visits: 8,
        tokens: (30, 80),
    },
    KindRow {
        key: "ledger-key",
        class: "prompt",
        percent: 27,
        shared_words: 300,
        sessions: 1_000,
        visit_words: (20, 60),
        visits: 1,
        tokens: (8, 16),
    },
    KindRow {
        key: "recon-key",
        class: "patient",
        percent: 8,
        shared_words: 200,
        sessions: 18,
        visit_words: (400, 1_200),
        visits: 4,
        tokens: (120, 260),
    },
];

const PEACHSTATE: [KindRow; 4] = [
    KindRow {
        key: "advisor-key",
        class: "urgent",
        percent: 35,
        shared_words: 250,
        sessions: 70,
        visit_words: (40, 150),
        visits: 8,
        tokens: (30, 70),
    },
    KindRow {
        key: "phone-key",
        class: "urgent",
        percent: 25,
        shared_words: 150,
        sessions: 500,
        visit_words: (10, 40),
        visits: 2,
        tokens: (6, 14),
    },
    KindRow {
        key: "orders-key",
        class: "prompt",
        percent: 25,
        shared_words: 300,
        sessions: 400,
        visit_words: (30, 90),
        visits: 2,
        tokens: (8, 20),
    },
    KindRow {
        key: "recall-key",
        class: "patient",
        percent: 15,
        shared_words: 200,
        sessions: 30,
        visit_words: (600, 1_800),
        visits: 4,
        tokens: (100, 220),
    },
];

/// Session of one kind, whose history grows.
#[derive(Clone, Debug)]
struct SessionRow {
    text: String,
    visits: usize,
}

/// Generator of a workload.
#[derive(Debug)]
pub struct WorkloadMix {
    draw: StdRng,
    kinds: [KindRow; 4],
    shared: Vec<String>,
    sessions: Vec<Vec<SessionRow>>,
    begun: u64,
}

fn write_words(draw: &mut StdRng, count: usize) -> String {
    let mut text = String::with_capacity(count * 8);
    for _ in 0..count {
        text.push_str(WORDS[draw.random_range(0..WORDS.len())]);
        text.push(' ');
    }
    text
}

impl WorkloadMix {
    /// Starts the workload of a user from `seed`.
    #[must_use]
    pub fn new(user: UserKind, seed: u64) -> Self {
        let mut draw = StdRng::seed_from_u64(seed);
        let kinds = match user {
            UserKind::Vakatoka => VAKATOKA,
            UserKind::Peachstate => PEACHSTATE,
        };
        let shared = kinds.iter().map(|kind| write_words(&mut draw, kind.shared_words)).collect();
        let sessions = kinds
            .iter()
            .map(|kind| vec![SessionRow { text: String::new(), visits: 0 }; kind.sessions])
            .collect();
        Self { draw, kinds, shared, sessions, begun: 0 }
    }

    /// Draws the requests between `from` and `to`, `rate` a second.
    pub fn fill(&mut self, from: Duration, to: Duration, rate: f64) -> Vec<WorkItem> {
        let mut items = Vec::new();
        let mut at = from;
        loop {
            // Gaps of a Poisson process.
            let gap = -(1.0 - self.draw.random::<f64>()).ln() / rate;
            at += Duration::from_secs_f64(gap);
            if at >= to {
                return items;
            }
            items.push(self.next_item(at));
        }
    }

    fn next_item(&mut self, at: Duration) -> WorkItem {
        let mut drawn = self.draw.random_range(0..100);
        let mut index = 0;
        while drawn >= self.kinds[index].percent {
            drawn -= self.kinds[index].percent;
            index += 1;
        }
        let kind = self.kinds[index];
        let at_session = self.draw.random_range(0..kind.sessions);
        let session = &mut self.sessions[index][at_session];
        if session.visits.is_multiple_of(kind.visits) {
            // A new session begins with its own number, so that no two begin alike.
            self.begun += 1;
            session.text = format!("case {} ", self.begun);
        }
        session.visits += 1;
        let (low, high) = kind.visit_words;
        let words = self.draw.random_range(low..=high);
        let added = write_words(&mut self.draw, words);
        let session = &mut self.sessions[index][at_session];
        session.text.push_str(&added);
        let (few, many) = kind.tokens;
        WorkItem {
            at,
            key: kind.key,
            class: kind.class,
            content: format!("{}{}", self.shared[index], session.text),
            tokens: self.draw.random_range(few..=many),
        }
    }
}
