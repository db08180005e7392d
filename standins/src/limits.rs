//! Compares ways of holding one rate over many instances, in virtual time.
//!
//! The ways differ in what an instance may admit before it hears from the others; the exchange of
//! totals is late and loses messages. Demand comes at all instances at once, then moves.

use gumdrop::Options;
use lovageridge::admission::limit::LimitReport;
use lovageridge::admission::limit::ShareLimit;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Length of a run, in ms.
const RUN_MS: u64 = 120_000;
/// Limit over all instances, in tokens per second.
const LIMIT_PER_S: u64 = 20_000;
/// Cost of one request, in tokens.
const COST: u64 = 20;
/// Part of the messages that is lost, in percent.
const LOSS_PCT: u32 = 5;
/// Longest time that a report is on its way, in ms; later ones overtake earlier ones.
const LATE_MAX_MS: u64 = 150;
/// Length of the window over which bursts are counted, in ms.
const WINDOW_MS: u64 = 1000;
/// Demand over the limit, in percent.
const DEMAND_PCT: u64 = 300;
/// Time after which the demand moves to other instances, in ms.
const MOVE_MS: u64 = 20_000;

/// Arguments of the comparison.
#[derive(Debug, Options)]
pub struct LimitsOptions {
    /// print help
    pub help: bool,
    /// seed of the random numbers
    #[options(no_short, meta = "N", default = "1")]
    pub seed: u64,
}

/// A way of holding the limit on one instance.
enum Way {
    /// A counter that starts at zero in each window, as of the last exchange.
    Fixed(Window),
    /// The same with the previous window weighed in.
    Sliding(Window),
    /// Each instance has an even part.
    Divided(ShareLimit),
    /// Parts follow demand, deviations are paid back.
    Borrowing(Box<ShareLimit>),
}

/// State of a window on one instance.
#[derive(Clone, Copy, Default)]
struct Window {
    started_ms: u64,
    previous: u64,
    shared: u64,
    local: u64,
}

impl Window {
    fn roll(&mut self, now_ms: u64) {
        while now_ms >= self.started_ms + WINDOW_MS {
            self.previous = self.shared + self.local;
            self.shared = 0;
            self.local = 0;
            self.started_ms += WINDOW_MS;
        }
    }

    fn admit(&mut self, sliding: bool, now_ms: u64) -> bool {
        self.roll(now_ms);
        let limit = LIMIT_PER_S * WINDOW_MS / 1000;
        let left_ms = self.started_ms + WINDOW_MS - now_ms;
        let old = if sliding { self.previous * left_ms / WINDOW_MS } else { 0 };
        let fits = old + self.shared + self.local + COST <= limit;
        if fits {
            self.local += COST;
        }
        fits
    }
}

impl Way {
    fn admit(&mut self, now_ms: u64) -> bool {
        match self {
            Self::Fixed(window) => window.admit(false, now_ms),
            Self::Sliding(window) => window.admit(true, now_ms),
            Self::Divided(limit) => limit.admit(COST, now_ms).is_ok(),
            Self::Borrowing(limit) => limit.admit(COST, now_ms).is_ok(),
        }
    }
}

/// A report on its way.
struct Post {
    due_ms: u64,
    from: usize,
    to: usize,
    report: LimitReport,
}

/// Result of one run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outcome {
    /// Deviation of all admitted tokens from the limit over the run, in percent.
    pub error_pct: f64,
    /// Most tokens admitted in any second, over the limit.
    pub burst: f64,
}

/// Names of the ways, in the order of `run`.
pub const WAYS: [&str; 4] = ["fixed window", "sliding window", "divided", "borrowing"];

/// Runs way number `way` over `instances` instances with exchanges every `exchange_ms`.
pub fn run(way: usize, instances: usize, exchange_ms: u64, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let count = instances as u64;
    let make = || match way {
        0 => Way::Fixed(Window::default()),
        1 => Way::Sliding(Window::default()),
        2 => Way::Divided(ShareLimit::new(LIMIT_PER_S, count, 0)),
        _ => Way::Borrowing(Box::new(ShareLimit::new(LIMIT_PER_S, count, 0))),
    };
    let mut ways: Vec<Way> = (0..instances).map(|_| make()).collect();
    let mut told = vec![0; instances];
    let mut flushed: Vec<(u64, u64)> = Vec::new();
    let mut admitted: Vec<u64> = vec![0; RUN_MS as usize];
    let per_ms = LIMIT_PER_S as f64 * DEMAND_PCT as f64 / 100.0 / 1000.0 / COST as f64;
    let mut owed = 0.0;
    let offsets: Vec<u64> = (0..instances).map(|_| rng.random_range(0..exchange_ms)).collect();
    let mut posts: Vec<Post> = Vec::new();
    for now_ms in 0..RUN_MS {
        deliver(&mut ways, &mut posts, now_ms);
        owed += per_ms;
        while owed >= 1.0 {
            owed -= 1.0;
            let at = target(instances, now_ms, &mut rng);
            if ways[at].admit(now_ms) {
                admitted[now_ms as usize] += COST;
                told[at] += COST;
            }
        }
        for (at, offset_ms) in offsets.iter().enumerate() {
            if now_ms % exchange_ms == *offset_ms {
                exchange(&mut ways, at, &mut flushed, &mut told, &mut posts, now_ms, &mut rng);
            }
        }
    }
    outcome(&admitted)
}

/// Returns where a request arrives: everywhere at first, then at a third of the instances in turn.
fn target(instances: usize, now_ms: u64, rng: &mut SmallRng) -> usize {
    let turn = (now_ms / MOVE_MS) as usize;
    if turn.is_multiple_of(2) || instances < 3 {
        return rng.random_range(0..instances);
    }
    let third = instances / 3;
    (turn * third + rng.random_range(0..third)) % instances
}

fn exchange(
    ways: &mut [Way],
    at: usize,
    flushed: &mut Vec<(u64, u64)>,
    told: &mut [u64],
    posts: &mut Vec<Post>,
    now_ms: u64,
    rng: &mut SmallRng,
) {
    let instances = ways.len();
    match &mut ways[at] {
        Way::Fixed(window) | Way::Sliding(window) => {
            // A counter store: the flush is atomic, as in the paper; a lost flush is sent again.
            if rng.random_range(0..100) < LOSS_PCT {
                return;
            }
            flushed.push((now_ms, std::mem::take(&mut told[at])));
            window.roll(now_ms);
            let since = window.started_ms;
            window.shared = flushed.iter().filter(|(t, _)| *t >= since).map(|(_, n)| n).sum();
            window.local = 0;
            if flushed.len() > 4096 {
                flushed.retain(|(t, _)| *t + 2 * WINDOW_MS > now_ms);
            }
        }
        Way::Divided(_) => {}
        Way::Borrowing(limit) => {
            limit.rebalance(instances as u64, now_ms);
            let report = limit.report(1);
            for to in (0..instances).filter(|to| *to != at) {
                if rng.random_range(0..100) >= LOSS_PCT {
                    let due_ms = now_ms + rng.random_range(1..=LATE_MAX_MS);
                    posts.push(Post { due_ms, from: at, to, report });
                }
            }
        }
    }
}

/// Hands over the reports that are due.
fn deliver(ways: &mut [Way], posts: &mut Vec<Post>, now_ms: u64) {
    for post in posts.extract_if(.., |post| post.due_ms <= now_ms) {
        if let Way::Borrowing(limit) = &mut ways[post.to] {
            limit.on_report(&format!("i{}", post.from), post.report, now_ms);
        }
    }
}

fn outcome(admitted: &[u64]) -> Outcome {
    let total: u64 = admitted.iter().sum();
    let entitled = LIMIT_PER_S * RUN_MS / 1000;
    let window = WINDOW_MS as usize;
    let mut sum: u64 = admitted[..window].iter().sum();
    let mut most = sum;
    for at in window..admitted.len() {
        sum = sum + admitted[at] - admitted[at - window];
        most = most.max(sum);
    }
    let limit = (LIMIT_PER_S * WINDOW_MS / 1000) as f64;
    Outcome {
        error_pct: (total as f64 / entitled as f64 - 1.0) * 100.0,
        burst: most as f64 / limit,
    }
}

/// Prints the comparison.
///
/// # Errors
/// Never; the signature is that of the other commands.
pub fn print(options: &LimitsOptions) -> Result<(), anyhow::Error> {
    println!("| way | instances | exchange ms | long-run error % | worst second / limit |");
    println!("|---|---|---|---|---|");
    for (way, name) in WAYS.iter().enumerate() {
        for instances in [2, 8, 85] {
            for exchange_ms in [50, 200, 500] {
                let outcome = run(way, instances, exchange_ms, options.seed);
                println!(
                    "| {name} | {instances} | {exchange_ms} | {:+.2} | {:.2} |",
                    outcome.error_pct, outcome.burst
                );
            }
        }
    }
    Ok(())
}
