//! Merges the parts of a search into one answer.
//!
//! An instance that collects parts for another one passes on only records that may be in the merged answer
//! (see [`Greatest`]): between regions bytes are dear, and of most parts no record is among the greatest.

use bytes::Bytes;

/// The size of a record, in bytes. Records are compared byte by byte.
const RECORD_BYTES: usize = 16;

/// Returns the greatest `records_max` records of `parts`, greatest first. What is left over of a part
/// after its last whole record is none.
pub fn merge<'p, I>(parts: I, records_max: usize) -> Vec<u8>
where
    I: IntoIterator<Item = &'p [u8]>,
{
    let whole = parts.into_iter().flat_map(whole_records);
    let mut records: Vec<&[u8]> = whole.collect();
    if records.len() > records_max && records_max > 0 {
        records.select_nth_unstable_by(records_max - 1, |a, b| b.cmp(a));
    }
    records.truncate(records_max);
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.concat()
}

/// The greatest records of the parts that were passed on so far.
///
/// A record that is less than `records_max` others of these parts is in no answer that is merged from them
/// all, whatever other parts it holds. So whoever merges must use all of the parts that were passed on.
#[derive(Debug, Default)]
pub(super) struct Greatest {
    records: Vec<[u8; RECORD_BYTES]>,
}

impl Greatest {
    /// Takes over the records of more parts.
    pub(super) fn add<'p, I>(&mut self, parts: I, records_max: usize)
    where
        I: IntoIterator<Item = &'p [u8]>,
    {
        for record in parts.into_iter().flat_map(whole_records) {
            let record = record.try_into();
            self.records.push(record.expect("chunks have this size"));
        }
        self.records.sort_unstable_by(|a, b| b.cmp(a));
        self.records.truncate(records_max);
    }

    /// Returns the records of `part` that may be in the merged answer.
    pub(super) fn keep(&self, part: &[u8], records_max: usize) -> Bytes {
        let least = match records_max {
            0 => None,
            _ => self.records.get(records_max - 1),
        };
        let kept =
            whole_records(part).filter(|record| least.is_none_or(|least| *record >= &least[..]));
        kept.collect::<Vec<&[u8]>>().concat().into()
    }
}

fn whole_records(part: &[u8]) -> impl Iterator<Item = &[u8]> {
    part.chunks_exact(RECORD_BYTES)
}
