//! Membership of a zone, ownership of upstreams and configuration relay.
