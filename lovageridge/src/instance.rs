//! One entry instance: starts all driver threads and shuts them down gracefully.

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
use crate::context::OwnIdentity;
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

/// Timeout for appending the releases of led cells to the log.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time without requests in progress after which a draining instance stops, in ms.
const DRAIN_IDLE_MS: u64 = 300;
/// Interval between checks for requests in progress, in ms.
const DRAIN_POLL_INTERVAL_MS: u64 = 20;

/// Why an instance could not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A port could not be opened.
    #[error("cannot listen on {addr}: {reason}")]
    Listen {
        /// Address of the port.
        addr: std::net::SocketAddr,
        /// Error reported by the operating system.
        reason: String,
    },
    /// A driver thread could not be started.
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
    /// Opens the ports and starts all driver threads.
    ///
    /// # Errors
    /// Returns which port could not be opened or which thread could not be started.
    pub fn start(settings: Settings) -> Result<Self, Error> {
        let listen_error = |addr, reason: String| Error::Listen { addr, reason };
        let peers_addr = settings.peers_addr;
        let callers_addr = settings.callers_addr;
        let admin_addr = settings.admin_addr;
        let peers_socket =
            UdpSocket::bind(peers_addr).map_err(|e| listen_error(peers_addr, e.to_string()))?;
        let peers_listener =
            TcpListener::bind(peers_addr).map_err(|e| listen_error(peers_addr, e.to_string()))?;
        let callers_server = tiny_http::Server::http(callers_addr)
            .map_err(|e| listen_error(callers_addr, e.to_string()))?;
        let own = OwnIdentity {
            instance_id: settings.instance_id.clone(),
            domain: settings.domain.clone(),
            incarnation: unix_ms(),
        };
        let members = Members::new(Identity {
            instance_id: own.instance_id.clone(),
            domain: own.domain.clone(),
            heartbeat_ms: settings.timing.heartbeat_ms,
            suspect_ms: settings.timing.suspect_ms,
        });
        let metrics = Metrics::new()?;
        let traces_addr = settings.traces_addr;
        let dropped_total = metrics.spans_dropped_total.clone();
        let (tracer, spans) = match traces_addr {
            Some(_) => Tracer::with_exporter(dropped_total),
            None => Tracer::without_exporter(dropped_total),
        };
        let (dispatch_queue, dispatch_events) =
            flume::bounded(dispatch::driver::EVENT_QUEUE_CAPACITY);
        let (placement_queue, placement_events) =
            flume::bounded(placement::driver::EVENT_QUEUE_CAPACITY);
        let ctx = Arc::new(Context::new(
            settings,
            own,
            metrics,
            tracer,
            dispatch_queue,
            placement_queue,
            peers_socket,
            members,
        ));
        let (claims, claim_records) = Claims::new();
        let port = Arc::new(CallersPort::new(Arc::clone(&ctx), Arc::new(claims)));
        let mut instance = Self { ctx, port, threads: Vec::new() };
        instance.spawn_thread("config", |port| config::driver::run(&port.ctx))?;
        instance.spawn_thread("list", |port| membership::driver::run_list(&port.ctx))?;
        instance.spawn_thread("beats", |port| membership::driver::run_heartbeats(&port.ctx))?;
        instance.spawn_thread("receiver", |port| membership::driver::run_receiver(&port.ctx))?;
        instance.spawn_thread("questions", move |port| {
            membership::driver::run_peer_requests(&port.ctx, &peers_listener);
        })?;
        instance.spawn_thread("dispatch", move |port| {
            dispatch::driver::run(&port.ctx, &dispatch_events)
        })?;
        instance.spawn_thread("placement", move |port| {
            placement::driver::run(&port.ctx, &placement_events)
        })?;
        instance
            .spawn_thread("claims", |port| claims::driver::run_tail(&port.ctx, &port.claims))?;
        for _ in 0..claims::driver::APPEND_THREADS {
            let records = claim_records.clone();
            instance.spawn_thread("claim-appends", move |port| {
                claims::driver::run_appends(&port.ctx, &port.claims, &records);
            })?;
        }
        if let (Some(addr), Some(spans)) = (traces_addr, spans) {
            instance.spawn_thread("spans", move |port| export::run(&port.ctx, addr, &spans))?;
        }
        let callers_server = Arc::new(callers_server);
        for _ in 0..server::ACCEPT_THREADS {
            let callers_server = Arc::clone(&callers_server);
            instance.spawn_thread("callers", move |port| server::run(&port, &callers_server))?;
        }
        let admin = admin::server::listen(&instance.port, admin_addr)
            .map_err(|reason| listen_error(admin_addr, reason))?;
        instance.spawn_thread("admin", move |port| admin::server::run(&port.ctx, &admin))?;
        Ok(instance)
    }

    fn spawn_thread(
        &mut self,
        name: &str,
        run: impl FnOnce(Arc<CallersPort>) + Send + 'static,
    ) -> Result<(), Error> {
        let port = Arc::clone(&self.port);
        let builder = thread::Builder::new().name(name.to_owned());
        self.threads.push(builder.spawn(move || run(port))?);
        Ok(())
    }

    /// Returns the context that all threads share.
    pub fn context(&self) -> &Arc<Context> {
        &self.ctx
    }

    /// Shuts the instance down without interrupting requests in progress.
    ///
    /// The instance reports that it is not ready, continues to serve until load balancers have
    /// noticed, waits for the requests in progress (at most the drain limit), releases its cells
    /// and ends its threads.
    pub fn shut_down(self) {
        let instance_id = self.ctx.own.instance_id.clone();
        info!("{}", events::LEAVING.text(&instance_id, ""));
        self.ctx.start_leaving();
        membership::driver::send_heartbeat(&self.ctx);
        let timing = self.ctx.settings.timing.clone();
        self.ctx.pause_ms(timing.linger_ms);
        let deadline_ms = self.ctx.clock.now_ms() + timing.drain_limit_ms;
        let mut idle_ms = 0;
        while idle_ms < DRAIN_IDLE_MS && self.ctx.clock.now_ms() < deadline_ms {
            self.ctx.pause_ms(DRAIN_POLL_INTERVAL_MS);
            idle_ms =
                if self.port.in_progress() > 0 { 0 } else { idle_ms + DRAIN_POLL_INTERVAL_MS };
        }
        let (done, released) = flume::bounded(1);
        self.ctx.offer_placement_event(placement::event::Event::Release { done });
        // If the log is unreachable, the leases of the cells expire without a release.
        let _ = released.recv_timeout(RELEASE_TIMEOUT);
        self.ctx.stop();
        for thread in self.threads {
            // An error means that the thread panicked, so it has ended as well.
            let _ = thread.join();
        }
        info!("{}", events::STOPPED.text(&instance_id, ""));
    }
}
