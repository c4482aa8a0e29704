//! Tests which route a request takes.

use hemlockrouter_route::direct::Dispatcher;
use hemlockrouter_route::direct::RouteTarget;
use hemlockrouter_types::routing::ShardTarget;
use hemlockrouter_types::routing::TargetServices;

use crate::fixture::config;
use crate::fixture::document;
use crate::fixture::route;
use crate::fixture::shards;
use crate::fixture::Fixture;
use crate::fixture::ROUTE_HOST;

fn service_target(service: &str) -> TargetServices {
    TargetServices::Service(String::from(service))
}

#[test]
fn the_longest_matching_prefix_of_the_host_wins() {
    let mut dispatcher = Dispatcher::new(config("me"));
    let routes = vec![
        route("all", "/", service_target("ledger"), true),
        route("short", "/a/", service_target("ledger"), true),
        route("long", "/a/b/", service_target("ledger"), true),
    ];
    assert!(dispatcher.install_routes(document(1, routes)));
    let found_route = |host: &str, path: &str| {
        let route = dispatcher.route_table().find(host, path);
        route
            .map(|route| route.entry.name.clone())
            .unwrap_or_default()
    };
    let cases = [
        (ROUTE_HOST, "/a/b/c", "long"),
        (ROUTE_HOST, "/a/b/", "long"),
        (ROUTE_HOST, "/a/b", "short"),
        (ROUTE_HOST, "/a/bc/d", "short"),
        (ROUTE_HOST, "/b/a/", "all"),
        (ROUTE_HOST, "/?next=/a/b/", "all"),
        ("HALLS.example", "/a/x", "short"),
        ("other.example", "/a/x", ""),
    ];
    for (host, path, expected) in cases {
        assert_eq!(found_route(host, path), expected, "{host}{path}");
    }
}

#[test]
fn a_route_document_is_never_replaced_by_an_older_version() {
    let mut fixture = Fixture::new();
    let moved = || vec![route("moved", "/moved/", service_target("ledger"), true)];
    assert!(fixture.dispatcher.install_routes(document(7, moved())));
    for version in [1, 6, 7] {
        assert!(!fixture
            .dispatcher
            .install_routes(document(version, Vec::new())));
        assert_eq!(fixture.dispatcher.route_table().version(), 7);
        assert!(fixture
            .dispatcher
            .route_table()
            .find(ROUTE_HOST, "/moved/x")
            .is_some());
    }
}

#[test]
fn the_minimum_coverage_is_rounded_up_to_whole_shards() {
    for (shard_count, coverage_min, expected) in
        [(20, 0.85, 17), (20, 0.89, 18), (90, 0.95, 86), (4, 0.0, 1)]
    {
        let mut dispatcher = Dispatcher::new(config("me"));
        let services = (0..shard_count)
            .map(|number| format!("s-{number}"))
            .collect();
        let target = TargetServices::Shards(ShardTarget {
            services,
            records_max: 1,
            coverage_min,
        });
        dispatcher.install_routes(document(1, vec![route("search", "/s/", target, true)]));
        let found_route = dispatcher
            .route_table()
            .find(ROUTE_HOST, "/s/x")
            .expect("the route exists");
        let RouteTarget::Shards { answers_min, .. } = &found_route.target else {
            panic!("the route has shards");
        };
        assert_eq!(
            *answers_min, expected,
            "coverage {coverage_min} of {shard_count} shards"
        );
    }
    assert_eq!(shards().len(), 4);
}
