//! Suggests the name that was most likely meant by an unknown one.

/// Minimum length of a word, in bytes, that matches as a prefix of a candidate.
const MIN_PREFIX: usize = 3;

/// Returns the candidate nearest to `word` if `word` is likely a typo of it: the edit distance is at
/// most a third of the word's letters, or one starts with the other. A suggestion farther away
/// misleads more often than it helps.
pub(crate) fn nearest<'a>(
    word: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let limit = word.chars().count().max(3) / 3;
    candidates
        .into_iter()
        .map(|candidate| (distance(word, candidate), candidate))
        .filter(|(distance, candidate)| *distance <= limit || shares_prefix(word, candidate))
        .min()
        .map(|(_, candidate)| candidate)
}

fn shares_prefix(word: &str, candidate: &str) -> bool {
    let shortest = word.len().min(candidate.len());
    shortest >= MIN_PREFIX && (candidate.starts_with(word) || word.starts_with(candidate))
}

/// Returns the fix for an unknown word: the nearest candidate, or a list of all.
pub(crate) fn suggest<'a>(
    word: &str,
    candidates: impl IntoIterator<Item = &'a str> + Clone,
    all: &str,
) -> String {
    if let Some(near) = nearest(word, candidates.clone()) {
        return format!("did you mean `{near}`?");
    }
    let list = list(candidates);
    if list.is_empty() {
        return format!("there are no {all}");
    }
    format!("the {all} are {list}")
}

/// Maximum number of names in a message.
const MAX_SHOWN: usize = 12;

/// Returns the names in backquotes, separated by commas; a long list is truncated.
pub(crate) fn list<'a>(names: impl IntoIterator<Item = &'a str>) -> String {
    let mut out = String::new();
    for (n, name) in names.into_iter().enumerate() {
        if n == MAX_SHOWN {
            out.push_str(", ...");
            break;
        }
        if n > 0 {
            out.push_str(", ");
        }
        out.push('`');
        out.push_str(name);
        out.push('`');
    }
    out
}

/// Returns the edit distance: the number of insertions, deletions, substitutions and transpositions
/// of adjacent letters.
fn distance(a: &str, b: &str) -> usize {
    let a: Vec<char> = a.chars().collect();
    let b: Vec<char> = b.chars().collect();
    let mut before: Vec<usize> = Vec::new();
    let mut last: Vec<usize> = (0..=b.len()).collect();
    for i in 0..a.len() {
        let mut row = vec![i + 1];
        for j in 0..b.len() {
            let change = last[j] + usize::from(a[i] != b[j]);
            let mut best = change.min(last[j + 1] + 1).min(row[j] + 1);
            if i > 0 && j > 0 && a[i] == b[j - 1] && a[i - 1] == b[j] {
                best = best.min(before[j - 1] + 1);
            }
            row.push(best);
        }
        before = last;
        last = row;
    }
    last[b.len()]
}
