//! Tests that arenas assign keys by the order of operations alone, and that keys of removed values
//! find nothing.

use hemlockrouter_types::prelude::*;

#[test]
fn removed_key_does_not_find_the_next_value_of_its_slot() {
    let mut arena: Arena<ZoneKey, &str> = Arena::new();
    let first = arena.insert("first");
    assert_eq!(arena.remove(first), Some("first"));
    let second = arena.insert("second");
    assert_eq!(second.slot(), first.slot());
    assert_eq!(arena.get(first), None);
    assert_eq!(arena.get(second), Some(&"second"));
    assert_eq!(arena.remove(first), None);
    assert_eq!(arena.len(), 1);
}

#[test]
fn equal_operations_assign_equal_keys() {
    let build_arena = || {
        let mut arena: Arena<UpstreamKey, u32> = Arena::new();
        let keys: Vec<UpstreamKey> = (0..10).map(|n| arena.insert(n)).collect();
        arena.remove(keys[4]);
        arena.remove(keys[2]);
        arena.insert(11);
        arena.insert(12);
        arena
    };
    assert_eq!(build_arena(), build_arena());
}
