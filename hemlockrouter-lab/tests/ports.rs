//! Tests that a reserved port stays free until a process binds it.

use std::net::TcpListener;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use hemlockrouter_lab::ports::PortBlock;

/// Number of threads that start processes during the test.
const STARTER_THREADS: usize = 4;

/// Number of ports that are reserved and bound.
const TOTAL_PORTS: usize = 50_000;

/// Number of ports used of each block.
const PORTS_USED_PER_BLOCK: usize = 50;

/// Guards against reserved ports that can't be bound. A child process that is being started briefly
/// holds copies of all sockets of its parent, and tests of one process start daemons concurrently.
#[test]
fn reserved_ports_can_be_bound_while_processes_start() {
    let stop = AtomicBool::new(false);
    let bind_failures = thread::scope(|scope| {
        for _ in 0..STARTER_THREADS {
            scope.spawn(|| start_processes(&stop));
        }
        let bind_failures = count_bind_failures();
        stop.store(true, Ordering::Relaxed);
        bind_failures
    });
    assert_eq!(bind_failures, 0, "of {TOTAL_PORTS} ports");
}

#[test]
fn a_port_in_use_is_not_handed_out() {
    let first = PortBlock::reserve()
        .expect("a block is free")
        .next_free_addr();
    let _listener = TcpListener::bind(first).expect("the port was free");
    let again = PortBlock::reserve()
        .expect("a block is free")
        .next_free_addr();
    assert_ne!(again, first);
}

fn start_processes(stop: &AtomicBool) {
    let test_binary = std::env::current_exe().expect("the test has a file");
    while !stop.load(Ordering::Relaxed) {
        let status = Command::new(&test_binary)
            .arg("--list")
            .stdout(Stdio::null())
            .status()
            .expect("the test can be started");
        assert!(status.success());
    }
}

fn count_bind_failures() -> usize {
    let mut bind_failures = 0;
    for _ in 0..TOTAL_PORTS / PORTS_USED_PER_BLOCK {
        let mut ports = PortBlock::reserve().expect("a block is free");
        let addresses = (0..PORTS_USED_PER_BLOCK).map(|_| ports.next_free_addr());
        bind_failures += addresses
            .filter(|address| TcpListener::bind(address).is_err())
            .count();
    }
    bind_failures
}
