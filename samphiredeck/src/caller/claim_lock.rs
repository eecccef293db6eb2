//! Per-key locks for calls that claim an idempotency key.
//!
//! Group commit never puts two writes of one row into the same transaction, so a hundred concurrent
//! claims of one key would queue for seconds although only the first can succeed. With the lock,
//! one call writes its claim while the others wait and then read the row.

use std::{cell::RefCell, rc::Rc};

use tokio::sync::watch;

/// Lock held by a call.
#[derive(Debug)]
struct HeldLock {
    key: String,
    /// Closed when the lock is released.
    released: watch::Receiver<()>,
}

/// Locks by key, for the calls of one HTTP worker thread.
#[derive(Clone, Debug, Default)]
pub struct ClaimLocks {
    /// Sorted by key, without duplicates.
    held_locks: Rc<RefCell<Vec<HeldLock>>>,
}

/// Lock on a key, released on drop.
#[derive(Debug)]
pub struct ClaimLockGuard {
    locks: ClaimLocks,
    key: String,
    _release: watch::Sender<()>,
}

impl ClaimLocks {
    /// Locks `key`.
    ///
    /// # Errors
    ///
    /// If another call holds the lock, returns a receiver that is closed when the lock is released.
    pub fn try_lock(&self, key: &str) -> Result<ClaimLockGuard, watch::Receiver<()>> {
        let mut held_locks = self.held_locks.borrow_mut();
        match held_locks.binary_search_by(|lock| lock.key.as_str().cmp(key)) {
            Ok(at) => Err(held_locks[at].released.clone()),
            Err(at) => {
                let (release, released) = watch::channel(());
                held_locks.insert(at, HeldLock { key: key.to_owned(), released });
                Ok(ClaimLockGuard { locks: self.clone(), key: key.to_owned(), _release: release })
            }
        }
    }
}

impl Drop for ClaimLockGuard {
    fn drop(&mut self) {
        self.locks.held_locks.borrow_mut().retain(|lock| lock.key != self.key);
    }
}
