//! Zones, addresses, upstreams and rumours for the tests.

use std::net::SocketAddr;

use hemlockrouter_types::catalog::Upstream;
use hemlockrouter_types::catalog::Zone;
use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::member::Peer;
use hemlockrouter_wire::member::PeerCondition;
use hemlockrouter_wire::member::Rumour;

pub(crate) fn established_rumour(peer: &Peer) -> Rumour {
    Rumour {
        peer: peer.clone(),
        condition: PeerCondition::Alive,
        refutations: 0,
        established: true,
    }
}

pub(crate) fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

pub(crate) fn address_of(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7_000))
}

pub(crate) fn catalog(zones: usize, upstreams: usize) -> Catalog {
    let mut catalog = Catalog::default();
    for zone in 0..zones {
        let zone = catalog.zones.insert(Zone {
            name: zone_name(zone),
            region: "region".to_owned(),
            in_service: true,
        });
        for index in 0..upstreams {
            catalog.upstreams.insert(Upstream {
                name: format!("upstream-{zone}-{index}"),
                address: address_of(index),
                zone,
                slots: 2,
                cold_slots: 1,
                connections: 25,
                in_service: true,
            });
        }
    }
    catalog
}
