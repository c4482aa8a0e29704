//! Tests that the link relays or holds back bytes according to its condition.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use hemlockrouter_lab::link::LinkCondition;
use hemlockrouter_lab::link::TcpRelay;

/// Starts an echo server behind a link, and returns the link.
fn start_link() -> TcpRelay {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let to = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || std::io::copy(&mut &stream, &mut &stream));
        }
    });
    let listen = "127.0.0.1:0".parse().expect("an address");
    TcpRelay::start(listen, to, LinkCondition::default()).expect("a free port")
}

fn connect(link: &TcpRelay) -> TcpStream {
    TcpStream::connect(link.addr()).expect("the link listens")
}

fn echo(stream: &mut TcpStream) -> std::io::Result<u8> {
    stream.write_all(b"x")?;
    let mut byte = [0];
    stream.read_exact(&mut byte)?;
    Ok(byte[0])
}

#[test]
fn a_cut_link_closes_connections_and_recovers() {
    let link = start_link();
    let mut stream = connect(&link);
    assert_eq!(echo(&mut stream).expect("an echo"), b'x');
    link.set_condition(LinkCondition {
        cut: true,
        ..LinkCondition::default()
    });
    assert!(echo(&mut stream).is_err());
    assert!(echo(&mut connect(&link)).is_err());
    link.set_condition(LinkCondition::default());
    assert_eq!(echo(&mut connect(&link)).expect("an echo"), b'x');
    assert_eq!(link.counts().bytes, 4);
}

#[test]
fn a_half_open_link_delivers_bytes_after_recovery() {
    let link = start_link();
    let mut stream = connect(&link);
    assert_eq!(echo(&mut stream).expect("an echo"), b'x');
    link.set_condition(LinkCondition {
        half_open: true,
        ..LinkCondition::default()
    });
    let read_timeout = Some(Duration::from_millis(100));
    stream.set_read_timeout(read_timeout).expect("a socket");
    assert!(echo(&mut stream).is_err());
    link.set_condition(LinkCondition::default());
    stream.set_read_timeout(None).expect("a socket");
    let mut byte = [0];
    stream.read_exact(&mut byte).expect("the byte held back");
    assert_eq!(byte, *b"x");
}
