//! The edge to the platform's store and instance list.
