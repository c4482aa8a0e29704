//! Merges the parts of a search into one answer.

/// The size of a record, in bytes. Records are compared byte by byte.
const RECORD_BYTES: usize = 16;

/// Returns the greatest `records_max` records of `parts`, greatest first. What is left over of a part
/// after its last whole record is none.
pub fn merge<'p, I>(parts: I, records_max: usize) -> Vec<u8>
where
    I: IntoIterator<Item = &'p [u8]>,
{
    let whole = parts
        .into_iter()
        .flat_map(|part| part.chunks_exact(RECORD_BYTES));
    let mut records: Vec<&[u8]> = whole.collect();
    if records.len() > records_max && records_max > 0 {
        records.select_nth_unstable_by(records_max - 1, |a, b| b.cmp(a));
    }
    records.truncate(records_max);
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.concat()
}
