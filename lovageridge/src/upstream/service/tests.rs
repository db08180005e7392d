//! Tests of calls to plain services.

use std::time::Duration;

use test_case::test_case;

use crate::upstream::served::serve_once;
use crate::upstream::service::Error;
use crate::upstream::service::PlainRequest;
use crate::upstream::service::call;

/// Guards against responses whose status is none, and which are passed on or kept under an idempotency key.
#[test_case("000"; "status 000")]
#[test_case("099"; "status 099")]
#[test_case("600"; "status 600")]
#[test_case("999"; "status 999")]
fn a_response_with_an_invalid_status_is_none(status: &str) {
    let addr = serve_once(format!("HTTP/1.1 {status} None\r\nContent-Length: 2\r\n\r\nok"));
    let request =
        PlainRequest { method: "POST", path_and_query: "/book", headers: &[], body: b"body" };
    let result = call(addr, request, "", Duration::from_secs(10));
    assert!(matches!(result, Err(Error::NoResponse(_))), "{result:?}");
}

/// Guards against paths that the HTTP library resolves or parses anew, so that a service gets another path than the
/// caller sent, and methods that it cannot send.
#[test_case("GET", "/service/%2e%2e/other"; "escaped dots")]
#[test_case("GET", "/service/..\\other"; "a backslash")]
#[test_case("GET", "/service/./other"; "a dot")]
#[test_case("CONNECT", "/service/x"; "a method without a path")]
fn a_request_that_cannot_be_sent_as_it_is_is_not_sent(method: &str, path: &str) {
    let addr = serve_once("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned());
    let request = PlainRequest { method, path_and_query: path, headers: &[], body: b"" };
    let result = call(addr, request, "", Duration::from_secs(2));
    assert!(matches!(result, Err(Error::NotSent(_))), "{result:?}");
}

#[test_case("/service/x?q=a%20b&r=../c"; "escapes and dots in the query")]
#[test_case("/service/a..b/%C3%A9"; "dots in a name")]
#[test_case("/service/a|b"; "a character that is escaped on the way")]
fn a_request_is_sent_with_its_path(path: &str) {
    let addr = serve_once("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned());
    let request = PlainRequest { method: "GET", path_and_query: path, headers: &[], body: b"" };
    assert!(call(addr, request, "", Duration::from_secs(2)).is_ok());
}
