//! Runs the scripted scenarios against the real binary, with engines that check fencing and with
//! engines that ignore it.

use std::path::Path;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use standins::scenario;
use test_case::test_case;

/// Scenarios that run at once. Each keeps about one core busy and checks times, so that most of an
/// eight-core machine is left for a host that takes a part of it away.
const SLOTS: usize = 2;

/// Scenarios that check latency under load or use many ports for outgoing connections; each occupies half
/// of the slots.
const HEAVY_SCENARIOS: [&str; 4] = ["batch_waits", "bookings", "cold_burst", "flood"];

/// Scenarios that compare throughput with the machine's capacity; each occupies all slots.
const EXCLUSIVE_SCENARIOS: [&str; 1] = ["overload"];

static FREE_SLOTS: Mutex<usize> = Mutex::new(SLOTS);
static SLOTS_FREED: Condvar = Condvar::new();

/// Slots occupied by a running scenario.
struct SlotGuard(usize);

impl SlotGuard {
    fn acquire(slots: usize) -> Self {
        let free = FREE_SLOTS.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = SLOTS_FREED.wait_while(free, |free| *free < slots);
        *waited.unwrap_or_else(PoisonError::into_inner) -= slots;
        Self(slots)
    }
}

// Releases the slots also when a scenario panics.
impl Drop for SlotGuard {
    fn drop(&mut self) {
        *FREE_SLOTS.lock().unwrap_or_else(PoisonError::into_inner) += self.0;
        SLOTS_FREED.notify_all();
    }
}

fn run(name: &str, fencing: bool) {
    let _slots = SlotGuard::acquire(match name {
        name if EXCLUSIVE_SCENARIOS.contains(&name) => SLOTS,
        name if HEAVY_SCENARIOS.contains(&name) => SLOTS / 2,
        _ => 1,
    });
    let started = Instant::now();
    let binary = Path::new(env!("CARGO_BIN_EXE_lovageridge"));
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/scenarios/{name}.rhai"));
    match scenario::run(binary, &file, fencing) {
        Ok(report) => {
            for figure in report.figures {
                println!("FIGURE {name} fencing={fencing} {figure}");
            }
            println!("TIME {name} fencing={fencing} {} s", started.elapsed().as_secs());
        }
        Err(error) => panic!("{error:#}"),
    }
}

#[test_case("cold_burst", true)]
#[test_case("cold_burst", false)]
#[test_case("lead_killed", true)]
#[test_case("lead_killed", false)]
#[test_case("lead_paused", true)]
#[test_case("lead_paused", false)]
#[test_case("log_down", true)]
#[test_case("log_down", false)]
#[test_case("bookings", true)]
#[test_case("bookings", false)]
#[test_case("entry_killed", true)]
#[test_case("entry_killed", false)]
#[test_case("broken_streams", true)]
#[test_case("broken_streams", false)]
#[test_case("leaving_upstream", true)]
#[test_case("leaving_upstream", false)]
#[test_case("rolling_restart", true)]
#[test_case("rolling_restart", false)]
#[test_case("config_edits", true)]
#[test_case("config_edits", false)]
#[test_case("domain_cut", true)]
#[test_case("domain_cut", false)]
#[test_case("flood", true)]
#[test_case("flood", false)]
#[test_case("overload", true)]
#[test_case("overload", false)]
#[test_case("batch_waits", true)]
#[test_case("batch_waits", false)]
#[test_case("fault_pairs", true)]
#[test_case("fault_pairs", false)]
#[test_case("peers_cut", true)]
#[test_case("peers_cut", false)]
#[test_case("retention", true)]
#[test_case("retention", false)]
#[test_case("many_edits", true)]
#[test_case("many_edits", false)]
#[test_case("lead_deaths", true)]
#[test_case("lead_deaths", false)]
#[test_case("lost_appends", true)]
#[test_case("lost_appends", false)]
fn scenario_holds(name: &str, fencing: bool) {
    run(name, fencing);
}
