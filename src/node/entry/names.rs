//! Index of the catalogue by the names that callers use.

use std::collections::BTreeMap;

use hemlockrouter_config::KeyIndex;
use hemlockrouter_types::prelude::*;

/// Index of the catalogue by the names that callers use.
#[derive(Default)]
pub(super) struct NameIndex {
    pub(super) customers: KeyIndex,
    pub(super) searches: BTreeMap<(CustomerKey, String), SearchKey>,
    pub(super) operations: BTreeMap<(CustomerKey, String), OperationKey>,
}

impl NameIndex {
    /// Builds the index of `catalog`.
    pub(super) fn new(catalog: &Catalog) -> NameIndex {
        let searches = catalog.searches.iter();
        let operations = catalog.operations.iter();
        NameIndex {
            customers: KeyIndex::new(catalog),
            searches: searches
                .map(|(key, s)| ((s.customer, s.name.clone()), key))
                .collect(),
            operations: operations
                .map(|(key, o)| ((o.customer, o.name.clone()), key))
                .collect(),
        }
    }
}
