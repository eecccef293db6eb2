//! Turns of calls under one key.
//!
//! Answers many callers that send one key at once: two writes of one row never share a transaction,
//! so a hundred claims would be in line for seconds, though only the first can win.

use std::{cell::RefCell, rc::Rc};

use tokio::sync::watch;

/// Call whose turn it is.
#[derive(Debug)]
struct HeldLock {
    key: String,
    /// Closed when the turn ends.
    released: watch::Receiver<()>,
}

/// Turns by key, for the calls of one traffic thread.
#[derive(Clone, Debug, Default)]
pub struct ClaimLocks {
    /// Sorted by key, without duplicates.
    rows: Rc<RefCell<Vec<HeldLock>>>,
}

/// A turn. Its drop ends it.
#[derive(Debug)]
pub struct ClaimLockGuard {
    locks: ClaimLocks,
    key: String,
    _release: watch::Sender<()>,
}

impl ClaimLocks {
    /// Takes the turn for `key`.
    ///
    /// # Errors
    ///
    /// Returns what is closed when the turn of another call ends.
    pub fn try_lock(&self, key: &str) -> Result<ClaimLockGuard, watch::Receiver<()>> {
        let mut rows = self.rows.borrow_mut();
        match rows.binary_search_by(|row| row.key.as_str().cmp(key)) {
            Ok(at) => Err(rows[at].released.clone()),
            Err(at) => {
                let (release, released) = watch::channel(());
                rows.insert(at, HeldLock { key: key.to_owned(), released });
                Ok(ClaimLockGuard { locks: self.clone(), key: key.to_owned(), _release: release })
            }
        }
    }
}

impl Drop for ClaimLockGuard {
    fn drop(&mut self) {
        self.locks.rows.borrow_mut().retain(|row| row.key != self.key);
    }
}
