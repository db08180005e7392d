//! Runs the scripted scenarios against the real binary, for engines that check fencing and for
//! engines that ignore it.

use std::path::Path;
use std::sync::Mutex;
use std::sync::PoisonError;

use standins::scenario;
use test_case::test_case;

/// Lets one venture run at a time, so that timings do not depend on the number of test threads.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn run(name: &str, fencing: bool) {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let binary = Path::new(env!("CARGO_BIN_EXE_lovageridge"));
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/scenarios/{name}.rhai"));
    match scenario::run(binary, &file, fencing) {
        Ok(report) => {
            for figure in report.figures {
                println!("FIGURE {name} fencing={fencing} {figure}");
            }
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
fn scenario_holds(name: &str, fencing: bool) {
    run(name, fencing);
}
