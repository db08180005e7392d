//! One entry instance: starts the threads of all duties and ends them gracefully.

use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use log::info;

use crate::admin;
use crate::attempts::claims;
use crate::attempts::claims::driver::Claims;
use crate::callers::server;
use crate::callers::server::CallersPort;
use crate::clock::unix_ms;
use crate::config;
use crate::context::Context;
use crate::context::OwnId;
use crate::dispatch;
use crate::membership;
use crate::membership::Identity;
use crate::membership::Members;
use crate::placement;
use crate::settings::Settings;
use crate::telemetry::events;
use crate::telemetry::export;
use crate::telemetry::metrics::Metrics;
use crate::telemetry::trace::Tracer;

/// Longest wait for the releases of led cells to reach the log.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time without requests after which a stopping instance ends, in ms.
const QUIET_MS: u64 = 300;
/// Pause between checks for requests in progress, in ms.
const DRAIN_CHECK_MS: u64 = 20;

/// Why an instance could not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A port could not be opened.
    #[error("cannot listen on {addr}: {reason}")]
    Listen {
        /// Address of the port.
        addr: std::net::SocketAddr,
        /// Error of the system.
        reason: String,
    },
    /// A thread could not be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] std::io::Error),
    /// The metrics could not be registered.
    #[error("cannot register metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// A running instance.
pub struct Instance {
    ctx: Arc<Context>,
    port: Arc<CallersPort>,
    threads: Vec<JoinHandle<()>>,
}

impl Instance {
    /// Opens the ports and starts all duties.
    ///
    /// # Errors
    /// Returns which port or thread could not be had.
    pub fn start(settings: Settings) -> Result<Self, Error> {
        let listen = |addr, reason: String| Error::Listen { addr, reason };
        let peers_addr = settings.peers_addr;
        let callers_addr = settings.callers_addr;
        let admin_addr = settings.admin_addr;
        let socket = UdpSocket::bind(peers_addr).map_err(|e| listen(peers_addr, e.to_string()))?;
        let questions =
            TcpListener::bind(peers_addr).map_err(|e| listen(peers_addr, e.to_string()))?;
        let callers = tiny_http::Server::http(callers_addr)
            .map_err(|e| listen(callers_addr, e.to_string()))?;
        let own = OwnId {
            instance_id: settings.instance_id.clone(),
            domain: settings.domain.clone(),
            incarnation: unix_ms(),
        };
        let members = Members::new(Identity {
            instance_id: own.instance_id.clone(),
            domain: own.domain.clone(),
            heartbeat_ms: settings.timing.beat_ms,
            suspect_ms: settings.timing.suspect_ms,
        });
        let metrics = Metrics::new()?;
        let traces_addr = settings.traces_addr;
        let dropped = metrics.spans_dropped_total.clone();
        let (tracer, spans) = match traces_addr {
            Some(_) => Tracer::exporting(dropped),
            None => Tracer::local(dropped),
        };
        let (dispatch_ring, dispatch_events) =
            flume::bounded(dispatch::driver::EVENT_QUEUE_CAPACITY);
        let (lead_ring, lead_events) = flume::bounded(placement::driver::EVENT_QUEUE_CAPACITY);
        let ctx = Arc::new(Context::new(
            settings,
            own,
            metrics,
            tracer,
            dispatch_ring,
            lead_ring,
            socket,
            members,
        ));
        let (claims, claim_records) = Claims::new();
        let port = Arc::new(CallersPort::new(Arc::clone(&ctx), Arc::new(claims)));
        let mut instance = Self { ctx, port, threads: Vec::new() };
        instance.spawn("config", |port| config::driver::run(&port.ctx))?;
        instance.spawn("list", |port| membership::driver::run_list(&port.ctx))?;
        instance.spawn("beats", |port| membership::driver::run_heartbeats(&port.ctx))?;
        instance.spawn("receiver", |port| membership::driver::run_receiver(&port.ctx))?;
        instance.spawn("questions", move |port| {
            membership::driver::run_peer_requests(&port.ctx, &questions);
        })?;
        instance
            .spawn("dispatch", move |port| dispatch::driver::run(&port.ctx, &dispatch_events))?;
        instance.spawn("placement", move |port| placement::driver::run(&port.ctx, &lead_events))?;
        instance.spawn("claims", |port| claims::driver::run_tail(&port.ctx, &port.claims))?;
        for _ in 0..claims::driver::APPEND_THREADS {
            let records = claim_records.clone();
            instance.spawn("claim-appends", move |port| {
                claims::driver::run_appends(&port.ctx, &port.claims, &records);
            })?;
        }
        if let (Some(addr), Some(spans)) = (traces_addr, spans) {
            instance.spawn("spans", move |port| export::run(&port.ctx, addr, &spans))?;
        }
        let callers = Arc::new(callers);
        for _ in 0..server::ACCEPT_THREADS {
            let callers = Arc::clone(&callers);
            instance.spawn("callers", move |port| server::run(&port, &callers))?;
        }
        let admin = admin::server::listen(&instance.port, admin_addr)
            .map_err(|reason| listen(admin_addr, reason))?;
        instance.spawn("admin", move |port| admin::server::run(&port.ctx, &admin))?;
        Ok(instance)
    }

    fn spawn(
        &mut self,
        name: &str,
        body: impl FnOnce(Arc<CallersPort>) + Send + 'static,
    ) -> Result<(), Error> {
        let port = Arc::clone(&self.port);
        let builder = thread::Builder::new().name(name.to_owned());
        self.threads.push(builder.spawn(move || body(port))?);
        Ok(())
    }

    /// Returns the shared parts.
    pub fn context(&self) -> &Arc<Context> {
        &self.ctx
    }

    /// Shuts the instance down without cutting off any request.
    ///
    /// The instance tells that it is not ready, serves on while the balancer notices, waits for
    /// the requests in progress, releases its cells and ends its threads.
    pub fn close(self) {
        let id = self.ctx.own.instance_id.clone();
        info!("{}", events::LEAVING.text(&id, ""));
        self.ctx.leave();
        membership::driver::send_heartbeat(&self.ctx);
        let timing = self.ctx.settings.timing.clone();
        self.ctx.pause_ms(timing.linger_ms);
        let until_ms = self.ctx.clock.now_ms() + timing.drain_limit_ms;
        let mut quiet_ms = 0;
        while quiet_ms < QUIET_MS && self.ctx.clock.now_ms() < until_ms {
            self.ctx.pause_ms(DRAIN_CHECK_MS);
            quiet_ms = if self.port.in_progress() > 0 { 0 } else { quiet_ms + DRAIN_CHECK_MS };
        }
        let (done, released) = flume::bounded(1);
        self.ctx.offer_lead(placement::event::Event::Release { done });
        // With the log down the leads lapse by themselves.
        let _ = released.recv_timeout(RELEASE_TIMEOUT);
        self.ctx.stop();
        for thread in self.threads {
            // A thread that has panicked has nothing left to end.
            let _ = thread.join();
        }
        info!("{}", events::STOPPED.text(&id, ""));
    }
}
