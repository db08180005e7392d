//! Tests of changes to the settings file while instances run.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use standins::platform::caller::CallerRequest;
use standins::platform::deployment::Deployment;
use standins::platform::deployment::config;
use standins::platform::deployment::wait_for;
use standins::relay::Mode;
use standins::relay::Relay;
use test_case::test_case;

use crate::small_deployment;

/// Time within which changed settings have to be in force.
const APPLY_TIMEOUT: Duration = Duration::from_millis(2000);

fn serves(deployment: &Deployment, path: &str) -> bool {
    let reply = CallerRequest::get(path, "id1").send(deployment.instances[0].callers_addr);
    reply.is_ok_and(|reply| reply.status_code == 200)
}

#[test_case(true; "after a signal")]
#[test_case(false; "without a signal")]
fn a_store_that_has_moved_is_read_at_its_new_address(signal: bool) {
    let deployment = small_deployment(1);
    let relay = Relay::start(deployment.store.addr()).expect("a relay to the store");
    let moved = relay.addr().to_string();
    deployment.change_settings(0, "Platform.Address", &moved).expect("changed settings");
    let changed = Instant::now();
    if signal {
        deployment.instances[0].process.hang_up();
    }
    assert!(wait_for(|| relay.accepted() > 0), "the instance never connects to the new address");
    assert!(changed.elapsed() < APPLY_TIMEOUT, "connected only after {:?}", changed.elapsed());
    // All reads use the new address: while its connections are reset, no configuration arrives.
    thread::sleep(APPLY_TIMEOUT);
    relay.set_mode(Mode::Reset);
    let routes = json!([{
        "Name": "new", "Host": "site.example", "PathPrefix": "/new/", "Service": "plain",
        "RouteType": "idempotent", "TimeoutMs": 2000, "MaxAttempts": 1,
    }]);
    deployment.store.put("keyed.op", "config", &config(9, &json!({"Routes": routes})));
    thread::sleep(APPLY_TIMEOUT);
    assert!(!serves(&deployment, "/new/1"), "the instance still reads from the old address");
    relay.set_mode(Mode::Pass);
    assert!(
        wait_for(|| serves(&deployment, "/new/1")),
        "the instance does not read from the store again"
    );
    relay.close();
    deployment.close();
}

#[test_case("Listen.Front", "127.0.0.1:1"; "a port that needs a restart")]
#[test_case("Bounds.GraceS", "soon"; "not a number")]
#[test_case("Platform.Address", ""; "a missing address")]
fn settings_that_cannot_be_applied_change_nothing(key: &str, value: &str) {
    let deployment = small_deployment(1);
    deployment.change_settings(0, key, value).expect("changed settings");
    deployment.instances[0].process.hang_up();
    let logged = || deployment.instances[0].process.log().contains("settings_read");
    assert!(wait_for(logged), "the change is not logged");
    thread::sleep(APPLY_TIMEOUT);
    assert!(serves(&deployment, "/look/1"));
    let version = deployment.instances[0].metric("gateway_config_version ");
    assert_eq!(version, Some(1.0));
    deployment.close();
}
