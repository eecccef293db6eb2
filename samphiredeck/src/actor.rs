//! The control thread: an actor that owns the control state and carries out its effects.

use std::{
    net::{SocketAddr, UdpSocket},
    time::Instant,
};

use actix::{
    Actor, ActorFutureExt, Addr, AsyncContext, Context, ContextFutureSpawner, Handler, WrapFuture,
};
use awc::Client;
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
    event::{ControlEffect, ControlEvent, PeerCallKind, TakenWork},
    logging::{NODE, PEER},
    metrics::MetricsReporter,
    peer_link::{bind_sender, call_peer},
    platform_client::PlatformClient,
    service_client::fetch_load,
};

/// Events that may wait for the control thread.
const MAILBOX: usize = 65_536;

/// What the actor needs besides its state.
#[derive(Clone)]
pub struct ControlTools {
    /// The platform.
    pub platform: PlatformClient,
    /// The engines.
    pub engines: EngineClient,
    /// For reports of plain services.
    pub reports: Client,
    /// Key for traffic between nodes.
    pub key: PeerKey,
    /// Local IP number from which datagrams are sent.
    pub local: SocketAddr,
    /// Where work that was taken over is run.
    pub works: mpsc::UnboundedSender<Box<TakenWork>>,
    /// How the node is told to stop, with the milliseconds that are left.
    pub stops: mpsc::UnboundedSender<u64>,
}

/// Actor of the control thread.
pub struct ControlActor {
    state: ControlState,
    tools: ControlTools,
    /// Socket that datagrams leave from. Bound anew when it is missing.
    sender: Option<UdpSocket>,
    metrics: MetricsReporter,
}

impl ControlActor {
    /// Builds the actor.
    pub fn new(state: ControlState, tools: ControlTools, metrics: MetricsReporter) -> Self {
        Self { state, tools, sender: None, metrics }
    }

    /// Carries out what the state wants done.
    fn carry_out(&mut self, effects: Vec<ControlEffect>, ctx: &mut Context<Self>) {
        for effect in effects {
            match effect {
                ControlEffect::Send { to, bytes } => self.send_datagram(to, &bytes),
                ControlEffect::RebindSocket => self.sender = None,
                ControlEffect::StartWork(work) => drop(self.tools.works.send(work)),
                ControlEffect::BeginStop { left_ms } => drop(self.tools.stops.send(left_ms)),
                ControlEffect::AskPeer { node, to, kind, request } => {
                    self.ask_node(&node, to, kind, request, ctx);
                }
                other => self.call_out(other, ctx),
            }
        }
    }

    fn send_datagram(&mut self, to: SocketAddr, bytes: &[u8]) {
        if self.sender.is_none() {
            match bind_sender(self.tools.local) {
                Ok(socket) => self.sender = Some(socket),
                Err(error) => error!(target: PEER, "No socket for datagrams: {error}."),
            }
        }
        // A datagram that can't be sent counts as lost.
        if let Some(socket) = &self.sender
            && let Err(error) = socket.send_to(bytes, to)
        {
            debug!(target: PEER, "A datagram to {to} is lost: {error}.");
        }
    }

    fn ask_node(
        &mut self,
        node: &samphiredeck_core::ids::NodeName,
        to: SocketAddr,
        kind: PeerCallKind,
        request: samphiredeck_wire::message::PeerRequest,
        ctx: &mut Context<Self>,
    ) {
        let (node, key) = (node.clone(), self.tools.key.clone());
        let stamp = self.state.stamp(&node);
        let own = stamp.node.clone();
        let call = async move {
            let reply = call_peer(&key, &own, stamp, to, &request).await;
            ControlEvent::PeerAnswer { node, request: kind, reply }
        };
        self.spawn_event(call, ctx);
    }

    /// Runs a call whose outcome is an event.
    fn spawn_event(
        &mut self,
        call: impl Future<Output = ControlEvent> + 'static,
        ctx: &mut Context<Self>,
    ) {
        call.into_actor(self).map(|event, actor, ctx| actor.take_event(event, ctx)).spawn(ctx);
    }

    fn call_out(&mut self, effect: ControlEffect, ctx: &mut Context<Self>) {
        let tools = self.tools.clone();
        let call = async move { perform(effect, tools).await };
        call.into_actor(self)
            .map(|event, actor, ctx| {
                if let Some(event) = event {
                    actor.take_event(event, ctx);
                }
            })
            .spawn(ctx);
    }

    fn take_event(&mut self, event: ControlEvent, ctx: &mut Context<Self>) {
        let effects = self.state.handle(event, Instant::now());
        self.carry_out(effects, ctx);
    }
}

/// Carries out one call to the outside and returns the event that tells of its outcome.
async fn perform(effect: ControlEffect, tools: ControlTools) -> Option<ControlEvent> {
    Some(match effect {
        ControlEffect::Commit(transaction) => {
            ControlEvent::LaneReply(tools.platform.commit(&transaction).await)
        }
        ControlEffect::ReadTable => {
            let keys = [CONFIG_KEY, STAGED_CONFIG_KEY, CONTROLLER_KEY];
            let read = build_read(&keys, &[MEMBER_PREFIX]);
            let asked_at = Instant::now();
            ControlEvent::TableRead(asked_at, tools.platform.read(&read).await.ok())
        }
        ControlEffect::ReadWork => {
            let read = build_read(&[], &[MEMBER_PREFIX, WORK_PREFIX]);
            ControlEvent::WorkRead(tools.platform.read(&read).await.ok())
        }
        ControlEffect::ReadCloud => ControlEvent::CloudView(tools.platform.read_cloud().await.ok()),
        ControlEffect::ReadPrices => ControlEvent::Prices(tools.platform.read_prices().await.ok()?),
        ControlEffect::AskEngine { upstream, address, from } => {
            ask_engine(&tools, upstream, &address, from).await?
        }
        ControlEffect::AskService { upstream, address } => {
            let asked_at = Instant::now();
            let load: LoadReport = fetch_load(&tools.reports, &address).await?;
            ControlEvent::ServiceReport(upstream, asked_at, load)
        }
        ControlEffect::OrderLoad { plan, address, order } => {
            let result = tools.engines.send_command(&address, &order).await;
            ControlEvent::LoadOrdered(plan, result.map_err(|error| error.to_string()))
        }
        ControlEffect::OrderStart(choice, token) => {
            let order = StartRequest {
                token,
                domain: choice.domain.clone(),
                class: choice.class.clone(),
                market: choice.market,
            };
            ControlEvent::StartOrdered(choice, tools.platform.start_instance(&order).await.ok())
        }
        ControlEffect::Send { .. }
        | ControlEffect::RebindSocket
        | ControlEffect::StartWork(_)
        | ControlEffect::BeginStop { .. }
        | ControlEffect::AskPeer { .. } => return None,
    })
}

async fn ask_engine(
    tools: &ControlTools,
    upstream: UpstreamId,
    address: &str,
    from: u64,
) -> Option<ControlEvent> {
    let asked_at = Instant::now();
    let report = tools.engines.report(address, from).await.ok()?;
    Some(ControlEvent::EngineReport(upstream, asked_at, Box::new(report)))
}

fn build_read(keys: &[&str], prefixes: &[&str]) -> TableRead {
    let own = |texts: &[&str]| texts.iter().map(|text| (*text).to_owned()).collect();
    TableRead { keys: own(keys), prefixes: own(prefixes) }
}

impl Actor for ControlActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.set_mailbox_capacity(MAILBOX);
        ctx.run_interval(TICK_PERIOD, |actor, ctx| {
            let now = Instant::now();
            let effects = actor.state.tick(now);
            actor.carry_out(effects, ctx);
            actor.metrics.report(&actor.state, now);
        });
    }

    fn stopped(&mut self, _ctx: &mut Context<Self>) {
        debug!(target: NODE, "The control thread has stopped.");
    }
}

impl Handler<ControlEvent> for ControlActor {
    type Result = ();

    fn handle(&mut self, msg: ControlEvent, ctx: &mut Context<Self>) {
        self.take_event(msg, ctx);
    }
}

/// Address of the control actor.
pub type ControlAddress = Addr<ControlActor>;
