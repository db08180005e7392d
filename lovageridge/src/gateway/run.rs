//! Starts the tasks of an instance and shuts it down gracefully.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::LocalSet;

use crate::clock::Clock;
use crate::gateway::Gateway;
use crate::gateway::accounts;
use crate::gateway::allotments;
use crate::gateway::crashes;
use crate::gateway::eventlog::EventLog;
use crate::gateway::eventlog::Severity;
use crate::gateway::fleet;
use crate::gateway::lead;
use crate::gateway::metrics::GatewayMetrics;
use crate::gateway::peers;
use crate::gateway::reload;
use crate::gateway::serve;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::sync;
use crate::telemetry::events;

/// Time for which a stopping instance accepts new requests, in ms: the load balancer probes once a
/// second and stops sending requests after the second failed probe.
const LINGER_MS: u64 = 2600;
/// Time before the kill at which the remaining requests are cancelled, in ms.
const GRACE_MARGIN_MS: u64 = 300;
/// Interval at which the shutdown checks its time limits and the requests in progress.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Time for the last bytes of responses and log lines to be written.
const FLUSH_DELAY: Duration = Duration::from_millis(60);

/// Why an instance could not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A port could not be opened.
    #[error("cannot listen on {addr}: {source}")]
    Listen {
        /// Local address.
        addr: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The runtime, a thread or a signal handler could not be set up.
    #[error("cannot start: {0}")]
    Start(#[from] std::io::Error),
    /// The metrics could not be registered.
    #[error("cannot register metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// Runs an instance until it receives SIGTERM or SIGINT; `read` reads the current settings.
///
/// # Errors
/// Returns why the instance could not start.
pub fn run(
    settings: GatewaySettings,
    read: impl Fn() -> reload::LoadedSettings,
) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve_until_stopped(settings, read))
}

async fn listen(addr: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(addr).await.map_err(|source| Error::Listen { addr, source })
}

async fn serve_until_stopped(
    settings: GatewaySettings,
    read: impl Fn() -> reload::LoadedSettings,
) -> Result<(), Error> {
    let clock = Clock::start();
    let peers_addr = settings.peers_addr;
    let socket = UdpSocket::bind(peers_addr)
        .await
        .map_err(|source| Error::Listen { addr: peers_addr, source })?;
    let transfers = listen(peers_addr).await?;
    let callers = listen(settings.callers_addr).await?;
    let ready = listen(settings.ready_addr).await?;
    let metrics = listen(settings.metrics_addr).await?;
    let log = EventLog::start(settings.instance_id.clone(), clock, std::io::stdout())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hangup = signal(SignalKind::hangup())?;
    let gateway = Gateway::new(settings, clock, socket, log, GatewayMetrics::new()?);
    let gateway = Rc::new(gateway);
    gateway
        .log
        .line(events::READY, Severity::Notable)
        .text("callers", gateway.settings().callers_addr)
        .text("domain", &gateway.settings().domain)
        .number("incarnation", gateway.incarnation)
        .emit();
    let share = |gateway: &Rc<Gateway>| Rc::clone(gateway);
    tokio::task::spawn_local(sync::run_operator(share(&gateway)));
    tokio::task::spawn_local(sync::run_workers(share(&gateway)));
    tokio::task::spawn_local(peers::driver::run_receiver(share(&gateway)));
    tokio::task::spawn_local(peers::driver::run_heartbeats(share(&gateway)));
    tokio::task::spawn_local(sync::transfer::run(share(&gateway)));
    tokio::task::spawn_local(sync::transfer::serve(share(&gateway), transfers));
    tokio::task::spawn_local(peers::driver::run_demand(share(&gateway)));
    tokio::task::spawn_local(crashes::persist::run(share(&gateway)));
    tokio::task::spawn_local(accounts::driver::run(share(&gateway)));
    tokio::task::spawn_local(lead::driver::run(share(&gateway)));
    tokio::task::spawn_local(allotments::driver::run(share(&gateway)));
    tokio::task::spawn_local(fleet::driver::run(share(&gateway)));
    tokio::task::spawn_local(serve::accept_callers(share(&gateway), callers));
    tokio::task::spawn_local(serve::serve_readiness(share(&gateway), ready));
    tokio::task::spawn_local(serve::serve_metrics(share(&gateway), metrics));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = reload::run(&gateway, read, hangup) => {}
    }
    shut_down(&gateway).await;
    Ok(())
}

/// Shuts the instance down; requests that can finish within the grace period are not interrupted.
async fn shut_down(gateway: &Rc<Gateway>) {
    let stop_requested_ms = gateway.now_ms();
    gateway.shutting_down.set(true);
    gateway.log.line(events::LEAVING, Severity::Notable).emit();
    lead::driver::release(gateway).await;
    let stop_deadline_ms =
        stop_requested_ms + gateway.settings().grace_ms.saturating_sub(GRACE_MARGIN_MS);
    let linger_until_ms = (stop_requested_ms + LINGER_MS).min(stop_deadline_ms);
    while gateway.now_ms() < linger_until_ms {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    gateway.refusing_requests.set(true);
    gateway.drain_started.notify_waiters();
    while gateway.in_progress() > 0 && gateway.now_ms() < stop_deadline_ms {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    tokio::time::sleep(FLUSH_DELAY).await;
    let line = gateway.log.line(events::STOPPED, Severity::Notable);
    line.number("requests_left", gateway.in_progress() as u64).emit();
    tokio::time::sleep(FLUSH_DELAY).await;
}
