//! Tests of what instances hold for callers and upstreams while their memory is limited.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use standins::platform::caller::Caller;
use standins::platform::caller::CallerRequest;
use standins::platform::caller::CallerResponse;
use standins::platform::deployment::Deployment;
use standins::platform::deployment::config;
use standins::platform::deployment::engine_worker;
use standins::platform::deployment::plain_worker;
use standins::platform::deployment::route;
use standins::platform::deployment::wait_for;
use standins::platform::worker::Behavior;
use standins::platform::worker::WorkerSpec;
use standins::platform::worker::events;
use test_case::test_case;

use crate::deployment;

/// Memory of the instance, in MB; the smallest of known deployments.
const MEMORY_MB: u64 = 120;
/// The same in KiB, as the system reports it.
const MEMORY_KIB: u64 = MEMORY_MB * 1_000_000 / 1024;
/// Callers with large bodies at the same time; all bodies together are twice the memory.
const CALLERS: usize = 60;
/// Length of a large body, in bytes.
const LARGE_BYTES: usize = 3_900_000;
/// Length of the longest body that counts as small, in bytes.
const SMALL_BYTES: usize = 64 << 10;

/// An instance with limited memory, a worker of large requests that each take `work_ms`, and a fast worker of
/// others.
fn limited_deployment(work_ms: u64) -> Deployment {
    let quick = WorkerSpec { service: "quick".to_owned(), ..plain_worker(5) };
    let deployment = deployment(vec![("p0", plain_worker(work_ms)), ("q0", quick)], 1);
    let changes = json!({
        "Routes": [route("book", "non_idempotent", "plain", false),
                   route("quick", "idempotent", "quick", false)],
        "Services": [{"Name": "plain", "HealthPath": "/healthz", "MaxConns": 100},
                     {"Name": "quick", "HealthPath": "/healthz", "MaxConns": 100}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4 << 20, "HeaderTimeoutMs": 5000,
                   "IdleTimeoutMs": 5000},
    });
    deployment.store.put("keyed.op", "config", &config(2, &changes));
    limit_memory(&deployment);
    let instance = &deployment.instances[0];
    assert!(wait_for(|| instance.metric("gateway_config_version ") == Some(2.0)));
    assert!(wait_for(|| send(instance.callers_addr, "/quick/1", SMALL_BYTES).status_code == 200));
    deployment
}

fn limit_memory(deployment: &Deployment) {
    let memory = MEMORY_MB.to_string();
    deployment.change_settings(0, "Limits.MemoryMb", &memory).expect("changed settings");
    let instance = &deployment.instances[0];
    instance.process.hang_up();
    assert!(wait_for(|| instance.process.log().contains("settings_read")));
}

fn send(to: SocketAddr, path: &str, body_bytes: usize) -> CallerResponse {
    let ask = CallerRequest { body: vec![b'x'; body_bytes], ..CallerRequest::post(path, "id1") };
    ask.send(to).expect("a response")
}

fn held_bytes(deployment: &Deployment, class: &str) -> Option<f64> {
    let name = format!("gateway_memory_held_bytes{{class=\"{class}\"}}");
    deployment.instances[0].metric(&name)
}

/// Guards against an instance that is killed since the bodies of its requests take more memory than it has, and
/// against large bodies that lock out small ones.
#[test]
fn many_large_bodies_stay_within_the_memory_and_small_requests_are_served() {
    let deployment = limited_deployment(1500);
    let to = deployment.instances[0].callers_addr;
    let statuses: Vec<u16> = std::thread::scope(|scope| {
        let ask = move || {
            let reply = send(to, "/book/1", LARGE_BYTES);
            let retry_after = reply.header("retry-after").and_then(|text| text.parse().ok());
            assert!(reply.status_code != 503 || retry_after.is_some_and(|wait: f64| wait >= 1.0));
            reply.status_code
        };
        let callers: Vec<_> = (0..CALLERS).map(|_| scope.spawn(ask)).collect();
        while callers.iter().any(|caller| !caller.is_finished()) {
            assert_eq!(send(to, "/quick/2", SMALL_BYTES).status_code, 200);
        }
        callers.into_iter().map(|caller| caller.join().expect("a response")).collect()
    });
    let count = |status: u16| statuses.iter().filter(|other| **other == status).count();
    assert_eq!(count(200) + count(503), CALLERS, "{statuses:?}");
    assert!(count(200) >= 5 && count(503) >= 5, "{statuses:?}");
    let peak_kib = deployment.instances[0].process.peak_rss_kib().expect("a running process");
    println!("{} served, {} refused, peak of {peak_kib} KiB", count(200), count(503));
    assert!(peak_kib < MEMORY_KIB, "{peak_kib} KiB");
    assert!(wait_for(|| held_bytes(&deployment, "large_body") == Some(0.0)));
    let log = deployment.instances[0].process.log();
    let lines = log.lines().filter(|line| line.contains("memory_refused")).count();
    // One line a second, and the refusals come within the work of a few requests.
    assert!((1..10).contains(&lines), "{lines} lines");
    deployment.close();
}

/// Guards against bodies in chunks, whose length is not announced, that take more memory than there is.
#[test]
fn many_large_bodies_in_chunks_stay_within_the_memory() {
    let deployment = limited_deployment(1500);
    let to = deployment.instances[0].callers_addr;
    std::thread::scope(|scope| {
        for number in 0..CALLERS {
            scope.spawn(move || {
                let head = format!(
                    "POST /book/1 HTTP/1.1\r\nHost: site.example\r\n\
                     X-Lovageridge-Attempt-Id: id{number}\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                let mut caller = Caller::connect(to).expect("a connection");
                caller.write(head.as_bytes()).expect("sent");
                let chunk = format!("{:x}\r\n{}\r\n", 10_000, "x".repeat(10_000));
                for _ in 0..LARGE_BYTES / 10_000 {
                    caller.write(chunk.as_bytes()).expect("sent");
                }
                caller.write(b"0\r\n\r\n").expect("sent");
                let status_code = caller.read_response().expect("a response").status_code;
                assert!([200, 503].contains(&status_code), "{status_code}");
            });
        }
    });
    let peak_kib = deployment.instances[0].process.peak_rss_kib().expect("a running process");
    println!("peak of {peak_kib} KiB");
    assert!(peak_kib < MEMORY_KIB, "{peak_kib} KiB");
    assert!(wait_for(|| held_bytes(&deployment, "large_body") == Some(0.0)));
    deployment.close();
}

/// Guards against reservations of callers that leave within their bodies, or before the response.
#[test]
fn a_caller_that_leaves_releases_its_reservation() {
    let deployment = limited_deployment(1500);
    let to = deployment.instances[0].callers_addr;
    let request =
        CallerRequest { body: vec![b'x'; LARGE_BYTES], ..CallerRequest::post("/book/1", "id1") };
    let bytes = request.to_bytes();
    let mut within = Caller::connect(to).expect("a connection");
    within.write(&bytes[..LARGE_BYTES / 2]).expect("sent");
    let mut before = Caller::connect(to).expect("a connection");
    before.write(&bytes).expect("sent");
    let both = (2 * LARGE_BYTES) as f64;
    assert!(wait_for(|| held_bytes(&deployment, "large_body") == Some(both)));
    let left = Instant::now();
    drop((within, before));
    assert!(wait_for(|| held_bytes(&deployment, "large_body") == Some(0.0)));
    assert!(left.elapsed() < Duration::from_millis(1000), "{:?}", left.elapsed());
    deployment.close();
}

/// Guards against an upstream that gets more bytes of large bodies at once than its bound, while others wait
/// within their deadlines.
#[test]
fn an_upstream_gets_few_large_bodies_at_once() {
    let deployment = limited_deployment(700);
    let to = deployment.instances[0].callers_addr;
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(move || assert_eq!(send(to, "/book/1", LARGE_BYTES).status_code, 200));
        }
    });
    let runs = deployment.worker("p0").runs();
    let at_once = |at: Instant| {
        let is_running = |end: Option<Instant>| end.is_none_or(|end| end > at);
        runs.iter().filter(|run| run.started_at <= at && is_running(run.ended_at)).count()
    };
    let most = runs.iter().map(|run| at_once(run.started_at)).max();
    // A quarter of 60 MB. The stand-in ends its run shortly after the response.
    assert!(most.is_some_and(|most| (2..=4).contains(&most)), "{most:?}");
    deployment.close();
}

/// Events of a stream that fills the buffers of the instance and of the sockets.
const LONG_STREAM_EVENTS: u64 = 400_000;

/// An instance with limited memory and a model worker that sends a long stream as fast as it is read.
fn streaming_deployment() -> Deployment {
    let fast =
        WorkerSpec { events: LONG_STREAM_EVENTS, event_interval_ms: 0, ..engine_worker(&["m0"]) };
    let deployment = deployment(vec![("e0", fast)], 1);
    limit_memory(&deployment);
    deployment
}

/// Opens a stream and reads its first bytes.
fn open_stream(deployment: &Deployment, path: &str, deadline_ms: u64) -> (TcpStream, Vec<u8>) {
    let ask = CallerRequest { deadline_ms, ..CallerRequest::post(path, "id1").for_model("m0") };
    let mut stream =
        TcpStream::connect(deployment.instances[0].callers_addr).expect("a connection");
    stream.write_all(&ask.to_bytes()).expect("sent");
    let mut start = vec![0; 4096];
    let count = stream.read(&mut start).expect("a response");
    start.truncate(count);
    (stream, start)
}

/// Returns the body of a response in chunks.
fn decode_chunks(response: &[u8]) -> Vec<u8> {
    let head = response.windows(4).position(|window| window == b"\r\n\r\n").expect("a head");
    let mut rest = &response[head + 4..];
    let mut body = Vec::new();
    while let Some(line) = rest.windows(2).position(|window| window == b"\r\n") {
        let size = std::str::from_utf8(&rest[..line]).ok();
        let size = size.and_then(|text| usize::from_str_radix(text, 16).ok()).expect("a size");
        let start = line + 2;
        body.extend_from_slice(&rest[start..start + size]);
        rest = &rest[start + size + 2..];
    }
    body
}

/// Guards against streams that are cut since their callers pause for seconds, and events that are lost with
/// what was read ahead.
#[test_case("/stream/once/1"; "not resumable")]
#[test_case("/stream/again/1"; "resumable")]
fn a_stream_whose_caller_pauses_is_complete(path: &str) {
    let deployment = streaming_deployment();
    let (mut stream, mut response) = open_stream(&deployment, path, 20_000);
    std::thread::sleep(Duration::from_millis(4500));
    let held = held_bytes(&deployment, "stream").expect("a metric");
    assert!((1.0..1_000_000.0).contains(&held), "{held} bytes held");
    // Keeps the connection open at the end of the stream, so that only its last chunk ends the read.
    while !response.ends_with(b"\r\n0\r\n\r\n") {
        let mut part = vec![0; 65536];
        let count = stream.read(&mut part).expect("a part of the stream");
        assert!(count > 0, "cut after {} bytes", response.len());
        response.extend_from_slice(&part[..count]);
    }
    assert!(decode_chunks(&response) == events(LONG_STREAM_EVENTS).into_bytes());
    assert!(wait_for(|| held_bytes(&deployment, "stream") == Some(0.0)));
    deployment.close();
}

/// Guards against streams that are cut at the deadline although the caller, slow as it is, still reads.
#[test]
fn a_stream_whose_caller_reads_slowly_goes_on_after_the_deadline() {
    let deployment = streaming_deployment();
    let (mut stream, _) = open_stream(&deployment, "/stream/once/1", 3000);
    let started = Instant::now();
    let mut part = vec![0; 65536];
    while started.elapsed() < Duration::from_millis(6000) {
        let count = stream.read(&mut part).expect("a part of the stream");
        assert!(count > 0, "cut after {:?}", started.elapsed());
        std::thread::sleep(Duration::from_millis(100));
    }
    assert!(!deployment.instances[0].process.log().contains("stream_cut"));
    deployment.close();
}

/// Guards against streams without length that end since their worker stops at the deadline, before a slow caller has
/// read them, and that are passed on as complete ones.
#[test]
fn a_stream_without_length_that_its_worker_stops_at_the_deadline_is_not_complete() {
    let deployment = streaming_deployment();
    deployment.worker("e0").set_behavior(Behavior::Unframed);
    deployment.worker("e0").stop_at_deadline();
    let (mut stream, mut response) = open_stream(&deployment, "/stream/once/1", 1000);
    let mut part = vec![0; 65536];
    loop {
        std::thread::sleep(Duration::from_millis(50));
        match stream.read(&mut part).expect("a part of the stream") {
            0 => break,
            count => response.extend_from_slice(&part[..count]),
        }
        assert!(!response.ends_with(b"\r\n0\r\n\r\n"), "complete after {} bytes", response.len());
    }
    deployment.close();
}

/// Guards against a caller that reads nothing and holds memory and a worker beyond the deadline of its request.
#[test]
fn a_stream_whose_caller_reads_nothing_ends_at_the_deadline() {
    let deployment = streaming_deployment();
    let started = Instant::now();
    let (stream, _) = open_stream(&deployment, "/stream/once/1", 3000);
    let is_cut = || deployment.instances[0].process.log().contains("stream_cut");
    assert!(wait_for(is_cut), "the stream is not cut");
    // The deadline, and the time for which a caller counts as reading after its last bytes.
    assert!(started.elapsed() < Duration::from_millis(9000), "{:?}", started.elapsed());
    assert!(started.elapsed() > Duration::from_millis(2900), "{:?}", started.elapsed());
    assert!(wait_for(|| held_bytes(&deployment, "stream") == Some(0.0)));
    assert!(wait_for(|| deployment.worker("e0").runs()[0].ended_at.is_some()));
    drop(stream);
    deployment.close();
}
