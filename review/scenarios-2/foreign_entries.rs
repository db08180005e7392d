//! Another writer has left large entries among the workers' status reports; all machines then lose power and
//! start again. The workers' own entries hold, so requests are to be served.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::gateway::Gateway;
use crate::gateway::Settings;
use crate::gateway::free_ports;
use crate::http::Connection;
use crate::record::Record;
use crate::site;
use crate::site::Reports;
use crate::site::Route;
use crate::store::Store;
use crate::worker::Spec;
use crate::worker::Worker;

const ROUTE: &str = "slot-look";
const INSTANCES: usize = 2;
/// Entries of the other writer, and the size of each; the largest record has 262,144 bytes.
const ENTRIES: usize = 5;
const ENTRY_BYTES: usize = 250_000;
/// Time without power.
const DOWN: Duration = Duration::from_millis(1400);
/// `RecoveryS`.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time in which requests are sent before the fault, and after the recovery.
const TRAFFIC: Duration = Duration::from_secs(4);
const INTERVAL: Duration = Duration::from_millis(50);

pub fn run(record: &Arc<Record>, trouble: bool, folder: &Path) -> Verdict {
    let store = Arc::new(Store::start());
    let route = Route {
        name: ROUTE,
        kind: "idempotent",
        service: "plain",
        timeout_ms: 1200,
        objective_ms: 150,
        gap_ms: 0,
        max_attempts: 2,
        is_resumable: false,
    };
    store.put("keyed.op", "config", &site::config(1, &[route], &[]));
    let start = |id: &'static str| {
        let spec = Spec {
            id,
            service: "plain",
            models: &[],
            slots: 6,
            queue: 24,
            events: 0,
            event_interval: Duration::from_millis(30),
            is_unframed: false,
            reads_late: false,
            ignores_close: false,
        };
        Arc::new(Worker::start(spec, record))
    };
    let reports = Reports::start(&store, &[start("i-1"), start("i-2"), start("i-3")]);
    let ips = ["127.0.0.4", "127.0.0.5"];
    let peers_port = free_ports(ips[0], 16);
    let start_all = || -> Vec<Gateway> {
        let settings = ips.iter().take(INSTANCES).zip(["edge-1", "edge-2"]);
        let settings =
            settings.map(|(ip, name)| Settings { name, ip, peers_port, store: store.addr() });
        settings.map(|settings| Gateway::start(&settings, folder)).collect()
    };
    let gateways = start_all();
    if !gateways.iter().all(Gateway::wait_until_ready) {
        return Verdict::CouldNotRun;
    }
    if trouble {
        for at in 0..ENTRIES {
            let value = "x".repeat(ENTRY_BYTES);
            store.put("keyed.servers", &format!("dashboard copy {at}"), &value);
        }
        record.line("another writer has written its entries");
    }
    let (served, sent) = send_requests(&gateways, "before", record);
    record.line(&format!("before the fault, {served} of {sent} requests are served"));
    if served * 4 < sent {
        return Verdict::CouldNotRun;
    }
    gateways.into_iter().for_each(Gateway::close);
    record.line("all machines have lost power");
    thread::sleep(DOWN);
    let gateways = start_all();
    record.line("all machines are back");
    thread::sleep(RECOVERY);
    let (served, sent) = send_requests(&gateways, "after", record);
    record.line(&format!("after RecoveryS, {served} of {sent} requests are served"));
    gateways.into_iter().for_each(Gateway::close);
    reports.close();
    if served * 4 < sent { Verdict::Broken } else { Verdict::Held }
}

/// Sends requests at a steady rate, each on a connection of its own; returns how many were served, and sent.
fn send_requests(gateways: &[Gateway], name: &str, record: &Record) -> (usize, usize) {
    let until = Instant::now() + TRAFFIC;
    let mut served = 0;
    let mut sent = 0;
    while Instant::now() < until {
        let id = format!("{name}{sent}");
        record.line(&format!("caller sends {id}"));
        let status = send_request(&gateways[sent % gateways.len()], &id);
        record.line(&format!("caller of {id} gets {status:?}"));
        served += usize::from(status == Some(200));
        sent += 1;
        thread::sleep(INTERVAL);
    }
    (served, sent)
}

fn send_request(gateway: &Gateway, id: &str) -> Option<u16> {
    let mut connection = Connection::open(gateway.front).ok()?;
    connection.set_patience(Duration::from_millis(2500)).ok()?;
    let request = format!(
        "GET /{ROUTE}/x HTTP/1.1\r\nHost: {}\r\nX-Lovageridge-Attempt-Id: {id}\r\n\
         X-Lovageridge-Deadline-Ms: 2500\r\n\r\n",
        site::HOST
    );
    connection.send(&request).ok()?;
    connection.read_message().map(|response| response.status())
}
