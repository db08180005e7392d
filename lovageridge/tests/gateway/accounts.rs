//! Tests of client accounts: keys, what upstreams get to see, and withdrawn keys during faults.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use standins::platform::caller::Caller;
use standins::platform::caller::CallerRequest;
use standins::platform::deployment::Deployment;
use standins::platform::deployment::Instance;
use standins::platform::deployment::config;
use standins::platform::deployment::default_routes;
use standins::platform::deployment::engine_worker;
use standins::platform::deployment::plain_worker;
use standins::platform::deployment::route;
use standins::platform::deployment::wait_for;
use standins::platform::store::Behavior;
use standins::platform::worker::Behavior as WorkerBehavior;
use standins::relay::Mode;
use standins::relay::Relay;
use test_case::test_case;

use crate::deployment;
use crate::events;

/// Time after which a withdrawn key must not be used, in these deployments; short, so that tests run fast.
const REVOKE: Duration = Duration::from_millis(2000);
/// Age that the knowledge of an instance has at most without faults: two reads that wait for a sixth of the
/// limit, a question each fifth of it, and the time of calls on a busy machine.
const AGE_MAX: Duration = Duration::from_millis(1300);
/// Time within which a configuration has to be in force.
const IN_FORCE: Duration = Duration::from_millis(3000);

/// Returns a configuration with two accounts and a public route.
fn accounts_config(version: u64, studio_keys: &[&str]) -> Vec<u8> {
    let mut routes = default_routes();
    let mut public = route("public", "idempotent", "plain", false);
    public["Public"] = json!(true);
    routes.push(public);
    let tenants = json!([
        {"Name": "studio", "ApiKeys": studio_keys, "Priority": 1},
        {"Name": "library", "ApiKeys": ["library-1"], "Priority": 0},
    ]);
    config(version, &json!({"Routes": routes, "Tenants": tenants}))
}

fn put(deployment: &Deployment, version: u64, studio_keys: &[&str]) {
    deployment.store.put("keyed.op", "config", &accounts_config(version, studio_keys));
}

fn request(path: &str, key: &str, id: &str) -> CallerRequest {
    let mut request = CallerRequest::get(path, id);
    request.headers = format!("Authorization: Token {key}\r\n");
    request
}

/// Returns the status of the response to a request with `key`.
fn status(instance: &Instance, key: &str, id: &str) -> u16 {
    let reply = request("/look/1", key, id).send(instance.callers_addr).expect("a response");
    reply.status_code
}

/// Sets strict revocation at an instance.
fn make_strict(deployment: &Deployment, at: usize) {
    let revoke_ms = REVOKE.as_millis().to_string();
    for (key, value) in [("Bounds.StrictRevoke", "true"), ("Bounds.RevokeMs", &revoke_ms)] {
        deployment.change_settings(at, key, value).expect("changed settings");
    }
    deployment.instances[at].process.hang_up();
}

fn wait_in_force(deployment: &Deployment, version: f64) {
    let is_in_force = |one: &Instance| one.metric("gateway_config_version ") == Some(version);
    for (at, one) in deployment.instances.iter().enumerate() {
        let log = || one.process.log();
        assert!(wait_for(|| is_in_force(one)), "instance {at} does not get {version}: {}", log());
        assert!(wait_for(|| one.is_ready()), "instance {at} is not ready: {}", log());
    }
}

/// Returns a deployment with strict revocation and the keys s1 and s2 of an account. The first `instances`
/// reach the store directly, and a further one through the relay.
fn strict_deployment(instances: usize) -> (Deployment, Relay) {
    let mut deployment = deployment(vec![("p0", plain_worker(5))], instances);
    let relay = Relay::start(deployment.store.addr()).expect("a relay to the store");
    let name = format!("edge-{instances}");
    deployment.add_instance_with_store(&name, relay.addr()).expect("an instance");
    wait_in_force(&deployment, 1.0);
    for at in 0..=instances {
        make_strict(&deployment, at);
    }
    thread::sleep(Duration::from_millis(1500));
    put(&deployment, 2, &["s1", "s2"]);
    wait_in_force(&deployment, 2.0);
    (deployment, relay)
}

/// Returns a deployment whose third instance reaches no other one, and the store through the relay.
fn deployment_with_one_alone() -> (Deployment, Relay) {
    let mut deployment = deployment(vec![("p0", plain_worker(5))], 2);
    // The first two have found each other by then, and look for no others.
    thread::sleep(Duration::from_millis(4500));
    let relay = Relay::start(deployment.store.addr()).expect("a relay to the store");
    deployment.separate_next_instances();
    deployment.add_instance_with_store("edge-2", relay.addr()).expect("an instance");
    wait_in_force(&deployment, 1.0);
    (deployment, relay)
}

fn close(deployment: Deployment, relay: Relay) {
    relay.close();
    deployment.close();
}

/// Guards against requests that run without a key that the configuration has, and against final refusals of
/// others.
#[test]
fn requests_need_a_key_of_an_account() {
    let deployment = deployment(vec![("p0", plain_worker(5))], 1);
    put(&deployment, 2, &["asnmgkcuyj", "vk9m68pjbv"]);
    wait_in_force(&deployment, 2.0);
    let refused = [
        "",
        "Authorization: Token qqstranger\r\n",
        "Authorization: Token \r\n",
        "Authorization: Token\r\n",
        "Authorization: \r\n",
        "Authorization: Bearer asnmgkcuyj\r\n",
        "Authorization: asnmgkcuyj\r\n",
        "Authorization: Token s\u{e9}\r\n",
        "Authorization: Token asnmgkcuyj\r\nAuthorization: Token asnmgkcuyj\r\n",
        "Authorization: Token asnmgkcuyj\r\nAuthorization: Bearer x\r\n",
    ];
    let ask = |path: &str, headers: &str, id: &str| {
        let mut request = CallerRequest::get(path, id);
        request.headers = headers.to_owned();
        request.send(deployment.instances[0].callers_addr).expect("a response").status_code
    };
    for (at, headers) in refused.into_iter().enumerate() {
        assert_eq!(ask("/look/1", headers, &format!("no{at}")), 401, "{headers:?}");
    }
    assert_eq!(deployment.worker("p0").requests(), 0);
    // A route that does not exist is reported before the key is checked.
    assert_eq!(ask("/none/1", "", "none"), 404);
    for (at, headers) in
        ["Token asnmgkcuyj", "token vk9m68pjbv", "TOKEN  library-1 "].into_iter().enumerate()
    {
        let headers = format!("authorization: {headers}\r\n");
        assert_eq!(ask("/look/1", &headers, &format!("yes{at}")), 200, "{headers:?}");
    }
    assert_eq!(ask("/public/1", "", "public"), 200);
    let log = deployment.instances[0].process.log();
    for secret in ["asnmgkcuyj", "vk9m68pjbv", "library-1", "qqstranger"] {
        assert!(!log.contains(secret), "the log shows a key");
    }
    let count = |result: &str| {
        let name = format!("gateway_key_checks_total{{result=\"{result}\"}}");
        deployment.instances[0].metric(&name)
    };
    assert_eq!((count("ok"), count("missing")), (Some(3.0), Some(1.0)));
    assert_eq!((count("unknown"), count("malformed")), (Some(1.0), Some(8.0)));
    deployment.close();
}

/// Guards against upstreams that see keys, or account names that a caller made up.
#[test_case("/look/1", "Token s1", &["studio"]; "an account")]
#[test_case("/public/1", "Token s1", &["studio"]; "an account on a public route")]
#[test_case("/public/1", "Token unknown", &[]; "an unknown key on a public route")]
#[test_case("/public/1", "Bearer other", &[]; "another scheme on a public route")]
fn upstreams_see_the_account_and_no_key(path: &str, key: &str, expected: &[&str]) {
    let deployment = deployment(vec![("p0", plain_worker(5))], 1);
    let to = deployment.instances[0].callers_addr;
    let forged = "X-Lovageridge-Tenant: library\r\nx-lovageridge-tenant: library\r\n";
    let mut request = CallerRequest::get(path, "id1");
    request.headers = format!("{forged}Authorization: {key}\r\n");
    put(&deployment, 2, &["s1"]);
    wait_in_force(&deployment, 2.0);
    assert_eq!(request.send(to).expect("a response").status_code, 200);
    let runs = deployment.worker("p0").runs();
    assert_eq!(runs[0].accounts, expected);
    assert!(!runs[0].has_key);
    deployment.close();
}

/// Guards against requests that run without the name of their account, since it cannot be a header value.
#[test_case("Soci\u{e9}t\u{e9} \u{5b66}\u{6821}", 200; "characters outside of ASCII")]
#[test_case("a\u{7}b", 503; "a control character")]
fn requests_run_with_the_name_of_their_account_or_not_at_all(name: &str, expected: u16) {
    let deployment = deployment(vec![("p0", plain_worker(5))], 1);
    let tenants = json!([{"Name": name, "ApiKeys": ["s1"], "Priority": 1}]);
    deployment.store.put("keyed.op", "config", &config(2, &json!({"Tenants": tenants})));
    wait_in_force(&deployment, 2.0);
    assert_eq!(status(&deployment.instances[0], "s1", "id1"), expected);
    let runs = deployment.worker("p0").runs();
    let accounts: Vec<&[String]> = runs.iter().map(|run| run.accounts.as_slice()).collect();
    let names = [name.to_owned()];
    assert_eq!(accounts, if expected == 200 { vec![&names[..]] } else { Vec::new() });
    deployment.close();
}

/// Guards against account names of callers that reach upstreams where there are no accounts, and keys of other
/// systems that no longer do.
#[test]
fn without_accounts_only_made_up_names_are_dropped() {
    let deployment = deployment(vec![("p0", plain_worker(5))], 1);
    let mut request = request("/look/1", "s1", "id1");
    request.headers.push_str("X-Lovageridge-Tenant: library\r\n");
    let reply = request.send(deployment.instances[0].callers_addr).expect("a response");
    assert_eq!(reply.status_code, 200);
    let runs = deployment.worker("p0").runs();
    assert!(runs[0].accounts.is_empty() && runs[0].has_key, "{runs:?}");
    deployment.close();
}

/// Guards against streams that lose their account, or show its key, when another worker resumes them.
#[test]
fn a_resumed_stream_keeps_its_account() {
    let workers = vec![("e0", engine_worker(&["m0"])), ("e1", engine_worker(&["m0"]))];
    let deployment = deployment(workers, 1);
    put(&deployment, 2, &["s1"]);
    wait_in_force(&deployment, 2.0);
    deployment.workers.iter().for_each(|worker| {
        worker.set_behavior(WorkerBehavior::InterruptAfter(3));
    });
    let to = deployment.instances[0].callers_addr;
    let mut request = CallerRequest::post("/stream/again/1", "id1").for_model("m0");
    request.headers.push_str("Authorization: Token s1\r\nX-Lovageridge-Tenant: forged\r\n");
    let mut caller = Caller::connect(to).expect("a connection");
    caller.write(&request.to_bytes()).expect("a request");
    caller.read_until("data").expect("an event");
    for worker in &deployment.workers {
        worker.set_behavior(WorkerBehavior::Normal);
    }
    let reply = caller.read_response().expect("a response");
    assert_eq!(reply.body, events(10));
    let runs: Vec<_> = deployment.workers.iter().flat_map(|worker| worker.runs()).collect();
    assert_eq!(runs.len(), 2, "{runs:?}");
    for run in runs {
        assert_eq!(run.accounts, ["studio"]);
        assert!(!run.has_key);
        assert!(run.urgency.is_some());
    }
    deployment.close();
}

/// Guards against withdrawn keys that are used on any instance after the limit.
#[test]
fn a_withdrawn_key_is_refused_and_others_are_not() {
    let (deployment, relay) = strict_deployment(2);
    put(&deployment, 3, &["s2"]);
    thread::sleep(IN_FORCE.min(REVOKE));
    for (at, instance) in deployment.instances.iter().enumerate() {
        assert_eq!(status(instance, "s1", &format!("withdrawn{at}")), 401, "instance {at}");
        assert_eq!(status(instance, "s2", &format!("kept{at}")), 200, "instance {at}");
    }
    close(deployment, relay);
}

/// Guards against an instance that refuses keys although others that reach the store vouch for its configuration.
#[test_case(Mode::Reset; "refused")]
#[test_case(Mode::Silent; "unresponsive")]
fn an_instance_without_the_store_serves_as_long_as_peers_vouch(mode: Mode) {
    let (deployment, relay) = strict_deployment(2);
    relay.set_mode(mode);
    let cut = Instant::now();
    let apart = &deployment.instances[2];
    let mut number = 0;
    while cut.elapsed() < REVOKE * 3 {
        number += 1;
        assert_eq!(status(apart, "s1", &format!("id{number}")), 200, "after {:?}", cut.elapsed());
        assert!(apart.is_ready(), "not ready after {:?}", cut.elapsed());
        thread::sleep(Duration::from_millis(50));
    }
    // The withdrawal reaches it too.
    put(&deployment, 3, &["s2"]);
    thread::sleep(REVOKE);
    assert_eq!(status(apart, "s1", "withdrawn"), 401);
    assert_eq!(status(apart, "s2", "kept"), 200);
    close(deployment, relay);
}

/// Guards against keys that are used after the limit while nobody reaches the store, against refusals long
/// before it, and against instances that stay closed when it is back.
#[test_case(Behavior::Unavailable; "refused")]
#[test_case(Behavior::Unresponsive; "unresponsive")]
fn without_the_store_keys_are_refused_from_the_limit_on(behavior: Behavior) {
    let (deployment, relay) = strict_deployment(2);
    deployment.store.set_behavior(behavior);
    let down = Instant::now();
    let mut number = 0;
    let mut ask = |instance: &Instance| {
        number += 1;
        status(instance, "s1", &format!("id{number}"))
    };
    while down.elapsed() < REVOKE * 2 {
        for instance in &deployment.instances {
            let (sent, status) = (down.elapsed(), ask(instance));
            if down.elapsed() < REVOKE - AGE_MAX {
                assert_eq!(status, 200, "sent after {sent:?}");
            }
            if sent > REVOKE {
                assert_eq!(status, 503, "sent after {sent:?}");
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    for instance in &deployment.instances {
        assert!(!instance.is_ready());
        let reply = CallerRequest::get("/public/1", "public").send(instance.callers_addr);
        assert_eq!(reply.expect("a response").status_code, 200);
        let reply = request("/look/1", "s1", "refused").send(instance.callers_addr);
        assert!(reply.expect("a response").header("retry-after").is_some());
        assert!(instance.process.log().contains("accounts_stale"));
    }
    deployment.store.set_behavior(Behavior::Normal);
    assert!(wait_for(|| deployment.instances.iter().all(|instance| instance.is_ready())));
    for instance in &deployment.instances {
        assert_eq!(ask(instance), 200);
        assert!(instance.process.log().contains("accounts_fresh"));
    }
    close(deployment, relay);
}

/// Guards against requests that waited in the sockets of a frozen process and are judged by what it knew before,
/// and against answers of peers in its buffer that count from their arrival.
#[test]
fn a_process_that_was_frozen_uses_no_withdrawn_key() {
    let (deployment, relay) = strict_deployment(2);
    let before = deployment.worker("p0").requests();
    for (round, at) in [0, 1, 2].into_iter().enumerate() {
        let frozen = &deployment.instances[at];
        let connect = || Caller::connect(frozen.callers_addr).expect("a connection");
        frozen.process.pause();
        thread::sleep(Duration::from_millis(400));
        put(&deployment, 3 + 2 * round as u64, &["s2"]);
        thread::sleep(REVOKE + Duration::from_millis(300));
        // The kernel accepts connections for the process.
        let mut callers: Vec<Caller> = (0..8).map(|_| connect()).collect();
        for (number, caller) in callers.iter_mut().enumerate() {
            let request = request("/look/1", "s1", &format!("late{at}-{number}"));
            caller.write(&request.to_bytes()).expect("a request");
        }
        thread::sleep(Duration::from_millis(100));
        frozen.process.resume();
        for caller in &mut callers {
            let reply = caller.read_response().expect("a response");
            assert!([401, 503].contains(&reply.status_code), "status {}", reply.status_code);
        }
        assert!(wait_for(|| frozen.is_ready() && status(frozen, "s2", "kept") == 200));
        put(&deployment, 4 + 2 * round as u64, &["s1", "s2"]);
        wait_in_force(&deployment, 4.0 + 2.0 * round as f64);
    }
    let runs = deployment.worker("p0").runs();
    assert!(runs[before as usize..].iter().all(|run| !run.id.starts_with("late")), "{runs:?}");
    close(deployment, relay);
}

/// Guards against an instance that reaches neither the store nor others and goes on with a withdrawn key.
#[test]
fn an_instance_alone_refuses_keys_from_the_limit_on() {
    let (deployment, relay) = deployment_with_one_alone();
    make_strict(&deployment, 2);
    thread::sleep(Duration::from_millis(1500));
    put(&deployment, 2, &["s1"]);
    wait_in_force(&deployment, 2.0);
    let alone = &deployment.instances[2];
    let started = Instant::now();
    while started.elapsed() < REVOKE * 2 {
        // Its own reads suffice, however long they wait for records.
        assert_eq!(status(alone, "s1", "before"), 200);
        assert!(alone.is_ready());
        thread::sleep(Duration::from_millis(30));
    }
    relay.set_mode(Mode::Silent);
    put(&deployment, 3, &[]);
    let withdrawn = Instant::now();
    thread::sleep(REVOKE);
    while withdrawn.elapsed() < REVOKE * 2 {
        assert_eq!(status(alone, "s1", "after"), 503, "after {:?}", withdrawn.elapsed());
        assert!(!alone.is_ready());
    }
    close(deployment, relay);
}

/// Guards against reads that count from their end: a configuration may have been written while they waited or
/// their response was under way.
#[test]
fn a_read_counts_from_its_start() {
    let deployment = deployment(vec![("p0", plain_worker(5))], 1);
    make_strict(&deployment, 0);
    thread::sleep(Duration::from_millis(1500));
    put(&deployment, 2, &["s1"]);
    wait_in_force(&deployment, 2.0);
    // The sixteen bytes of a response without records take longer than the limit.
    deployment.store.set_read_rate(5);
    thread::sleep(REVOKE);
    let started = Instant::now();
    while started.elapsed() < REVOKE * 2 {
        assert_eq!(status(&deployment.instances[0], "s1", "late"), 503);
        thread::sleep(Duration::from_millis(10));
    }
    deployment.close();
}

/// Guards against a configuration of a peer that counts as the newest one without anybody having read it: it may
/// have been replaced before the store became unreachable.
#[test]
fn a_configuration_from_a_peer_is_not_fresh_by_itself() {
    let (mut deployment, relay) = strict_deployment(1);
    deployment.store.set_behavior(Behavior::Unavailable);
    thread::sleep(REVOKE + Duration::from_millis(100));
    deployment.instances[1].process.kill();
    deployment.restart(1).expect("a process");
    let restarted = &deployment.instances[1];
    let in_force = || restarted.metric("gateway_config_version ") == Some(2.0);
    assert!(wait_for(in_force), "no configuration from the peer");
    let started = Instant::now();
    while started.elapsed() < REVOKE {
        assert_eq!(status(restarted, "s1", "early"), 503);
        assert!(!restarted.is_ready());
    }
    deployment.store.set_behavior(Behavior::Normal);
    assert!(wait_for(|| restarted.is_ready()));
    assert_eq!(status(restarted, "s1", "served"), 200);
    close(deployment, relay);
}

/// Guards against instances that stay closed, or use a withdrawn key, after a restore of the store from a copy.
#[test]
fn keys_are_checked_after_a_restore() {
    let (deployment, relay) = strict_deployment(2);
    let copy = deployment.store.copy();
    deployment.store.restore(&copy);
    let restored = Instant::now();
    while restored.elapsed() < REVOKE * 2 {
        for instance in &deployment.instances {
            assert_eq!(status(instance, "s1", "id"), 200, "after {:?}", restored.elapsed());
        }
        thread::sleep(Duration::from_millis(30));
    }
    // Another document of the same version.
    let copy = deployment.store.copy();
    deployment.store.restore_and_put(&copy, &[("keyed.op", "config", accounts_config(2, &["s2"]))]);
    thread::sleep(REVOKE);
    for instance in &deployment.instances {
        assert_eq!(status(instance, "s1", "withdrawn"), 401);
        assert_eq!(status(instance, "s2", "kept"), 200);
    }
    close(deployment, relay);
}

/// Guards against callers that give up on a key that a newer configuration has, since an instance that misses
/// it refuses the key for good.
#[test]
fn a_new_key_is_not_refused_for_good_by_an_instance_that_may_be_behind() {
    let (deployment, relay) = deployment_with_one_alone();
    put(&deployment, 2, &["s1"]);
    wait_in_force(&deployment, 2.0);
    relay.set_mode(Mode::Reset);
    thread::sleep(Duration::from_millis(500));
    put(&deployment, 3, &["s1", "new"]);
    thread::sleep(Duration::from_millis(300));
    let alone = &deployment.instances[2];
    assert_eq!(status(alone, "new", "new"), 503);
    assert_eq!(status(alone, "s1", "known"), 200);
    let missing = CallerRequest::get("/look/1", "missing").send(alone.callers_addr);
    assert_eq!(missing.expect("a response").status_code, 401);
    relay.set_mode(Mode::Pass);
    assert!(wait_for(|| status(alone, "new", "new") == 200));
    close(deployment, relay);
}

/// Guards against urgencies at workers that let the rank of a route go before that of the account.
#[test]
fn the_account_decides_about_the_urgency_at_workers() {
    let deployment = deployment(vec![("e0", engine_worker(&["m0"]))], 1);
    let mut slow = route("stream/slow", "streaming", "engine", false);
    slow["Priority"] = json!(3);
    let routes: Vec<Value> = default_routes().into_iter().chain([slow]).collect();
    let tenants = json!([
        {"Name": "studio", "ApiKeys": ["s1"], "Priority": 7},
        {"Name": "library", "ApiKeys": ["l1"], "Priority": 2},
    ]);
    let text = config(2, &json!({"Routes": routes, "Tenants": tenants}));
    deployment.store.put("keyed.op", "config", &text);
    wait_in_force(&deployment, 2.0);
    let order = [("l1", "once"), ("l1", "slow"), ("s1", "once"), ("s1", "slow")];
    for (key, name) in order {
        let mut request = CallerRequest::post(&format!("/stream/{name}/1"), key).for_model("m0");
        request.headers.push_str(&format!("Authorization: Token {key}\r\n"));
        let reply = request.send(deployment.instances[0].callers_addr).expect("a response");
        assert_eq!(reply.status_code, 200);
    }
    let urgencies: Vec<_> =
        deployment.worker("e0").runs().iter().filter_map(|run| run.urgency).collect();
    assert_eq!(urgencies, [0, 2, 4, 6]);
    deployment.close();
}
