//! Responses of an upstream for tests.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;

/// Serves one connection with `response`; returns the address.
pub fn serve_once(response: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("its address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 4096]).expect("a request");
        // The caller may close the connection once it has read the status.
        let _ = stream.write_all(response.as_bytes());
    });
    addr
}
