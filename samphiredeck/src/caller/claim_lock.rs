//! Turns of calls under one key.
//!
//! Answers many callers that send one key at once: two writes of one row never share a transaction,
//! so a hundred claims would be in line for seconds, though only the first can win.

use std::{cell::RefCell, rc::Rc};

use tokio::sync::watch;

/// Call whose turn it is.
#[derive(Debug)]
struct TurnRow {
    key: String,
    /// Closed when the turn ends.
    over: watch::Receiver<()>,
}

/// Turns by key, for the calls of one traffic thread.
#[derive(Clone, Debug, Default)]
pub struct ClaimTurns {
    /// Sorted by key, without duplicates.
    rows: Rc<RefCell<Vec<TurnRow>>>,
}

/// A turn. Its drop ends it.
#[derive(Debug)]
pub struct ClaimTurn {
    turns: ClaimTurns,
    key: String,
    _end: watch::Sender<()>,
}

impl ClaimTurns {
    /// Takes the turn for `key`.
    ///
    /// # Errors
    ///
    /// Returns what is closed when the turn of another call ends.
    pub fn take(&self, key: &str) -> Result<ClaimTurn, watch::Receiver<()>> {
        let mut rows = self.rows.borrow_mut();
        match rows.binary_search_by(|row| row.key.as_str().cmp(key)) {
            Ok(at) => Err(rows[at].over.clone()),
            Err(at) => {
                let (end, over) = watch::channel(());
                rows.insert(at, TurnRow { key: key.to_owned(), over });
                Ok(ClaimTurn { turns: self.clone(), key: key.to_owned(), _end: end })
            }
        }
    }
}

impl Drop for ClaimTurn {
    fn drop(&mut self) {
        self.turns.rows.borrow_mut().retain(|row| row.key != self.key);
    }
}
