//! Tests of the command line against a recorded administration port.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpListener;
use std::process::Command;
use std::thread;

use test_case::test_case;

/// Runs the program with `arguments` and returns the target of its request to the administration port.
fn requested_target(arguments: &[&str]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("the address of the listener").to_string();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut line = String::new();
        let mut lines = BufReader::new(stream.try_clone().expect("a second handle"));
        lines.read_line(&mut line).expect("a request line");
        let response = b"HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n{\"sections\":[]}";
        stream.write_all(response).expect("a response");
        line.split(' ').nth(1).unwrap_or_default().to_owned()
    });
    let status = Command::new(env!("CARGO_BIN_EXE_lovageridge"))
        .args(arguments)
        .args(["--admin", &addr])
        .status();
    assert!(status.is_ok_and(|status| status.success()), "{arguments:?}");
    server.join().expect("a target")
}

/// Guards against names that change the target of a request, so that another resource is asked for.
#[test_case(&["status", "--explain", "a/b?c#d%"], "/v1/explain/a%2Fb%3Fc%23d%25"; "a model")]
#[test_case(&["status", "--explain", "chat-small"], "/v1/explain/chat-small"; "an ordinary model")]
#[test_case(&["sections", "--json", "--prefix", "a&b +c#"], "/v1/sections?prefix=a%26b%20%2Bc%23"; "a prefix")]
fn names_are_escaped_in_requests_to_the_administration_port(arguments: &[&str], expected: &str) {
    assert_eq!(requested_target(arguments), expected);
}
