//! Keeps a panic from ending the work of a node unnoticed.
//!
//! A panic in a task ends only this task, as the runtime catches it. A background task is started again, since a node
//! without one of them goes on with old rows or stops its exchange with other nodes. All panics are noted for the log.

use std::{
    panic,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use actix_web::rt::spawn;
use tokio::time::sleep;

/// Delay before a background task is started again. Keeps one that panics at once from using up the thread.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of panics noted until they are taken.
const NOTES_MAX: usize = 100;

/// Panics that are not logged yet.
#[derive(Clone, Debug, Default)]
pub struct PanicNotes(Arc<Mutex<Vec<String>>>);

impl PanicNotes {
    /// Notes all panics of the process from now on, besides what the hook before does.
    pub fn register() -> Self {
        let notes = Self::default();
        let shared = notes.clone();
        let hook = panic::take_hook();
        panic::set_hook(Box::new(move |info| {
            let mut lines = shared.0.lock().unwrap_or_else(PoisonError::into_inner);
            if lines.len() < NOTES_MAX {
                lines.push(info.to_string());
            }
            drop(lines);
            hook(info);
        }));
        notes
    }

    /// Takes the noted panics.
    pub fn take(&self) -> Vec<String> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Runs the background task that `start` creates, and starts it again after a panic.
pub fn spawn_guarded<F: Future<Output = ()> + 'static>(start: impl Fn() -> F + 'static) {
    spawn(async move {
        while spawn(start()).await.is_err_and(|error| error.is_panic()) {
            sleep(RESTART_DELAY).await;
        }
    });
}
