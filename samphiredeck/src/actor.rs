//! Control thread: an actor that owns the control state and executes its effects.

use std::{
    net::{SocketAddr, UdpSocket},
    time::Instant,
};

use actix::{
    Actor, ActorFutureExt, Addr, AsyncContext, Context, ContextFutureSpawner, Handler, WrapFuture,
};
use log::{debug, error};
use samphiredeck_core::{
    ids::UpstreamId,
    platform_api::{StartRequest, TableRead},
    rows::{CONFIG_KEY, CONTROLLER_KEY, MEMBER_PREFIX, STAGED_CONFIG_KEY, WORK_PREFIX},
    upstream::LoadReport,
};
use samphiredeck_wire::auth::PeerKey;
use tokio::sync::mpsc;

use crate::{
    control::{ControlState, TICK_PERIOD},
    engine_client::EngineClient,
    event::{AdoptedWork, ControlEffect, ControlEvent, PeerRequestKind},
    logging::{NODE, PEER},
    metrics::MetricsReporter,
    peer_link::{bind_sender, call_peer},
    platform_client::PlatformClient,
    service_client::fetch_load,
};

/// Number of events that may be queued for the control thread.
const MAILBOX_CAPACITY: usize = 65_536;

/// Clients and channels through which the control thread reaches the outside.
#[derive(Clone)]
pub struct ControlIo {
    /// Client of the platform.
    pub platform: PlatformClient,
    /// Client of the engines.
    pub engines: EngineClient,
    /// Key that authenticates traffic between nodes.
    pub key: PeerKey,
    /// Local address whose IP address datagrams are sent from.
    pub local_address: SocketAddr,
    /// Channel to the thread that resumes work taken over or handed over.
    pub adopted_work: mpsc::UnboundedSender<Box<AdoptedWork>>,
    /// Channel for stop requests, with the remaining notice in milliseconds.
    pub stop_notices: mpsc::UnboundedSender<u64>,
}

/// Actor of the control thread.
pub struct ControlActor {
    state: ControlState,
    io: ControlIo,
    /// Socket for outgoing datagrams. Bound again when missing.
    datagram_socket: Option<UdpSocket>,
    metrics: MetricsReporter,
}

impl ControlActor {
    pub fn new(state: ControlState, io: ControlIo, metrics: MetricsReporter) -> Self {
        Self { state, io, datagram_socket: None, metrics }
    }

    /// Carries out the effects that the control state returned.
    fn apply_effects(&mut self, effects: Vec<ControlEffect>, ctx: &mut Context<Self>) {
        for effect in effects {
            match effect {
                ControlEffect::SendDatagram { to, bytes } => self.send_datagram(to, &bytes),
                ControlEffect::RebindSocket => self.datagram_socket = None,
                ControlEffect::ResumeWork(work) => drop(self.io.adopted_work.send(work)),
                ControlEffect::BeginStop { left_ms } => drop(self.io.stop_notices.send(left_ms)),
                ControlEffect::CallPeer { node, to, kind, request } => {
                    self.call_peer(&node, to, kind, request, ctx);
                }
                other => self.spawn_effect(other, ctx),
            }
        }
    }

    fn send_datagram(&mut self, to: SocketAddr, bytes: &[u8]) {
        if self.datagram_socket.is_none() {
            match bind_sender(self.io.local_address) {
                Ok(socket) => self.datagram_socket = Some(socket),
                Err(error) => error!(target: PEER, "Can't bind a socket for datagrams: {error}."),
            }
        }
        // Datagrams are best-effort, so a failed send is treated as a lost datagram.
        if let Some(socket) = &self.datagram_socket
            && let Err(error) = socket.send_to(bytes, to)
        {
            debug!(target: PEER, "Can't send a datagram to {to}: {error}.");
        }
    }

    fn call_peer(
        &mut self,
        node: &samphiredeck_core::ids::NodeName,
        to: SocketAddr,
        kind: PeerRequestKind,
        request: samphiredeck_wire::message::PeerRequest,
        ctx: &mut Context<Self>,
    ) {
        let (node, key) = (node.clone(), self.io.key.clone());
        let header = self.state.next_header(&node);
        let own = header.node.clone();
        let call = async move {
            let reply = call_peer(&key, &own, header, to, &request).await;
            ControlEvent::PeerReply { node, request_kind: kind, reply }
        };
        self.spawn_event(call, ctx);
    }

    /// Spawns a call whose outcome is handled as an event.
    fn spawn_event(
        &mut self,
        call: impl Future<Output = ControlEvent> + 'static,
        ctx: &mut Context<Self>,
    ) {
        call.into_actor(self).map(|event, actor, ctx| actor.handle_event(event, ctx)).spawn(ctx);
    }

    fn spawn_effect(&mut self, effect: ControlEffect, ctx: &mut Context<Self>) {
        let io = self.io.clone();
        let call = async move { execute_effect(effect, io).await };
        call.into_actor(self)
            .map(|event, actor, ctx| {
                if let Some(event) = event {
                    actor.handle_event(event, ctx);
                }
            })
            .spawn(ctx);
    }

    fn handle_event(&mut self, event: ControlEvent, ctx: &mut Context<Self>) {
        let effects = self.state.handle(event, Instant::now());
        self.apply_effects(effects, ctx);
    }
}

/// Executes one effect that calls the outside, and returns the event with its outcome.
async fn execute_effect(effect: ControlEffect, io: ControlIo) -> Option<ControlEvent> {
    Some(match effect {
        ControlEffect::Commit(transaction) => {
            ControlEvent::CommitReply(io.platform.commit(&transaction).await)
        }
        ControlEffect::ReadTable => {
            let keys = [CONFIG_KEY, STAGED_CONFIG_KEY, CONTROLLER_KEY];
            let read = table_read(&keys, &[MEMBER_PREFIX]);
            let sent_at = Instant::now();
            ControlEvent::TableRead(sent_at, io.platform.read(&read).await.ok())
        }
        ControlEffect::ReadWork => {
            let read = table_read(&[], &[MEMBER_PREFIX, WORK_PREFIX]);
            ControlEvent::WorkRead(io.platform.read(&read).await.ok())
        }
        ControlEffect::ReadCloud => ControlEvent::CloudRead(io.platform.read_cloud().await.ok()),
        ControlEffect::ReadPrices => ControlEvent::Prices(io.platform.read_prices().await.ok()?),
        ControlEffect::FetchEngineReport { upstream, address, from } => {
            fetch_engine_report(&io, upstream, &address, from).await?
        }
        ControlEffect::FetchServiceReport { upstream, address } => {
            let sent_at = Instant::now();
            let load: LoadReport = fetch_load(&address).await?;
            ControlEvent::ServiceReport(upstream, sent_at, load)
        }
        ControlEffect::LoadModel { plan, address, command } => {
            let result = io.engines.send_command(&address, &command).await;
            ControlEvent::LoadModelReply(plan, result.map_err(|error| error.to_string()))
        }
        ControlEffect::StartInstance(spec, token) => {
            let request = StartRequest {
                token,
                domain: spec.domain.clone(),
                class: spec.class.clone(),
                purchase_option: spec.purchase_option,
            };
            ControlEvent::StartInstanceReply(spec, io.platform.start_instance(&request).await.ok())
        }
        ControlEffect::SendDatagram { .. }
        | ControlEffect::RebindSocket
        | ControlEffect::ResumeWork(_)
        | ControlEffect::BeginStop { .. }
        | ControlEffect::CallPeer { .. } => return None,
    })
}

async fn fetch_engine_report(
    io: &ControlIo,
    upstream: UpstreamId,
    address: &str,
    from: u64,
) -> Option<ControlEvent> {
    let sent_at = Instant::now();
    let report = io.engines.report(address, from).await.ok()?;
    Some(ControlEvent::EngineReport(upstream, sent_at, Box::new(report)))
}

fn table_read(keys: &[&str], prefixes: &[&str]) -> TableRead {
    let owned = |texts: &[&str]| texts.iter().map(|text| (*text).to_owned()).collect();
    TableRead { keys: owned(keys), prefixes: owned(prefixes) }
}

impl Actor for ControlActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.set_mailbox_capacity(MAILBOX_CAPACITY);
        ctx.run_interval(TICK_PERIOD, |actor, ctx| {
            let now = Instant::now();
            let effects = actor.state.tick(now);
            actor.apply_effects(effects, ctx);
            actor.metrics.report(&actor.state, now);
        });
    }

    fn stopped(&mut self, _ctx: &mut Context<Self>) {
        debug!(target: NODE, "Control thread stopped.");
    }
}

impl Handler<ControlEvent> for ControlActor {
    type Result = ();

    fn handle(&mut self, msg: ControlEvent, ctx: &mut Context<Self>) {
        self.handle_event(msg, ctx);
    }
}

/// Address of the control actor.
pub type ControlAddress = Addr<ControlActor>;
