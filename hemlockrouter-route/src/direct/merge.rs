//! Merges the answers of a search's shards into one answer.
//!
//! An instance that collects shards for another instance passes on only those records that may be
//! part of the merged answer (see [`GreatestRecords`]): traffic between regions is expensive, and
//! most shards hold none of the greatest records.

use bytes::Bytes;

/// The size of a record, in bytes. Records are ordered bytewise.
const RECORD_BYTES: usize = 16;

/// Returns the `records_max` greatest records of `parts` in descending order. An incomplete record
/// at the end of a part is ignored.
pub fn merge<'p, I>(parts: I, records_max: usize) -> Vec<u8>
where
    I: IntoIterator<Item = &'p [u8]>,
{
    let complete_records = parts.into_iter().flat_map(complete_records_of);
    let mut records: Vec<&[u8]> = complete_records.collect();
    if records.len() > records_max && records_max > 0 {
        records.select_nth_unstable_by(records_max - 1, |a, b| b.cmp(a));
    }
    records.truncate(records_max);
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.concat()
}

/// The greatest records among the answers that were passed on so far.
///
/// A record that is smaller than `records_max` other records of these answers can't be part of any
/// answer merged from all of them. The receiver must therefore merge all answers that were passed
/// on.
#[derive(Debug, Default)]
pub(super) struct GreatestRecords {
    records: Vec<[u8; RECORD_BYTES]>,
}

impl GreatestRecords {
    /// Adds the records of further answers.
    pub(super) fn add<'p, I>(&mut self, parts: I, records_max: usize)
    where
        I: IntoIterator<Item = &'p [u8]>,
    {
        for record in parts.into_iter().flat_map(complete_records_of) {
            let record = record.try_into();
            self.records.push(record.expect("chunks have this size"));
        }
        self.records.sort_unstable_by(|a, b| b.cmp(a));
        self.records.truncate(records_max);
    }

    /// Returns the records of `part` that may be part of the merged answer.
    pub(super) fn retain_candidates(&self, part: &[u8], records_max: usize) -> Bytes {
        let threshold = match records_max {
            0 => None,
            _ => self.records.get(records_max - 1),
        };
        let candidates = complete_records_of(part)
            .filter(|record| threshold.is_none_or(|threshold| *record >= &threshold[..]));
        candidates.collect::<Vec<&[u8]>>().concat().into()
    }
}

fn complete_records_of(part: &[u8]) -> impl Iterator<Item = &[u8]> {
    part.chunks_exact(RECORD_BYTES)
}
