//! Ports are handed out while other threads start processes, which hold copies of open sockets for a
//! moment between their fork and their program.

use std::process::Command;
use std::thread;

use standins::process::listen;
use standins::process::listen_pair;

/// Processes that each thread starts.
const PROCESSES: usize = 300;
/// Ports that each thread asks for meanwhile.
const PORTS: usize = 1500;

#[test]
fn ports_are_had_while_processes_start() {
    thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(|| {
                for _ in 0..PROCESSES {
                    let status = Command::new("true").status().expect("a process");
                    assert!(status.success());
                }
            });
        }
        for _ in 0..3 {
            scope.spawn(|| {
                for _ in 0..PORTS {
                    drop(listen().expect("a listener"));
                    drop(listen_pair().expect("a pair of sockets"));
                }
            });
        }
    });
}
