//! Tests of malformed, oversized and slow requests.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use standins::platform::caller::Caller;
use standins::platform::caller::CallerRequest;
use test_case::test_case;

use crate::small_deployment;

#[test_case("GET /look/1 HTTP/1.1\r\nHost: site.example\r\nX-Lovageridge-Attempt-Id: id\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\nGET /look/2 HTTP/1.1\r\nHost: site.example\r\nX-Lovageridge-Attempt-Id: id\r\n\r\n"; "two lengths")]
#[test_case("POST /book/1 HTTP/1.1\r\nHost: site.example\r\nX-Lovageridge-Attempt-Id: id\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde"; "conflicting lengths")]
#[test_case("POST /book/1 HTTP/1.1\r\nHost: site.example\r\nX-Lovageridge-Attempt-Id: id\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"; "a malformed chunk")]
#[test_case("GET /look/1 HTTP/1.1\r\nHost: site.example\r\nX-Lovageridge-Attempt-Id: id\r\nBad Name: 1\r\n\r\n"; "a malformed header")]
#[test_case("\u{0}\u{1}\u{2}\r\n\r\n"; "no request at all")]
fn malformed_requests_are_not_executed(text: &str) {
    let deployment = small_deployment(1);
    let to = deployment.instances[0].callers_addr;
    let mut caller = Caller::connect(to).expect("a connection");
    // The connection may end while the bytes are still on their way.
    let _ = caller.write(text.as_bytes());
    let _ = caller.read_response();
    thread::sleep(Duration::from_millis(200));
    let runs = deployment.worker("p0").runs();
    assert!(runs.iter().all(|run| run.path == "/look/1"), "{runs:?}");
    assert!(runs.len() <= 1, "{runs:?}");
    let reply = CallerRequest::get("/look/3", "after").send(to).expect("a response");
    assert_eq!(reply.status_code, 200);
    deployment.close();
}

#[test]
fn headers_and_bodies_over_their_limits_are_refused() {
    let deployment = small_deployment(1);
    let to = deployment.instances[0].callers_addr;
    let mut ask = CallerRequest::get("/look/1", "id1");
    ask.headers = format!("X-Long: {}\r\n", "x".repeat(20_000));
    assert_eq!(ask.send(to).expect("a response").status_code, 431);
    let mut ask = CallerRequest::post("/book/1", "id2");
    ask.body = vec![b'x'; 70_000];
    assert_eq!(ask.send(to).expect("a response").status_code, 413);
    assert!(deployment.worker("p0").runs().is_empty());
    deployment.close();
}

#[test]
fn an_idle_connection_is_closed_at_its_timeout_and_not_before_80_percent_of_it() {
    let deployment = small_deployment(1);
    let mut caller = Caller::connect(deployment.instances[0].callers_addr).expect("a connection");
    for pause_ms in [0, 1600] {
        thread::sleep(Duration::from_millis(pause_ms));
        caller.write(&CallerRequest::get("/look/1", "id").to_bytes()).expect("sent");
        assert_eq!(caller.read_response().expect("a response").status_code, 200);
    }
    // The idle timeout of this configuration is 2 s.
    thread::sleep(Duration::from_millis(2600));
    let sent = caller.write(&CallerRequest::get("/look/1", "id").to_bytes());
    assert!(sent.is_err() || caller.read_response().is_err());
    deployment.close();
}

#[test]
fn a_connection_without_a_request_is_closed() {
    let deployment = small_deployment(1);
    let mut caller = Caller::connect(deployment.instances[0].callers_addr).expect("a connection");
    let started = Instant::now();
    assert!(caller.read_response().is_err(), "a response without a request");
    // About twice the idle timeout of 2 s.
    let elapsed = started.elapsed();
    assert!(elapsed < Duration::from_millis(4500), "open after {elapsed:?}");
    deployment.close();
}

#[test]
fn slow_request_headers_are_refused_at_their_timeout() {
    let deployment = small_deployment(1);
    let mut caller = Caller::connect(deployment.instances[0].callers_addr).expect("a connection");
    // The header timeout is 1 s, without the idle time before the headers.
    thread::sleep(Duration::from_millis(900));
    let started = Instant::now();
    caller.write(b"GET /look/1 HTTP/1.1\r\nHost: site.example\r\nX-Slow: ").expect("sent");
    for _ in 0..8 {
        thread::sleep(Duration::from_millis(100));
        caller.write(b"x").expect("sent");
    }
    let reply = caller.read_response().expect("a response");
    assert_eq!(reply.status_code, 408);
    let elapsed = started.elapsed();
    assert!(elapsed >= Duration::from_millis(950), "{elapsed:?}");
    assert!(elapsed < Duration::from_millis(1500), "{elapsed:?}");
    deployment.close();
}

#[test]
fn a_stalled_body_is_refused_and_a_slow_one_is_not() {
    let deployment = small_deployment(1);
    let to = deployment.instances[0].callers_addr;
    let head = "POST /book/1 HTTP/1.1\r\nHost: site.example\r\nX-Lovageridge-Attempt-Id: id1\r\n\
                Content-Length: 4\r\n\r\n";
    let mut slow = Caller::connect(to).expect("a connection");
    let mut stalled = Caller::connect(to).expect("a connection");
    stalled.write(format!("{head}a").as_bytes()).expect("sent");
    for piece in [head, "a", "b", "c", "d"] {
        slow.write(piece.as_bytes()).expect("sent");
        thread::sleep(Duration::from_millis(600));
    }
    assert_eq!(slow.read_response().expect("a response").status_code, 200);
    // The timeout of a pause within a body is 2 s.
    assert_eq!(stalled.read_response().expect("a response").status_code, 408);
    assert_eq!(deployment.worker("p0").runs().len(), 1);
    deployment.close();
}

#[test]
fn many_slow_callers_do_not_delay_others() {
    let deployment = small_deployment(1);
    let to = deployment.instances[0].callers_addr;
    let slow: Vec<Caller> = (0..200)
        .map(|_| {
            let mut caller = Caller::connect(to).expect("a connection");
            caller.write(b"GET /look/1 HTTP/1.1\r\nHost: si").expect("sent");
            caller
        })
        .collect();
    let reply = CallerRequest::get("/look/2", "id1").send(to).expect("a response");
    assert_eq!(reply.status_code, 200);
    drop(slow);
    deployment.close();
}

#[test]
fn a_chunked_body_that_arrives_in_pieces_is_accepted() {
    let deployment = small_deployment(1);
    let mut caller = Caller::connect(deployment.instances[0].callers_addr).expect("a connection");
    let head = "POST /book/1 HTTP/1.1\r\nHost: site.example\r\nX-Lovageridge-Attempt-Id: id1\r\n\
                Transfer-Encoding: chunked\r\n\r\n";
    for piece in [head, "3\r\nab", "c\r\n", "2\r\nde\r\n0\r\n\r\n"] {
        caller.write(piece.as_bytes()).expect("sent");
        thread::sleep(Duration::from_millis(30));
    }
    assert_eq!(caller.read_response().expect("a response").status_code, 200);
    assert_eq!(deployment.worker("p0").runs().len(), 1);
    deployment.close();
}
