//! Ports are handed out while other threads start processes, which hold copies of open sockets for a
//! moment between their fork and their program.

use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::process::Command;
use std::thread;

use standins::process::free_port;
use standins::process::listen;
use standins::process::listen_pair;

/// Processes that each thread starts.
const PROCESSES: usize = 300;
/// Ports that each thread asks for meanwhile.
const PORTS: usize = 1500;

/// Runs `ask` in three threads while three others start processes.
fn while_processes_start(ask: impl Fn() + Sync) {
    thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(|| {
                for _ in 0..PROCESSES {
                    let status = Command::new("true").status().expect("a process");
                    assert!(status.success());
                }
            });
            scope.spawn(|| (0..PORTS).for_each(|_| ask()));
        }
    });
}

#[test]
fn ports_are_had_while_processes_start() {
    while_processes_start(|| {
        drop(listen().expect("a listener"));
        drop(listen_pair().expect("a pair of sockets"));
    });
}

#[test]
fn a_port_that_was_handed_out_can_be_bound_at_once_while_processes_start() {
    while_processes_start(|| {
        let port = free_port().expect("a port");
        TcpListener::bind((Ipv4Addr::LOCALHOST, port)).expect("the port is free");
        UdpSocket::bind((Ipv4Addr::LOCALHOST, port)).expect("the port is free");
    });
}
