//! Callers that scripts start: bursts of completions, bookings under faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use lovageridge::context::lock;
use lovageridge::sorted::Table;
use rhai::Dynamic;
use rhai::Map;

use crate::client;
use crate::client::Ask;
use crate::client::Booking;
use crate::client::Got;
use crate::scenario::flag;
use crate::scenario::int;
use crate::scenario::number;
use crate::scenario::text;
use crate::venture::BOARDS_KEY;
use crate::venture::GROWERS_KEY;

/// Calls in progress, to be joined.
#[derive(Clone)]
pub struct Calls {
    threads: Arc<Mutex<Vec<JoinHandle<Vec<Got>>>>>,
}

fn key_of(options: &Map) -> String {
    let boards = text(options, "partner", "growers") == "boards";
    if boards { BOARDS_KEY } else { GROWERS_KEY }.to_owned()
}

fn priority_of(options: &Map) -> Option<&'static str> {
    match text(options, "priority", "").as_str() {
        "interactive" => Some("interactive"),
        "batch" => Some("batch"),
        _ => None,
    }
}

impl Calls {
    /// Starts callers for one model, each with a prompt of its own, spread over `entries`.
    pub fn completions(entries: &[SocketAddr], options: &Map) -> Self {
        let callers = number(options, "callers", 60);
        let name = text(options, "model", "model-00");
        let adapter_of = Some(text(options, "adapter_of", "")).filter(|m| !m.is_empty());
        let each = number(options, "each", 1);
        let gap_ms = number(options, "gap_ms", 0);
        let models = number(options, "models", 0);
        let threads = (0..callers).map(|at| {
            let entry = entries[at as usize % entries.len()];
            let name = if models > 0 { format!("model-{:02}", at % models) } else { name.clone() };
            let ask = Ask {
                entry,
                key: key_of(options),
                name,
                adapter_of: adapter_of.clone(),
                prompt: format!("question {at} {}", text(options, "salt", "")),
                tokens: number(options, "tokens", 10),
                deadline_ms: number(options, "deadline_ms", 20_000),
                priority: priority_of(options),
            };
            thread::spawn(move || {
                let ask_one = |turn: u64| {
                    if turn > 0 {
                        thread::sleep(Duration::from_millis(gap_ms));
                    }
                    client::complete(&ask)
                };
                (0..each).map(ask_one).collect()
            })
        });
        Self { threads: Arc::new(Mutex::new(threads.collect())) }
    }

    /// Starts callers that book slots; each retries at another entry until it has an outcome.
    pub fn bookings(entries: &[SocketAddr], options: &Map) -> Self {
        let callers = number(options, "callers", 20);
        let each = number(options, "each", 10);
        let keyed = flag(options, "keyed", true);
        let retries = number(options, "retries", 3);
        let deadline_ms = number(options, "deadline_ms", 3000);
        let salt = text(options, "salt", "");
        let entries: Arc<[SocketAddr]> = entries.into();
        let threads = (0..callers).map(|caller| {
            let entries = Arc::clone(&entries);
            let salt = salt.clone();
            thread::spawn(move || {
                let mut all = Vec::new();
                for turn in 0..each {
                    let slot = format!("slot-{salt}{caller}-{turn}");
                    let key = keyed.then_some(slot.as_str());
                    for retry in 0..=retries {
                        let at = (caller + turn + retry) as usize % entries.len();
                        let got = client::book(Booking {
                            entry: entries[at],
                            key: GROWERS_KEY,
                            slot: &slot,
                            attempt: format!("{slot}/{retry}"),
                            idempotency_key: key,
                            deadline_ms,
                        });
                        let again =
                            retry < retries && (got.ran == "not_run" || got.status_code == 0);
                        let again = again && keyed;
                        all.push(Got { text: slot.clone(), ..got });
                        if !again {
                            break;
                        }
                    }
                }
                all
            })
        });
        Self { threads: Arc::new(Mutex::new(threads.collect())) }
    }

    /// Returns the number of callers that are not done.
    pub fn running(&self) -> usize {
        lock(&self.threads).iter().filter(|thread| !thread.is_finished()).count()
    }

    /// Waits for all callers.
    pub fn join(&mut self) -> Vec<Got> {
        let threads = std::mem::take(&mut *lock(&self.threads));
        threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
    }
}

/// Returns the value at `pct` percent of the sorted `values`.
pub fn percentile(values: &mut [u64], pct: u64) -> u64 {
    values.sort_unstable();
    let last = values.len().saturating_sub(1);
    values.get(last * pct as usize / 100).copied().unwrap_or(0)
}

/// Returns what callers got, as a map for scripts.
pub fn summary(all: &[Got]) -> Map {
    let count = |keep: fn(&Got) -> bool| int(all.iter().filter(|g| keep(g)).count() as u64);
    let mut totals: Vec<u64> = all.iter().filter(|g| g.whole).map(|g| g.total_ms).collect();
    let mut firsts: Vec<u64> = all.iter().filter_map(|g| g.first_token_ms).collect();
    let mut codes: Table<String, u64> = Table::new();
    for got in all.iter().filter(|g| !g.whole) {
        let name = if got.code.is_empty() {
            format!("none-{}", got.status_code)
        } else {
            got.code.clone()
        };
        *codes.get_or_insert_with(name, || 0) += 1;
    }
    let codes: Vec<String> = codes.iter().map(|(code, n)| format!("{code}={n}")).collect();
    let mut map = Map::new();
    map.insert("calls".into(), int(all.len() as u64));
    map.insert("whole".into(), count(|g| g.whole));
    map.insert("answered".into(), count(Got::is_answered));
    map.insert("not_run".into(), count(|g| g.ran == "not_run"));
    map.insert("unknown".into(), count(|g| g.ran == "unknown"));
    map.insert("total_p50_ms".into(), int(percentile(&mut totals, 50)));
    map.insert("total_p99_ms".into(), int(percentile(&mut totals, 99)));
    map.insert("first_p50_ms".into(), int(percentile(&mut firsts, 50)));
    map.insert("first_p99_ms".into(), int(percentile(&mut firsts, 99)));
    map.insert("longest_ms".into(), int(all.iter().map(|g| g.total_ms).max().unwrap_or(0)));
    map.insert("gap_max_ms".into(), int(all.iter().map(|g| g.longest_gap_ms).max().unwrap_or(0)));
    map.insert("codes".into(), Dynamic::from(codes.join(" ")));
    map
}

/// Compares what callers of bookings were told with how often each slot really ran.
///
/// `runs` counts the runs of each slot and `attempts` those of each call. `lies` counts calls that ran
/// although their answer said `not_run`; `twice` slots that ran more than once; `lost` those whose
/// caller was told that they ran, but did not.
pub fn compare_bookings(
    all: &[Got],
    runs: &Table<String, u64>,
    attempts: &Table<String, u64>,
) -> Map {
    let mut slots: Table<String, Vec<&Got>> = Table::new();
    for got in all {
        slots.get_or_insert_with(got.text.clone(), Vec::new).push(got);
    }
    let is_lie = |g: &&Got| g.ran == "not_run" && attempts.contains(&g.attempt);
    let lies = all.iter().filter(is_lie).count() as u64;
    let (mut lost, mut booked) = (0, 0);
    for (slot, answers) in slots.iter() {
        let ran = runs.get(slot).copied().unwrap_or(0);
        let any_whole = answers.iter().any(|g| g.whole);
        lost += u64::from(any_whole && ran == 0);
        booked += u64::from(any_whole);
    }
    let twice = runs.values().filter(|n| **n > 1).count() as u64;
    let mut map = summary(all);
    map.insert("slots".into(), int(slots.len() as u64));
    map.insert("booked".into(), int(booked));
    map.insert("lies".into(), int(lies));
    map.insert("lost".into(), int(lost));
    map.insert("twice".into(), int(twice));
    map
}
