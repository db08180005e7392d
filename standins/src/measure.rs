//! Measures the real binary on loopback: added latency, throughput, memory, and the cost of control
//! against the numbers of instances, workers, models and edits.

use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use anyhow::anyhow;
use gumdrop::Options;
use lovageridge::config::record::SectionChange;
use lovageridge::upstream::stream;
use lovageridge::upstream::stream::GenerateRequest;

use crate::client;
use crate::client::Ask;
use crate::scenario::load::percentile;
use crate::venture::GROWERS_KEY;
use crate::venture::OPS_TOKEN;
use crate::venture::Shape;
use crate::world::World;

/// Pairs of calls, one direct and one through an entry.
const PAIRS: usize = 400;
/// Callers at once for the throughput.
const CALLERS: usize = 32;
/// Calls of each.
const CALLS_EACH: usize = 100;
/// Streams open at once for the memory.
const STREAMS: usize = 500;
/// Time over which idle cost is counted.
const IDLE_TIME: Duration = Duration::from_secs(8);
/// Time allowed for one direct call.
const DIRECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Arguments of the measurements.
#[derive(Debug, Options)]
pub struct MeasureOptions {
    /// print help
    pub help: bool,
    /// binary of lovageridge; the one beside this program by default
    #[options(no_short, meta = "FILE")]
    pub binary: Option<PathBuf>,
}

/// Returns the binary to measure.
///
/// # Errors
/// Returns that the path of this program is not known.
pub fn binary(named: Option<PathBuf>) -> Result<PathBuf, anyhow::Error> {
    match named {
        Some(path) => Ok(path),
        None => Ok(std::env::current_exe()?.with_file_name("lovageridge")),
    }
}

/// Prints the cost of one entry to its callers.
///
/// # Errors
/// Returns what could not be started or measured.
pub fn entry(options: &MeasureOptions) -> Result<(), anyhow::Error> {
    let shape = Shape {
        domains: vec!["a".to_owned()],
        entries: 1,
        workers: 2,
        bookings: 1,
        slots: 600,
        token_ms: 0,
        ..Shape::default()
    };
    let begun = Instant::now();
    let world = World::start(binary(options.binary.clone())?, shape, "linger_ms = 100")?;
    println!("start of the venture to ready: {} ms", begun.elapsed().as_millis());
    let warm = client::complete(&ask(&world, 0, 1));
    if !warm.whole {
        return Err(anyhow!("the model is not served: {warm:?}"));
    }
    latency(&world)?;
    throughput(&world);
    world.close()?;
    memory(options)
}

fn ask(world: &World, number: usize, tokens: u64) -> Ask {
    Ask {
        entry: world.entries[0].addrs.callers,
        key: GROWERS_KEY.to_owned(),
        name: Shape::model(0),
        adapter_of: None,
        prompt: format!("question {number}"),
        tokens,
        deadline_ms: 30_000,
        priority: None,
    }
}

fn latency(world: &World) -> Result<(), anyhow::Error> {
    let holder = world.workers.iter().find(|n| !n.engine.state().held.is_empty());
    let addr = holder.ok_or_else(|| anyhow!("no worker holds the model"))?.relay.addr();
    let (mut direct, mut through) = (Vec::new(), Vec::new());
    for number in 0..PAIRS {
        let begun = Instant::now();
        let request = GenerateRequest {
            request_id: format!("direct-{number}"),
            model: Shape::model(0),
            adapter: None,
            input: format!("question {number}").into(),
            max_tokens: 1,
            priority: 1,
            resume_tokens: 0,
            resume_text: String::new(),
        };
        stream::generate(addr, &request, "", DIRECT_TIMEOUT, DIRECT_TIMEOUT)?.next_event()?;
        direct.push(begun.elapsed().as_micros() as u64);
        let begun = Instant::now();
        let got = client::complete(&ask(world, number, 1));
        if !got.whole {
            return Err(anyhow!("no whole answer: {got:?}"));
        }
        through.push(begun.elapsed().as_micros() as u64);
    }
    for (name, values) in [("direct", &mut direct), ("through an entry", &mut through)] {
        println!("{name}: median {} us, p99 {} us", percentile(values, 50), percentile(values, 99));
    }
    Ok(())
}

fn throughput(world: &World) {
    let before = world.entries[0].process.as_ref().and_then(|p| p.usage());
    let begun = Instant::now();
    let threads: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let ask = ask(world, caller, 1);
            std::thread::spawn(move || {
                (0..CALLS_EACH).filter(|_| client::complete(&ask).whole).count()
            })
        })
        .collect();
    let whole: usize = threads.into_iter().map(|t| t.join().unwrap_or(0)).sum();
    let seconds = begun.elapsed().as_secs_f64();
    let after = world.entries[0].process.as_ref().and_then(|p| p.usage());
    let cpu_ms = after.zip(before).map_or(0, |(a, b)| a.1 - b.1);
    println!(
        "{CALLERS} callers: {:.0} requests/s, {} of {} whole, {:.2} ms of processor time a request",
        whole as f64 / seconds,
        whole,
        CALLERS * CALLS_EACH,
        cpu_ms as f64 / whole.max(1) as f64
    );
}

fn memory(options: &MeasureOptions) -> Result<(), anyhow::Error> {
    let shape = Shape {
        domains: vec!["a".to_owned()],
        entries: 1,
        workers: 2,
        slots: 600,
        token_ms: 72,
        ..Shape::default()
    };
    let world = World::start(
        binary(options.binary.clone())?,
        shape,
        "linger_ms = 100\n[limits]\nmax_requests = 900",
    )?;
    let rss = |world: &World| world.entries[0].process.as_ref().and_then(|p| p.usage());
    let idle = rss(&world).map_or(0, |u| u.0);
    client::complete(&ask(&world, 0, 1));
    let threads: Vec<_> = (0..STREAMS)
        .map(|number| {
            let ask = ask(&world, number, 100);
            std::thread::spawn(move || client::complete(&ask))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(4));
    let open = world.status(0)["dispatch"]["in_flight"].as_u64().unwrap_or(0);
    let busy = rss(&world).map_or(0, |u| u.0);
    let mut gaps: Vec<u64> = Vec::new();
    let mut whole = 0;
    let mut lost: Vec<String> = Vec::new();
    for thread in threads {
        let got = thread.join().unwrap_or_default();
        whole += usize::from(got.whole);
        if !got.whole {
            lost.push(format!("{} {}", got.status_code, got.code));
        }
        gaps.push(got.longest_gap_ms);
    }
    println!("resident memory: idle {idle} KiB, with {open} open streams {busy} KiB");
    println!(
        "{whole} of {STREAMS} whole; longest time between tokens of 72 ms: median {} ms, p99 {} ms",
        percentile(&mut gaps, 50),
        percentile(&mut gaps, 99)
    );
    lost.sort_unstable();
    lost.dedup();
    if !lost.is_empty() {
        println!("not whole: {}", lost.join(", "));
    }
    world.close()
}

/// Cost of control on the nodes of one venture, at rest.
struct IdleCost {
    cpu_pct: f64,
    sent_per_s: f64,
    received_per_s: f64,
    rss_kib: u64,
    log_read_bytes_per_s: f64,
    appends_per_s: f64,
}

/// Prints the cost of control against instances, workers, models and edits.
///
/// # Errors
/// Returns what could not be started or measured.
pub fn control(options: &MeasureOptions) -> Result<(), anyhow::Error> {
    let base = Shape { domains: vec!["a".to_owned(), "b".to_owned()], ..Shape::default() };
    println!(
        "| entries | workers | models | adapters | CPU % | sent B/s | received B/s | log bytes read B/s | appends/s | RSS KiB |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    let sizes = [
        (2, 4, 50, 50),
        (4, 4, 50, 50),
        (8, 4, 50, 50),
        (16, 4, 50, 50),
        (4, 12, 50, 50),
        (4, 24, 50, 50),
        (4, 48, 50, 50),
        (4, 4, 200, 1600),
        (4, 4, 620, 5200),
    ];
    for (entries, workers, models, adapters) in sizes {
        let shape = Shape { entries, workers, models, adapters, ..base.clone() };
        let world = World::start(binary(options.binary.clone())?, shape, "linger_ms = 50")?;
        let cost = idle_cost(&world)?;
        println!(
            "| {entries} | {workers} | {models} | {adapters} | {:.2} | {:.0} | {:.0} | {:.0} | {:.2} | {} |",
            cost.cpu_pct,
            cost.sent_per_s,
            cost.received_per_s,
            cost.log_read_bytes_per_s,
            cost.appends_per_s,
            cost.rss_kib
        );
        world.close()?;
    }
    edits(options, base)
}

fn metric(world: &World, at: usize, name: &str) -> f64 {
    let text = world.admin(at, "/metrics").map(|(_, text)| text).unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with(name) && !l.starts_with('#'));
    line.and_then(|l| l.split_whitespace().last()?.parse().ok()).unwrap_or(0.0)
}

fn idle_cost(world: &World) -> Result<IdleCost, anyhow::Error> {
    std::thread::sleep(Duration::from_secs(2));
    let nodes = world.entries.len() as f64;
    let sum = |name: &str| (0..world.entries.len()).map(|at| metric(world, at, name)).sum::<f64>();
    let cpu = || {
        let used = world.entries.iter().filter_map(|e| e.process.as_ref()?.usage());
        used.fold((0, 0), |(rss, cpu), usage| (rss + usage.0, cpu + usage.1))
    };
    let (sent, received) =
        (sum("lovageridge_control_bytes_sent"), sum("lovageridge_control_bytes_received"));
    let (appends, reads) = (world.log.appends(), world.log.read_bytes());
    let cpu_before = cpu().1;
    let begun = Instant::now();
    std::thread::sleep(IDLE_TIME);
    let seconds = begun.elapsed().as_secs_f64();
    let (rss, cpu_after) = cpu();
    let per_node = |value: f64| value / seconds / nodes;
    Ok(IdleCost {
        cpu_pct: per_node((cpu_after - cpu_before) as f64) / 10.0,
        sent_per_s: per_node(sum("lovageridge_control_bytes_sent") - sent),
        received_per_s: per_node(sum("lovageridge_control_bytes_received") - received),
        rss_kib: rss / world.entries.len() as u64,
        log_read_bytes_per_s: per_node((world.log.read_bytes() - reads) as f64),
        appends_per_s: (world.log.appends() - appends) as f64 / seconds,
    })
}

/// Replays edits and prints how soon each was in force and what it cost a node.
fn edits(options: &MeasureOptions, base: Shape) -> Result<(), anyhow::Error> {
    for (models, adapters, count) in [(50, 50, 60), (620, 5200, 30)] {
        let shape = Shape { entries: 8, workers: 4, models, adapters, ..base.clone() };
        let world = World::start(binary(options.binary.clone())?, shape, "linger_ms = 50")?;
        let cpu = |world: &World| {
            let used = world.entries.iter().filter_map(|e| e.process.as_ref()?.usage());
            used.map(|u| u.1).sum::<u64>()
        };
        let before = cpu(&world);
        let mut times = Vec::new();
        let mut base_version = 0;
        for number in 0..count {
            let change = SectionChange {
                section: "model.boards-weekly".to_owned(),
                base_version,
                body: Some(format!("service = lm-pool\nsize_mb = {}\n", 100 + number)),
            };
            let begun = Instant::now();
            let edit_id = format!("edit-{number}");
            let (status, reply) = world.edit(number % 8, OPS_TOKEN, &edit_id, &[change])?;
            let version = reply["version"].as_u64().unwrap_or(0);
            if status != 200 {
                return Err(anyhow!("an edit was refused: {reply}"));
            }
            base_version = version;
            let in_force = |w: &World| {
                (0..8).all(|at| metric(w, at, "lovageridge_config_version") >= version as f64)
            };
            if !world.wait_until(Duration::from_secs(5), in_force) {
                return Err(anyhow!("an edit was not in force in 5 s"));
            }
            times.push(begun.elapsed().as_millis() as u64);
        }
        let cpu_ms = (cpu(&world) - before) as f64 / 8.0 / count as f64;
        println!(
            "{count} edits of a document with {models} models and {adapters} adapters, 8 entries: \
             in force median {} ms, p99 {} ms; {cpu_ms:.1} ms of processor time a node and edit \
             (with the checks of this measurement)",
            percentile(&mut times, 50),
            percentile(&mut times, 99)
        );
        world.close()?;
    }
    Ok(())
}
