//! Seeded workload generator: requests, arrival times and shared prompt prefixes.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::StdRng};

/// Vocabulary of the generated prompts.
const WORDS: [&str; 16] = [
    "ferry", "fuel", "village", "stay", "receipt", "share", "brake", "oil", "recall", "mileage",
    "rotor", "tyre", "invoice", "deposit", "guest", "filter",
];

/// Example deployment whose workload is generated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkloadProfile {
    /// Deployment of a travel-cost trust.
    Vakatoka,
    /// Deployment of an association of car dealers.
    Peachstate,
}

impl WorkloadProfile {
    /// Directory of the example declaration.
    #[must_use]
    pub fn example_dir(self) -> &'static str {
        match self {
            Self::Vakatoka => "vakatoka",
            Self::Peachstate => "peachstate",
        }
    }

    /// Failure domains of the deployment.
    #[must_use]
    pub fn domains(self) -> [&'static str; 4] {
        match self {
            Self::Vakatoka => ["suva-a", "suva-b", "nadi-a", "lautoka-a"],
            Self::Peachstate => ["macon-a", "macon-b", "warner-robins", "perry-hall"],
        }
    }

    /// Number of engines.
    #[must_use]
    pub fn engine_count(self) -> usize {
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

    /// Model that all requests use.
    #[must_use]
    pub fn model(self) -> &'static str {
        match self {
            Self::Vakatoka => "tala-8b",
            Self::Peachstate => "draft-13b",
        }
    }
}

/// Request of a workload.
#[derive(Clone, Debug)]
pub struct WorkloadRequest {
    /// Send time, relative to the start of the workload.
    pub at: Duration,
    /// API key, sent as a bearer token.
    pub key: &'static str,
    /// Priority class.
    pub class: &'static str,
    /// Content of the only message.
    pub content: String,
    /// Number of tokens of the answer.
    pub tokens: u64,
}

/// Parameters of one kind of request.
#[derive(Clone, Copy, Debug)]
struct RequestKind {
    key: &'static str,
    class: &'static str,
    /// Share of all requests in percent.
    percent: u32,
    /// Length of the prefix that all requests of this kind share, in words.
    shared_words: usize,
    /// Number of concurrent sessions whose history grows.
    sessions: usize,
    /// Range of the number of words that each turn of a session adds.
    turn_words: (usize, usize),
    /// Number of turns after which a session starts over.
    turns: usize,
    /// Range of the number of tokens of the answer.
    tokens: (u64, u64),
}

const VAKATOKA: [RequestKind; 4] = [
    RequestKind {
        key: "wharf-key",
        class: "urgent",
        percent: 55,
        shared_words: 250,
        sessions: 90,
        turn_words: (30, 120),
        turns: 10,
        tokens: (20, 70),
    },
    RequestKind {
        key: "trips-key",
        class: "urgent",
        percent: 10,
        shared_words: 150,
        sessions: 25,
        turn_words: (40, 160),
        turns: 8,
        tokens: (30, 80),
    },
    RequestKind {
        key: "ledger-key",
        class: "prompt",
        percent: 27,
        shared_words: 300,
        sessions: 1_000,
        turn_words: (20, 60),
        turns: 1,
        tokens: (8, 16),
    },
    RequestKind {
        key: "recon-key",
        class: "patient",
        percent: 8,
        shared_words: 200,
        sessions: 18,
        turn_words: (400, 1_200),
        turns: 4,
        tokens: (120, 260),
    },
];

const PEACHSTATE: [RequestKind; 4] = [
    RequestKind {
        key: "advisor-key",
        class: "urgent",
        percent: 35,
        shared_words: 250,
        sessions: 70,
        turn_words: (40, 150),
        turns: 8,
        tokens: (30, 70),
    },
    RequestKind {
        key: "phone-key",
        class: "urgent",
        percent: 25,
        shared_words: 150,
        sessions: 500,
        turn_words: (10, 40),
        turns: 2,
        tokens: (6, 14),
    },
    RequestKind {
        key: "orders-key",
        class: "prompt",
        percent: 25,
        shared_words: 300,
        sessions: 400,
        turn_words: (30, 90),
        turns: 2,
        tokens: (8, 20),
    },
    RequestKind {
        key: "recall-key",
        class: "patient",
        percent: 15,
        shared_words: 200,
        sessions: 30,
        turn_words: (600, 1_800),
        turns: 4,
        tokens: (100, 220),
    },
];

/// Session whose history grows with each turn.
#[derive(Clone, Debug)]
struct Session {
    text: String,
    turns: usize,
}

/// Deterministic workload generator.
#[derive(Debug)]
pub struct WorkloadGenerator {
    rng: StdRng,
    kinds: [RequestKind; 4],
    shared: Vec<String>,
    sessions: Vec<Vec<Session>>,
    sessions_started: u64,
}

fn random_words(rng: &mut StdRng, count: usize) -> String {
    let mut text = String::with_capacity(count * 8);
    for _ in 0..count {
        text.push_str(WORDS[rng.random_range(0..WORDS.len())]);
        text.push(' ');
    }
    text
}

impl WorkloadGenerator {
    /// Creates the generator of a workload from `seed`.
    #[must_use]
    pub fn new(profile: WorkloadProfile, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let kinds = match profile {
            WorkloadProfile::Vakatoka => VAKATOKA,
            WorkloadProfile::Peachstate => PEACHSTATE,
        };
        let shared = kinds.iter().map(|kind| random_words(&mut rng, kind.shared_words)).collect();
        let sessions = kinds
            .iter()
            .map(|kind| vec![Session { text: String::new(), turns: 0 }; kind.sessions])
            .collect();
        Self { rng, kinds, shared, sessions, sessions_started: 0 }
    }

    /// Generates the requests between `from` and `to`, at a mean rate of `rate` per second.
    pub fn generate(&mut self, from: Duration, to: Duration, rate: f64) -> Vec<WorkloadRequest> {
        let mut requests = Vec::new();
        let mut at = from;
        loop {
            // Exponentially distributed gaps of a Poisson process.
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
            at += Duration::from_secs_f64(gap);
            if at >= to {
                return requests;
            }
            requests.push(self.next_request(at));
        }
    }

    fn next_request(&mut self, at: Duration) -> WorkloadRequest {
        let mut sample = self.rng.random_range(0..100);
        let mut index = 0;
        while sample >= self.kinds[index].percent {
            sample -= self.kinds[index].percent;
            index += 1;
        }
        let kind = self.kinds[index];
        let session_index = self.rng.random_range(0..kind.sessions);
        let session = &mut self.sessions[index][session_index];
        if session.turns.is_multiple_of(kind.turns) {
            // A new session starts with a unique number, so that no two sessions share a prefix.
            self.sessions_started += 1;
            session.text = format!("case {} ", self.sessions_started);
        }
        session.turns += 1;
        let (low, high) = kind.turn_words;
        let words = self.rng.random_range(low..=high);
        let added = random_words(&mut self.rng, words);
        let session = &mut self.sessions[index][session_index];
        session.text.push_str(&added);
        let (min_tokens, max_tokens) = kind.tokens;
        WorkloadRequest {
            at,
            key: kind.key,
            class: kind.class,
            content: format!("{}{}", self.shared[index], session.text),
            tokens: self.rng.random_range(min_tokens..=max_tokens),
        }
    }
}
