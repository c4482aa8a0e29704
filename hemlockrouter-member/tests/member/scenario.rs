//! One failure each, with a known outcome.

use hemlockrouter_member::Config;

use crate::net::Net;

/// Three instances that start at once, with each other as seeds, come to own every upstream once.
#[test]
fn first_instances_share_the_upstreams() {
    let mut net = Net::new(Config::default(), 1, 12, 1);
    for address in 0..3 {
        net.start(0, address, &[0, 1, 2]);
    }
    net.run(15_000);
    let holders: Vec<Option<usize>> = net
        .upstreams()
        .into_iter()
        .map(|upstream| net.holder(upstream))
        .collect();
    assert!(holders.iter().all(Option::is_some), "{holders:?}");
}
