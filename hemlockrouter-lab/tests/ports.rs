//! Tests that a reserved port stays free until a process binds it.

use std::net::TcpListener;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use hemlockrouter_lab::ports::Ports;

/// Number of threads that start processes during the test.
const STARTERS: usize = 4;

/// Number of ports that are reserved and bound.
const PORTS: usize = 50_000;

/// Number of ports used of each block.
const PORTS_EACH: usize = 50;

/// Guards against reserved ports that can't be bound. A child process that is being started briefly
/// holds copies of all sockets of its parent, and tests of one process start daemons concurrently.
#[test]
fn a_port_can_be_bound_while_other_processes_are_started() {
    let is_over = AtomicBool::new(false);
    let refused = thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| start_processes(&is_over));
        }
        let refused = count_refused();
        is_over.store(true, Ordering::Relaxed);
        refused
    });
    assert_eq!(refused, 0, "of {PORTS} ports");
}

#[test]
fn a_port_that_is_listened_on_is_passed_over() {
    let first = Ports::take().expect("a block is free").next_free();
    let _listener = TcpListener::bind(first).expect("the port was free");
    let again = Ports::take().expect("a block is free").next_free();
    assert_ne!(again, first);
}

fn start_processes(is_over: &AtomicBool) {
    let me = std::env::current_exe().expect("the test has a file");
    while !is_over.load(Ordering::Relaxed) {
        let listed = Command::new(&me)
            .arg("--list")
            .stdout(Stdio::null())
            .status()
            .expect("the test can be started");
        assert!(listed.success());
    }
}

fn count_refused() -> usize {
    let mut refused = 0;
    for _ in 0..PORTS / PORTS_EACH {
        let mut ports = Ports::take().expect("a block is free");
        let addresses = (0..PORTS_EACH).map(|_| ports.next_free());
        refused += addresses
            .filter(|at| TcpListener::bind(at).is_err())
            .count();
    }
    refused
}
