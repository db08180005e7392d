//! Changes of the settings file while instances run.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use standins::platform::caller::Ask;
use standins::platform::deployment::Deployment;
use standins::platform::deployment::config;
use standins::platform::deployment::wait_for;
use standins::relay::Mode;
use standins::relay::Relay;
use test_case::test_case;

use crate::small;

/// Time in which changed settings have to be in force.
const BOUND: Duration = Duration::from_millis(2000);

fn serves(deployment: &Deployment, path: &str) -> bool {
    let reply = Ask::get(path, "id1").send(deployment.instances[0].callers);
    reply.is_ok_and(|reply| reply.status_code == 200)
}

#[test_case(true; "told by a signal")]
#[test_case(false; "silently")]
fn a_store_that_has_moved_is_read_at_its_new_address(signal: bool) {
    let deployment = small(1);
    let relay = Relay::start(deployment.store.addr()).expect("a relay to the store");
    let moved = relay.addr().to_string();
    deployment.change_settings(0, "Platform.Address", &moved).expect("changed settings");
    let changed = Instant::now();
    if signal {
        deployment.instances[0].process.hang_up();
    }
    assert!(wait_for(|| relay.accepted() > 0), "the new address is never asked");
    assert!(changed.elapsed() < BOUND, "asked only after {:?}", changed.elapsed());
    // Everything goes through the new address: with it cut, no configuration arrives.
    thread::sleep(BOUND);
    relay.set_mode(Mode::Reset);
    let routes = json!([{
        "Name": "new", "Host": "site.example", "PathPrefix": "/new/", "Service": "plain",
        "RouteType": "idempotent", "TimeoutMs": 2000, "MaxAttempts": 1,
    }]);
    deployment.store.put("keyed.op", "config", &config(9, &json!({"Routes": routes})));
    thread::sleep(BOUND);
    assert!(!serves(&deployment, "/new/1"), "the old address is still read");
    relay.set_mode(Mode::Pass);
    assert!(wait_for(|| serves(&deployment, "/new/1")), "the store is not read again");
    relay.close();
    deployment.close();
}

#[test_case("Listen.Front", "127.0.0.1:1"; "a port")]
#[test_case("Bounds.GraceS", "soon"; "no number")]
#[test_case("Platform.Address", ""; "an address that is missing")]
fn settings_that_cannot_be_taken_over_change_nothing(key: &str, value: &str) {
    let deployment = small(1);
    deployment.change_settings(0, key, value).expect("changed settings");
    deployment.instances[0].process.hang_up();
    let logged = || deployment.instances[0].process.log().contains("settings_read");
    assert!(wait_for(logged), "the change is not logged");
    thread::sleep(BOUND);
    assert!(serves(&deployment, "/look/1"));
    let configs = deployment.instances[0].metric("gateway_config_version ");
    assert_eq!(configs, Some(1.0));
    deployment.close();
}
