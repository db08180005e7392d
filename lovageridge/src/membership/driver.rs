//! The I/O driver of membership: heartbeats, datagrams, the platform's list, requests over TCP.

use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use log::info;
use log::warn;

use crate::config;
use crate::context::Context;
use crate::context::lock;
use crate::dispatch::driver::Event as DispatchEvent;
use crate::infra::list;
use crate::placement::event::Event as LeadEvent;
use crate::telemetry::events;
use crate::wire;
use crate::wire::Datagram;
use crate::wire::Heartbeat;
use crate::wire::Message;

/// Time between reads of the platform's list, in ms.
const LIST_PERIOD_MS: u64 = 500;
/// Timeout of a receive, so that the thread notices that the instance is stopping.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause of the TCP listener when no connection is waiting.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Sends heartbeats until the instance stops.
pub fn run_heartbeats(ctx: &Context) {
    while !ctx.is_stopped() {
        send_heartbeat(ctx);
        ctx.pause_ms(ctx.settings.timing.heartbeat_ms);
    }
}

/// Sends one round of heartbeats.
pub fn send_heartbeat(ctx: &Context) {
    let heartbeat = Heartbeat {
        incarnation: ctx.own.incarnation,
        domain: ctx.own.domain.clone(),
        peers_addr: ctx.settings.advertised_peers_addr,
        callers_addr: ctx.settings.callers_addr,
        config_version: ctx.config.current().version,
        leaving: ctx.is_leaving(),
        leads: lock(&ctx.led_cells).clone(),
        store: *lock(&ctx.store_usage),
    };
    let bytes = wire::encode(&ctx.own.instance_id, Message::Heartbeat(heartbeat));
    let targets = ctx.members().heartbeat_targets();
    for to in targets {
        ctx.send_bytes(to, &bytes);
    }
}

/// Reads the list until the instance stops; while it cannot be read, the last one stays valid.
pub fn run_list(ctx: &Context) {
    let mut reachable = true;
    while !ctx.is_stopped() {
        match list::read(ctx.settings.list_addr) {
            Ok(listed) => {
                let now_ms = ctx.clock.now_ms();
                ctx.members().on_list(&listed, now_ms);
                ctx.offer_dispatch_event(DispatchEvent::Listed(listed));
                if !reachable {
                    info!("{}", events::LIST_REACHABLE.text(&ctx.own.instance_id, ""));
                }
                reachable = true;
            }
            Err(error) => {
                if reachable {
                    let detail = error.to_string();
                    warn!("{}", events::LIST_UNREACHABLE.text(&ctx.own.instance_id, &detail));
                }
                reachable = false;
            }
        }
        ctx.pause_ms(LIST_PERIOD_MS);
    }
}

/// Receives datagrams until the instance stops.
pub fn run_receiver(ctx: &Context) {
    let mut buffer = vec![0; wire::DATAGRAM_MAX_BYTES];
    if let Err(error) = ctx.peers_socket.set_read_timeout(Some(RECEIVE_TIMEOUT)) {
        warn!("{}", events::PEERS_PORT.text(&ctx.own.instance_id, &error.to_string()));
    }
    while !ctx.is_stopped() {
        let Ok((len, _)) = ctx.peers_socket.recv_from(&mut buffer) else { continue };
        ctx.metrics.control_bytes_received.inc_by(len as u64);
        match wire::decode(&buffer[..len]) {
            Some(datagram) => on_datagram(ctx, datagram),
            None => ctx.metrics.datagrams_dropped.inc(),
        }
    }
}

fn on_datagram(ctx: &Context, datagram: Datagram) {
    let from = datagram.from;
    match datagram.message {
        Message::Heartbeat(heartbeat) => {
            let now_ms = ctx.clock.now_ms();
            ctx.members().on_heartbeat(&from, &heartbeat, now_ms);
        }
        Message::Worker(view) => ctx.offer_dispatch_event(DispatchEvent::Worker(view)),
        Message::ColdStartReply(reply) => ctx.offer_dispatch_event(DispatchEvent::Reply(reply)),
        Message::Admitted(report) => {
            ctx.offer_dispatch_event(DispatchEvent::Admitted { from, report })
        }
        Message::ColdStartRequest(request) => {
            // The reply goes to the address that the sender advertises, not to the source of the
            // datagram, which address translation may have changed.
            if let Some(reply_addr) = ctx.members().peers_addr(&from) {
                ctx.offer_placement_event(LeadEvent::ColdStartRequest {
                    from,
                    reply_addr: Some(reply_addr),
                    request,
                });
            }
        }
        Message::UsageReport(report) => {
            ctx.offer_placement_event(LeadEvent::UsageReport { from, report })
        }
    }
}

/// Serves requests of other instances over TCP until the instance stops.
pub fn run_peer_requests(ctx: &Context, listener: &TcpListener) {
    if let Err(error) = listener.set_nonblocking(true) {
        warn!("{}", events::PEERS_PORT.text(&ctx.own.instance_id, &error.to_string()));
        return;
    }
    while !ctx.is_stopped() {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(ACCEPT_PAUSE);
            continue;
        };
        if stream.set_nonblocking(false).is_ok() {
            config::driver::serve_snapshot(&Arc::clone(&ctx.config), stream);
        }
    }
}
