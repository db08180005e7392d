//! The demo: the Sohar sample on embedded stand-ins, with every part in this process.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use anyhow::anyhow;
use gumdrop::Options;
use lovageridge::config::record::Edit;
use lovageridge::config::record::Record;
use lovageridge::config::record::STREAM;
use lovageridge::config::record::SectionChange;
use lovageridge::document::parse;
use lovageridge::infra::list::ENTRY_SERVICE;
use lovageridge::infra::list::ListedInstance;
use lovageridge::infra::log::LogClient;
use lovageridge::instance::Instance;
use lovageridge::settings::Settings;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use crate::booking::Booking;
use crate::client;
use crate::client::Ask;
use crate::engine::Engine;
use crate::engine::EngineOptions;
use crate::list::List;
use crate::log::Log;
use crate::process::free_port;
use crate::scenario::load::percentile;
use crate::store::Store;
use crate::venture::EntryAddrs;
use crate::venture::settings;

/// The Sohar sample.
const DOCUMENT: &str = include_str!("../../samples/sohar.ini");
/// Failure domains of the sample.
const DOMAINS: [&str; 3] = ["sohar-a", "sohar-b", "saham-c"];
/// API key of the sample's growers.
const KEY: &str = "growers-demo-key";
/// Token of the sample's operators.
const TOKEN: &str = "ops-demo-token";
/// Model that the burst asks for.
const MODEL: &str = "gate-chat-ar";
/// Entry instances of the demo.
const ENTRIES: usize = 6;
/// Workers of lm-pool.
const WORKERS: usize = 12;
/// Upstreams of booking-app.
const BOOKINGS: usize = 3;
/// Accelerators of each worker and their memory, in MB.
const ACCELERATORS_MB: [u64; 2] = [40_000, 40_000];
/// Tokens of each answer.
const TOKENS: u64 = 24;

/// Arguments of the demo.
#[derive(Debug, Options)]
pub struct DemoOptions {
    /// print help
    pub help: bool,
    /// callers at each entry
    #[options(no_short, meta = "N", default = "10")]
    pub callers: usize,
    /// end after the burst instead of staying up
    #[options(no_short)]
    pub once: bool,
}

/// Everything that the demo runs.
struct Demo {
    log: Log,
    list: List,
    engines: Vec<Engine>,
    bookings: Vec<Booking>,
    instances: Vec<Instance>,
    callers: Vec<SocketAddr>,
    admins: Vec<SocketAddr>,
}

/// Runs the demo.
///
/// # Errors
/// Returns what could not be started, or a caller without a whole answer.
pub fn run(options: &DemoOptions) -> Result<(), anyhow::Error> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let demo = Demo::start()?;
    println!(
        "started {ENTRIES} entries, {WORKERS} engines and {BOOKINGS} booking services in {} domains",
        DOMAINS.len()
    );
    let result = demo.burst(options.callers);
    if result.is_ok() && !options.once {
        demo.print_calls();
        signals.forever().next();
    }
    demo.close();
    result
}

impl Demo {
    fn start() -> Result<Self, anyhow::Error> {
        let log = Log::start()?;
        let list = List::start(Duration::from_millis(500))?;
        let store = Arc::new(Store::new(8_000, 4, 4));
        let mut demo = Self {
            log,
            list,
            engines: Vec::new(),
            bookings: Vec::new(),
            instances: Vec::new(),
            callers: Vec::new(),
            admins: Vec::new(),
        };
        demo.publish()?;
        let mut listed = Vec::new();
        for at in 0..WORKERS {
            let engine = Engine::start(engine_options(at), Arc::clone(&store))?;
            let id = engine.id().to_owned();
            listed.push(entry_of_list(id, "lm-pool", DOMAINS[at % 3], engine.addr(), None));
            demo.engines.push(engine);
        }
        for (at, domain) in DOMAINS.iter().enumerate().take(BOOKINGS) {
            let booking = Booking::start()?;
            let id = format!("booking-{at}");
            listed.push(entry_of_list(id, "booking-app", domain, booking.addr(), None));
            demo.bookings.push(booking);
        }
        for at in 0..ENTRIES {
            listed.push(demo.start_entry(at)?);
        }
        demo.list.update(|list| *list = listed);
        demo.wait_ready()?;
        Ok(demo)
    }

    fn publish(&self) -> Result<(), anyhow::Error> {
        let sections = parse::split(DOCUMENT).map_err(|faults| anyhow!("{faults:?}"))?;
        let changes = sections.iter().map(|(section, body)| SectionChange {
            section: section.clone(),
            base_version: 0,
            body: Some(body.clone()),
        });
        let edit = Edit {
            edit_id: "demo".to_owned(),
            team: "demo".to_owned(),
            changes: changes.collect(),
            written_unix_ms: lovageridge::clock::unix_ms(),
        };
        LogClient::new(self.log.addr()).append(STREAM, &Record::Edit(edit))?;
        Ok(())
    }

    fn start_entry(&mut self, at: usize) -> Result<ListedInstance, anyhow::Error> {
        let local = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let peers = local(free_port()?);
        let addrs = EntryAddrs {
            callers: local(free_port()?),
            admin: local(free_port()?),
            peers,
            advertised_peers: peers,
            log: self.log.addr(),
            list: self.list.addr(),
            traces: None,
        };
        let id = format!("entry-{at}");
        let domain = DOMAINS[at % DOMAINS.len()];
        let text = settings(&id, domain, "om-north", &addrs, "linger_ms = 200");
        let settings = Settings::parse(&text).map_err(|faults| anyhow!("{faults:?}"))?;
        self.instances.push(Instance::start(settings)?);
        self.callers.push(addrs.callers);
        self.admins.push(addrs.admin);
        Ok(entry_of_list(id, ENTRY_SERVICE, domain, addrs.callers, Some(peers)))
    }

    /// Waits until every entry has the document and every domain's cell has a lead.
    fn wait_ready(&self) -> Result<(), anyhow::Error> {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let configured =
                self.instances.iter().all(|i| i.context().config.current().version > 0);
            let fenced = self.engines.iter().all(|e| e.state().fence > 0);
            if configured && fenced {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(anyhow!("the entries are not ready"))
    }

    fn burst(&self, callers_each: usize) -> Result<(), anyhow::Error> {
        let callers = callers_each * self.callers.len();
        println!("{callers} callers ask {ENTRIES} entries for the cold model {MODEL} at once");
        let threads: Vec<_> = (0..callers)
            .map(|at| {
                let ask = Ask {
                    entry: self.callers[at % self.callers.len()],
                    key: KEY.to_owned(),
                    name: MODEL.to_owned(),
                    adapter_of: None,
                    prompt: format!("Which dryer is free tonight? ({at})"),
                    tokens: TOKENS,
                    deadline_ms: 20_000,
                    priority: Some("interactive"),
                };
                std::thread::spawn(move || client::complete(&ask))
            })
            .collect();
        let all: Vec<_> = threads.into_iter().map(|t| t.join().unwrap_or_default()).collect();
        let whole = all.iter().filter(|g| g.whole).count();
        let loads: u64 =
            self.engines.iter().filter_map(|e| e.truth().loads.get(MODEL).copied()).sum();
        let mut firsts: Vec<u64> = all.iter().filter_map(|g| g.first_token_ms).collect();
        let mut totals: Vec<u64> = all.iter().map(|g| g.total_ms).collect();
        println!("loads of the model, counted at the engines: {loads}");
        println!("whole answers: {whole} of {callers}");
        println!(
            "first token: median {} ms, p99 {} ms; total: median {} ms, p99 {} ms",
            percentile(&mut firsts, 50),
            percentile(&mut firsts, 99),
            percentile(&mut totals, 50),
            percentile(&mut totals, 99)
        );
        if whole == callers { Ok(()) } else { Err(anyhow!("some callers got no whole answer")) }
    }

    fn print_calls(&self) {
        let (entry, admin) = (self.callers[0], self.admins[0]);
        println!("\nto try:");
        println!(
            "  curl -N http://{entry}/v1/completions -H 'authorization: Bearer {KEY}' \
             -d '{{\"model\":\"{MODEL}\",\"prompt\":\"hello\",\"max_tokens\":20,\"stream\":true}}'"
        );
        println!("  curl http://{entry}/v1/models -H 'authorization: Bearer {KEY}'");
        println!(
            "  curl http://{entry}/booking/slots -H 'authorization: Bearer {KEY}' \
             -H 'idempotency-key: truck-7' -d 'dryer 3 at 21:00'"
        );
        println!("  curl http://{admin}/v1/status -H 'authorization: Bearer {TOKEN}'");
        println!("  curl http://{admin}/v1/explain/{MODEL} -H 'authorization: Bearer {TOKEN}'");
        println!("  curl http://{admin}/metrics");
        println!("\nCtrl-C ends the demo.");
    }

    fn close(self) {
        let closing: Vec<_> =
            self.instances.into_iter().map(|i| std::thread::spawn(move || i.shut_down())).collect();
        for thread in closing {
            // An instance that has panicked has nothing left to end.
            let _ = thread.join();
        }
        self.engines.into_iter().for_each(Engine::close);
        self.bookings.into_iter().for_each(Booking::close);
        self.list.close();
        self.log.close();
    }
}

fn engine_options(at: usize) -> EngineOptions {
    EngineOptions {
        id: format!("worker-{at:02}"),
        accelerators_mb: ACCELERATORS_MB.to_vec(),
        slots: 16,
        host_mb: 96_000,
        token_ms: 30,
        checks_fencing: true,
    }
}

fn entry_of_list(
    id: String,
    service: &str,
    domain: &str,
    addr: SocketAddr,
    peers_addr: Option<SocketAddr>,
) -> ListedInstance {
    ListedInstance {
        id,
        service: service.to_owned(),
        domain: domain.to_owned(),
        addr,
        peers_addr,
        leaving: false,
    }
}
