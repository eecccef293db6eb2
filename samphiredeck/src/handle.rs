//! Handle through which traffic threads reach the control thread.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use actix::Addr;
use arc_swap::ArcSwapOption;
use samphiredeck_core::{
    admission::{Refusal, RefusalReason, RequestTicket},
    config_change::ConfigInForce,
    ids::{NodeName, RequestId},
};
use tokio::sync::oneshot;

use crate::{actor::ControlActor, event::ControlEvent};

/// Delay after which callers are advised to retry while the control thread is overloaded.
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handle to the control thread. Cheap to clone.
#[derive(Clone)]
pub struct ControlHandle {
    address: Addr<ControlActor>,
    snapshot: Arc<ArcSwapOption<ConfigInForce>>,
    node: NodeName,
    tickets: Arc<AtomicU64>,
    /// First request number of this incarnation.
    first_request_number: u64,
}

impl ControlHandle {
    /// Builds the handle of node `node`, whose request numbers start at `first_request_number`.
    pub fn new(
        address: Addr<ControlActor>,
        snapshot: Arc<ArcSwapOption<ConfigInForce>>,
        node: NodeName,
        first_request_number: u64,
    ) -> Self {
        Self { address, snapshot, node, tickets: Arc::new(AtomicU64::new(1)), first_request_number }
    }

    /// Returns the configuration in force, if any.
    pub fn config(&self) -> Option<Arc<ConfigInForce>> {
        self.snapshot.load_full()
    }

    /// Returns the next ticket, unique within this incarnation.
    pub fn next_ticket(&self) -> RequestTicket {
        RequestTicket(self.tickets.fetch_add(1, Ordering::Relaxed))
    }

    /// Builds the id of the request that has `ticket`.
    pub fn request_id(&self, ticket: RequestTicket) -> RequestId {
        RequestId::new(self.node.clone(), self.first_request_number.wrapping_add(ticket.0))
    }

    /// Sends an event without waiting for a reply.
    pub fn tell(&self, event: ControlEvent) {
        self.address.do_send(event);
    }

    /// Sends an event and waits for its reply. Returns `None` if the control thread is gone or its
    /// mailbox is full.
    pub async fn ask<T>(
        &self,
        event: impl FnOnce(oneshot::Sender<T>) -> ControlEvent,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.address.try_send(event(sender)).ok()?;
        receiver.await.ok()
    }

    /// Returns the refusal for requests that the overloaded control thread can't take.
    pub fn busy() -> Refusal {
        Refusal::new(RefusalReason::QueueFull, BUSY_RETRY_AFTER)
    }
}
