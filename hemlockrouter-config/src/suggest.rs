//! Suggests a known name for a misspelled one.

/// The largest edit distance at which a name is suggested.
const MAX_SUGGESTION_EDITS: usize = 3;

/// Returns the known name with the smallest edit distance to `name`, unless the distance is more
/// than `MAX_SUGGESTION_EDITS` or half the length of `name`.
pub(crate) fn suggest_name<'k>(name: &str, known: &[&'k str]) -> Option<&'k str> {
    let distances = known
        .iter()
        .map(|known| (edit_distance(name, known), *known));
    let (edit_distance, suggestion) = distances.min()?;
    let limit = MAX_SUGGESTION_EDITS.min(name.chars().count() / 2);
    (edit_distance <= limit).then_some(suggestion)
}

/// Returns the Levenshtein distance between two names: the fewest single-character edits that turn
/// one name into the other.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (at, a) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = at + 1;
        for (col, b) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(a != *b);
            diagonal = row[col + 1];
            row[col + 1] = replaced.min(row[col] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}
