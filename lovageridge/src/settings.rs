//! Settings of one instance, read from an INI file at startup.

use std::net::SocketAddr;

use crate::ini;
use crate::ini::Fault;
use crate::ini::SectionReader;

/// Most requests that one instance handles at once.
const DEFAULT_MAX_REQUESTS: u64 = 600;
/// Largest request body in KiB.
const DEFAULT_MAX_BODY_KIB: u64 = 1024;
/// Time for which a stopping instance still accepts requests, in ms.
const DEFAULT_LINGER_MS: u64 = 1500;
/// Longest time that a stopping instance waits for requests in progress, in ms.
const DEFAULT_DRAIN_LIMIT_MS: u64 = 120_000;
/// Time between heartbeats to members of the same domain, in ms.
const DEFAULT_HEARTBEAT_MS: u64 = 150;
/// Time without heartbeats after which a member is suspected to have failed, in ms.
const DEFAULT_SUSPECT_MS: u64 = 700;
/// Duration of a leadership lease, in ms.
const DEFAULT_LEASE_MS: u64 = 1200;
/// Time that a new lead waits beyond the lease of its predecessor before its first order, in ms.
const DEFAULT_LEASE_MARGIN_MS: u64 = 200;

/// Settings of one instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Name of the instance, unique in the venture.
    pub instance_id: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Region of the instance.
    pub region: String,
    /// Address of the port for callers.
    pub callers_addr: SocketAddr,
    /// Address of the administration port.
    pub admin_addr: SocketAddr,
    /// Address of the UDP and TCP port for other instances.
    pub peers_addr: SocketAddr,
    /// Address at which other instances reach that port; the same as `peers_addr` if not set.
    pub advertised_peers_addr: SocketAddr,
    /// Address of the platform's log service.
    pub log_addr: SocketAddr,
    /// Address of the platform's instance list.
    pub list_addr: SocketAddr,
    /// Address of the trace collector; `None` if spans are not exported.
    pub traces_addr: Option<SocketAddr>,
    /// Limits on the load that the instance accepts.
    pub limits: Limits,
    /// Periods and timeouts of the instance.
    pub timing: Timing,
}

/// Limits on the load that one instance accepts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Most requests in progress at once.
    pub max_requests: usize,
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
}

/// Periods and timeouts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Time after a stop signal for which requests are still accepted, in ms.
    pub linger_ms: u64,
    /// Longest wait for requests in progress after that, in ms.
    pub drain_limit_ms: u64,
    /// Time between heartbeats to members of the same domain, in ms; the key is `beat_ms`.
    pub heartbeat_ms: u64,
    /// Time without heartbeats after which a member is suspected to have failed, in ms.
    pub suspect_ms: u64,
    /// Duration of a leadership lease, in ms.
    pub lease_ms: u64,
    /// Time that a new lead waits beyond the lease of its predecessor, in ms.
    pub lease_margin_ms: u64,
}

impl Settings {
    /// Parses settings from INI text.
    ///
    /// # Errors
    /// Returns every fault found, with its section and key.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let doc = ini::parse(text).map_err(|fault| vec![fault])?;
        let mut faults = Vec::new();
        check_sections(&doc, &mut faults);
        let empty = ::ini::Properties::new();
        let section = |name| doc.section(Some(name)).unwrap_or(&empty);

        let mut reader = SectionReader::new("instance", section("instance"), &mut faults);
        let instance_id = reader.required("id").to_owned();
        let domain = reader.required("domain").to_owned();
        let region = reader.required("region").to_owned();
        reader.finish();

        let mut reader = SectionReader::new("listen", section("listen"), &mut faults);
        let callers_addr = read_addr(&mut reader, "callers");
        let admin_addr = read_addr(&mut reader, "admin");
        let peers_addr = read_addr(&mut reader, "peers");
        let advertised_peers_addr =
            reader.parsed("advertised_peers", ADDR_FORMAT).unwrap_or(peers_addr);
        reader.finish();

        let mut reader = SectionReader::new("platform", section("platform"), &mut faults);
        let log_addr = read_addr(&mut reader, "log");
        let list_addr = read_addr(&mut reader, "list");
        let traces_addr = reader.parsed("traces", ADDR_FORMAT);
        reader.finish();

        let limits = read_limits(SectionReader::new("limits", section("limits"), &mut faults));
        let timing = read_timing(SectionReader::new("timing", section("timing"), &mut faults));

        if !faults.is_empty() {
            return Err(faults);
        }
        Ok(Self {
            instance_id,
            domain,
            region,
            callers_addr,
            admin_addr,
            peers_addr,
            advertised_peers_addr,
            log_addr,
            list_addr,
            traces_addr,
            limits,
            timing,
        })
    }
}

const SECTIONS: [&str; 5] = ["instance", "listen", "platform", "limits", "timing"];
const ADDR_FORMAT: &str = "an IP address and port such as 10.0.0.1:8080";

fn check_sections(doc: &::ini::Ini, faults: &mut Vec<Fault>) {
    for name in doc.sections().flatten() {
        if SECTIONS.contains(&name) {
            continue;
        }
        let hint = match ini::closest_name(name, SECTIONS) {
            Some(known) => format!("unknown section; did you mean [{known}]?"),
            None => format!("unknown section; known are {}", SECTIONS.join(", ")),
        };
        faults.push(Fault::new(name, "", hint));
    }
}

fn read_addr(reader: &mut SectionReader<'_>, key: &'static str) -> SocketAddr {
    let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
    if reader.required(key).is_empty() {
        return unspecified;
    }
    reader.parsed(key, ADDR_FORMAT).unwrap_or(unspecified)
}

fn read_limits(mut reader: SectionReader<'_>) -> Limits {
    let max_requests = reader.number("max_requests", DEFAULT_MAX_REQUESTS, 1, 20_000) as usize;
    let max_body_kib = reader.number("max_body_kib", DEFAULT_MAX_BODY_KIB, 1, 65_536) as usize;
    reader.finish();
    Limits { max_requests, max_body_bytes: max_body_kib * 1024 }
}

fn read_timing(mut reader: SectionReader<'_>) -> Timing {
    let timing = Timing {
        linger_ms: reader.number("linger_ms", DEFAULT_LINGER_MS, 0, 60_000),
        drain_limit_ms: reader.number("drain_limit_ms", DEFAULT_DRAIN_LIMIT_MS, 0, 3_600_000),
        heartbeat_ms: reader.number("beat_ms", DEFAULT_HEARTBEAT_MS, 20, 5_000),
        suspect_ms: reader.number("suspect_ms", DEFAULT_SUSPECT_MS, 100, 60_000),
        lease_ms: reader.number("lease_ms", DEFAULT_LEASE_MS, 300, 60_000),
        lease_margin_ms: reader.number("lease_margin_ms", DEFAULT_LEASE_MARGIN_MS, 10, 10_000),
    };
    if timing.suspect_ms < timing.heartbeat_ms * 3 {
        reader.add_fault("suspect_ms", "must be at least 3 times beat_ms");
    }
    reader.finish();
    timing
}
