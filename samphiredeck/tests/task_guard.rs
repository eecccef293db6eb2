//! Panics in background tasks. Without a guard, the task was gone for good and the node went on without it.

#[path = "../src/forward/task_guard.rs"]
mod task_guard;

use std::{cell::Cell, rc::Rc, time::Duration};

use actix_web::rt::{System, time::sleep};

use self::task_guard::{PanicNotes, spawn_guarded};

#[test]
fn task_that_panics_is_noted_and_started_again() {
    let notes = PanicNotes::register();
    let starts = Rc::new(Cell::new(0));
    System::new().block_on(async {
        let counted = Rc::clone(&starts);
        spawn_guarded(move || {
            let counted = Rc::clone(&counted);
            async move {
                counted.set(counted.get() + 1);
                assert!(counted.get() > 2, "malformed row");
            }
        });
        sleep(Duration::from_secs(3)).await;
    });
    assert_eq!(starts.get(), 3, "started until it ends without a panic, and not again");
    let lines = notes.take();
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(lines.iter().all(|line| line.contains("malformed row")), "{lines:?}");
    assert!(notes.take().is_empty(), "noted twice");
}
