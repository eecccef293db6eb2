//! Stand-in for a runner: works on requests in slots, queues a few, and says which ones it has not run.

use std::{
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Head, Wire},
    store::Store,
};

/// What a runner does with a request that it begins to run.
#[derive(Clone, Debug)]
pub enum Work {
    /// Works for this time and answers.
    Answer(Duration),
    /// Works for this time and answers with its own 500.
    Fail(Duration),
}

/// Request that a runner received.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub runner: String,
    pub at: Instant,
    pub tenant: String,
    pub tokens: u64,
    /// Whether it ran.
    pub ran: bool,
}

type Decide = dyn Fn(&Head) -> Work + Send + Sync;

struct Shared {
    slots: usize,
    queue: usize,
    /// Requests that run and that wait.
    load: Mutex<(usize, usize)>,
    freed: Condvar,
    decide: Box<Decide>,
    down: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

/// Runner on loopback.
#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    shared: Arc<Shared>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Runner {
    /// Starts a runner that notes what arrives in `arrivals`.
    pub fn start(
        id: &str,
        (slots, queue): (usize, usize),
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
        decide: impl Fn(&Head) -> Work + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let shared = Arc::new(Shared {
            slots,
            queue,
            load: Mutex::default(),
            freed: Condvar::new(),
            decide: Box::new(decide),
            down: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        let runner = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            shared,
            arrivals: Arc::clone(arrivals),
        };
        let served = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.shared.down.load(Ordering::SeqCst) {
                    break;
                }
                if let Ok(copy) = stream.try_clone() {
                    served.shared.connections.lock().expect("no poison").push(copy);
                }
                let runner = served.clone();
                thread::spawn(move || drop(runner.serve(Wire::new(stream))));
            }
        });
        runner
    }

    /// Entry in the list of runners.
    pub fn entry(&self, service: &str, zone: &str, state: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence}}}",
            self.address, self.shared.slots
        )
    }

    /// Registers the runner and writes its heartbeats. When it is down, the store removes the entry after three heartbeat
    /// intervals of silence.
    pub fn register(
        &self,
        store: &Store,
        service: &'static str,
        zone: &'static str,
        heartbeat: Duration,
    ) {
        let (runner, store) = (self.clone(), store.clone());
        let mut sequence = 1;
        store.put("servers", &runner.id, Some(&runner.entry(service, zone, "ready", sequence)));
        thread::spawn(move || {
            let mut beat = Instant::now();
            loop {
                thread::sleep(Duration::from_millis(20));
                if runner.shared.down.load(Ordering::SeqCst) {
                    if beat.elapsed() >= heartbeat * 3 {
                        store.put("servers", &runner.id, None);
                        return;
                    }
                } else if beat.elapsed() >= heartbeat {
                    beat = Instant::now();
                    sequence += 1;
                    store.put(
                        "servers",
                        &runner.id,
                        Some(&runner.entry(service, zone, "ready", sequence)),
                    );
                }
            }
        });
    }

    /// Ends the runner for good: its port and its connections close, and it writes no more heartbeats.
    pub fn crash(&self) {
        self.shared.down.store(true, Ordering::SeqCst);
        // Wakes the accept call, so that the listener closes.
        drop(TcpStream::connect(self.address));
        for stream in self.shared.connections.lock().expect("no poison").drain(..) {
            drop(stream.shutdown(Shutdown::Both));
        }
    }

    fn serve(&self, mut wire: Wire) -> std::io::Result<()> {
        while let Some(head) = wire.read_head()? {
            drop(wire.read_body(&head, false)?);
            self.handle(&mut wire, &head)?;
        }
        Ok(())
    }

    fn note(&self, head: &Head, ran: bool) {
        let text = |name| head.get(name).unwrap_or_default().to_owned();
        let tokens = text("x-token-usage")
            .split(',')
            .filter_map(|part| part.trim().parse::<u64>().ok())
            .sum();
        self.arrivals.lock().expect("no poison").push(Arrival {
            id: text("x-attempt-id"),
            runner: self.id.clone(),
            at: Instant::now(),
            tenant: text("x-tenant"),
            tokens,
            ran,
        });
    }

    /// Takes a slot, after a wait in the queue. `None` if the runner is full.
    fn take_slot(&self) -> Option<Slot<'_>> {
        let shared = &*self.shared;
        let mut load = shared.load.lock().expect("no poison");
        if load.0 >= shared.slots {
            if load.1 >= shared.queue {
                return None;
            }
            load.1 += 1;
            while load.0 >= shared.slots {
                load = shared.freed.wait(load).expect("no poison");
            }
            load.1 -= 1;
        }
        load.0 += 1;
        Some(Slot(shared))
    }

    fn handle(&self, wire: &mut Wire, head: &Head) -> std::io::Result<()> {
        let id = head.get("x-attempt-id").unwrap_or_default().to_owned();
        let load = *self.shared.load.lock().expect("no poison");
        let echo = format!(
            "X-Attempt-Id: {id}\r\nX-Instance-Load: {},{},{}\r\n",
            load.0, load.1, self.shared.slots
        );
        if head.get("x-expected-instance").is_some_and(|expected| expected != self.id) {
            self.note(head, false);
            return wire.answer(421, &format!("{echo}X-Not-Executed: other\r\n"), b"");
        }
        let Some(_slot) = self.take_slot() else {
            self.note(head, false);
            return wire.answer(503, &format!("{echo}X-Not-Executed: full\r\n"), b"");
        };
        self.note(head, true);
        let signed = format!("{echo}X-Response-Signature: {}.{id}\r\n", self.id);
        match (self.shared.decide)(head) {
            Work::Answer(time) => {
                if !work(wire, time) {
                    return Err(std::io::ErrorKind::ConnectionAborted.into());
                }
                wire.answer(200, &signed, format!("answer to {id}").as_bytes())
            }
            Work::Fail(time) => {
                if !work(wire, time) {
                    return Err(std::io::ErrorKind::ConnectionAborted.into());
                }
                wire.answer(500, &signed, b"failed")
            }
        }
    }
}

/// Works for `time`. Returns whether the connection is still open.
fn work(wire: &Wire, time: Duration) -> bool {
    let until = Instant::now() + time;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        if wire.is_closed() {
            return false;
        }
        thread::sleep(left.min(Duration::from_millis(10)));
    }
}

struct Slot<'a>(&'a Shared);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.load.lock().expect("no poison").0 -= 1;
        self.0.freed.notify_one();
    }
}
