//! Tests of planned stops.

use std::io::Read;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::harness::Cluster;
use crate::harness::Layout;

/// The time after SIGTERM at which the caller connects. The instance closes its connections 2 s
/// after the signal, and a connection without a request 1 s after it was opened.
const CONNECT_AFTER: Duration = Duration::from_millis(1_500);

/// Guards against a request that crosses the close of its connection and gets no answer.
#[test]
fn connection_without_a_request_is_closed_with_an_answer() {
    let mut cluster = Cluster::start(Layout::new());
    let address = cluster.callers()[0];
    let caller = thread::spawn(move || {
        thread::sleep(CONNECT_AFTER);
        let mut connection = TcpStream::connect(address).expect("the instance accepts");
        let mut answer = String::new();
        // A reset after the answer would lose nothing.
        let _ = connection.read_to_string(&mut answer);
        answer
    });
    assert!(cluster.instances[0].shut_down().success());
    let answer = caller.join().expect("the caller has not panicked");
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer:?}");
}
