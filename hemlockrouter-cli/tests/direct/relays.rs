//! Instances of a large availability zone that follow others, which read the registry for them.

use std::time::Duration;
use std::time::Instant;

use hemlockrouter_lab::link::Condition;
use http::StatusCode;

use crate::world::eventually;
use crate::world::World;
use crate::world::CATCH_UP_MS;

/// Five instances for each of two availability zones: enough that three of them follow.
const DAEMONS: usize = 10;

/// Returns a daemon that follows another one, and the one that it follows.
fn followers(world: &World) -> Vec<(usize, usize)> {
    let of = |at: usize| {
        let log = world.log(at);
        let mut lines = log.lines().filter(|line| line.contains("\"following\""));
        let last = lines.next_back()?;
        let relay = world
            .daemons
            .iter()
            .position(|daemon| last.contains(&daemon.relay_address()));
        relay.map(|relay| (at, relay))
    };
    (0..DAEMONS).filter_map(of).collect()
}

fn start() -> (World, Vec<(usize, usize)>) {
    let world = World::start(DAEMONS);
    eventually("six instances follow others", || {
        followers(&world).len() >= 6
    });
    let followers = followers(&world);
    (world, followers)
}

/// Writes a new version, and checks that it is in force at the followers of `relay` in time.
fn check_new_version(world: &mut World, followers: &[(usize, usize)], relay: usize) {
    world.configure(|config| config["routes"][2]["pathPrefix"] = "/moved/".into());
    let written = Instant::now();
    for (at, _) in followers.iter().filter(|(_, followed)| *followed == relay) {
        eventually("the new version is in force", || {
            world.call(*at, "/moved/x", 500).status == Some(StatusCode::OK)
        });
    }
    let took = written.elapsed();
    assert!(took < Duration::from_millis(CATCH_UP_MS), "{took:?}");
}

#[test]
fn followers_learn_of_a_new_version_and_spare_the_registry() {
    let (mut world, followers) = start();
    for (_, relay) in followers.clone() {
        check_new_version(&mut world, &followers, relay);
    }
    std::thread::sleep(Duration::from_secs(2));
    let before = world.store.calls();
    std::thread::sleep(Duration::from_secs(4));
    // Four instances read, each twice in 3.6 s, and ten renew their lease every 6 s.
    let calls = world.store.calls() - before;
    assert!(calls <= 24, "{calls} calls in 4 s");
}

#[test]
fn followers_of_a_frozen_instance_learn_of_a_new_version_in_time() {
    let (mut world, followers) = start();
    let relay = followers[0].1;
    world.daemons[relay].signal("STOP");
    check_new_version(&mut world, &followers, relay);
    world.daemons[relay].signal("CONT");
}

#[test]
fn followers_of_an_instance_that_is_cut_off_learn_of_a_new_version_in_time() {
    let (mut world, followers) = start();
    let relay = followers[0].1;
    let silent = Condition {
        half_open: true,
        ..Condition::default()
    };
    world.daemons[relay].link.set(silent);
    check_new_version(&mut world, &followers, relay);
}
