//! Tells the versions of a store that returned from an older copy from the same versions before.
//!
//! Answers a store that was away and returns without its last writes: versions go back and are given out again, so that
//! everything that is compared with "newer than" would stand still. A version belongs to an era, which the store
//! states; those of a later era are newer, whatever their number.
//!
//! A store that states none, and whose answers go back for longer than stale reads are, has begun a new era as well. A
//! row that is read with a lower version than in an earlier answer shows that at once, as does another node's era.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    boot_time::BootTime,
    ids::{FencingToken, RowVersion},
};

/// Time for which answers may be older than others before, as those of a replica that lags.
const BEHIND_MAX: Duration = Duration::from_secs(8);
/// Bits of a version below its era. More than a store can count in centuries.
const NUMBER_BITS: u32 = 48;

/// Bits of a fencing token below its era. Together with an era, it fits into a JSON number.
const TERM_BITS: u32 = 32;

/// Number of times that the store has returned from an older copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StoreEra(pub u16);

impl RowVersion {
    /// The version with the same number in `era`. Zero, for a row that does not exist, has no era.
    #[must_use]
    pub fn in_era(self, era: StoreEra) -> Self {
        let number = self.number();
        if number == 0 { Self(0) } else { Self((u64::from(era.0) << NUMBER_BITS) | number) }
    }

    /// Era of the version.
    #[must_use]
    pub fn era(self) -> StoreEra {
        StoreEra(u16::try_from(self.0 >> NUMBER_BITS).unwrap_or(u16::MAX))
    }

    /// Number that the store knows the version by.
    #[must_use]
    pub fn number(self) -> u64 {
        self.0 & ((1 << NUMBER_BITS) - 1)
    }
}

impl FencingToken {
    /// The lowest token of `era`. Higher than all of earlier eras, since no era has that many leaders.
    #[must_use]
    pub fn first_in(era: StoreEra) -> Self {
        Self((u64::from(era.0) << TERM_BITS) + 1)
    }

    /// Era of the token.
    #[must_use]
    pub fn era(self) -> StoreEra {
        StoreEra(u16::try_from(self.0 >> TERM_BITS).unwrap_or(u16::MAX))
    }
}

/// Eras of the store, as known to this node.
#[derive(Clone, Debug, Default)]
pub struct StoreEras {
    era: StoreEra,
    /// Whether the store has stated an era. What other nodes infer doesn't count then.
    is_stated: bool,
    /// Whether this node has inferred the current era, and the store's rows may not tell of it yet.
    is_untold: bool,
    /// Newest version in the current era.
    newest: u64,
    /// Time since which all answers have been older.
    behind_since: Option<BootTime>,
}

impl StoreEras {
    /// Newest era.
    #[must_use]
    pub fn current(&self) -> StoreEra {
        self.era
    }

    /// Era of an answer at `now` which states the era `stated`, if any, and whose newest version is `newest`. An answer
    /// that states an era before the current one keeps it: it is older than what is known.
    pub fn observe(
        &mut self,
        stated: Option<StoreEra>,
        newest: RowVersion,
        now: BootTime,
    ) -> StoreEra {
        self.is_stated |= stated.is_some();
        if let Some(stated) = stated.filter(|stated| *stated < self.era) {
            return stated;
        }
        let number = newest.number();
        let is_new = stated.is_some_and(|stated| stated > self.era);
        if !is_new && number < self.newest {
            // A store that states its eras is believed.
            if stated.is_some() {
                return self.era;
            }
            let since = *self.behind_since.get_or_insert(now);
            if now.since(since) < BEHIND_MAX {
                return self.era;
            }
            self.era = StoreEra(self.era.0.saturating_add(1));
        }
        self.era = self.era.max(stated.unwrap_or_default());
        self.newest = number;
        self.behind_since = None;
        self.era
    }

    /// Era of an answer that states the era `stated`, if any, and no newest version.
    pub fn observe_stated(&mut self, stated: Option<StoreEra>) -> StoreEra {
        self.is_stated |= stated.is_some();
        let stated = stated.unwrap_or(self.era);
        if stated > self.era {
            *self = Self { era: stated, is_stated: true, ..Self::default() };
        }
        stated
    }

    /// Begins an era after a row had a lower version than in an answer that was received before it was asked for.
    /// Returns whether it did: a store that states its eras is believed.
    pub fn begin_unstated(&mut self) -> bool {
        let has_begun = self.adopt(StoreEra(self.era.0.saturating_add(1)));
        self.is_untold |= has_begun;
        has_begun
    }

    /// Whether the store states its eras.
    #[must_use]
    pub fn is_stated(&self) -> bool {
        self.is_stated
    }

    /// Whether this node has inferred an era that others may not know of.
    #[must_use]
    pub fn is_untold(&self) -> bool {
        self.is_untold
    }

    /// Records that the store's rows tell of the current era.
    pub fn record_told(&mut self) {
        self.is_untold = false;
    }

    /// Adopts the era that another node is in, if it is later and the store states none. Returns whether it did.
    pub fn adopt(&mut self, era: StoreEra) -> bool {
        let is_later = !self.is_stated && era > self.era;
        if is_later {
            *self = Self { era, ..Self::default() };
        }
        is_later
    }
}
