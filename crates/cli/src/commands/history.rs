//! `history`: lists the most recent applies.

use dunlinrock_coord::{pieces::Hash, wire};
use dunlinrock_node::store::{Store, StoreError, piece_key};
use dunlinrock_schema::coord::{Entry, Past, Root};

use super::store;
use crate::{
    args::History,
    exit::{CliError, Exit},
    output,
    runtime::block_on,
};

/// Prints the most recent applies, newest first.
pub(crate) fn history(args: &History) -> Result<(), CliError> {
    let entries = block_on(async {
        let root = store::read_some(&args.store).await?.root;
        let store = store::open(&args.store)?;
        entries(&store, root, args.count)
            .await
            .map_err(|e| CliError::from_error(Exit::Unreachable, &e))
    })??;
    output::line(format_args!(
        "{:>8}  {:<24}  {:<16}  {:<16}",
        "revision", "at", "by", "apply"
    ))?;
    for entry in entries {
        output::line(format_args!(
            "{:>8}  {:<24}  {:<16}  {:<16}",
            entry.revision,
            date(entry.at_ms),
            entry.by,
            entry.id
        ))?;
    }
    Ok(())
}

/// Reads up to `count` entries from the root and the pieces that continue it.
async fn entries(store: &Store, root: Root, count: usize) -> Result<Vec<Entry>, StoreError> {
    let mut entries = vec![root.now];
    entries.extend(root.recent);
    let mut next = Hash::read(&root.past);
    while let Some(hash) = next.filter(|_| entries.len() < count) {
        let found = store.get(&piece_key(&hash)).await?.value;
        let Some(past) = found.and_then(|bytes| wire::decode::<Past>(&bytes).ok()) else {
            break;
        };
        entries.extend(past.entries);
        next = Hash::read(&past.before);
    }
    entries.truncate(count);
    Ok(entries)
}

/// Number of days in 400 years of the Gregorian calendar.
const DAYS_PER_ERA: u64 = 146_097;

/// Formats a time since 1970 as date and time in UTC.
fn date(at_ms: u64) -> String {
    let seconds = at_ms / 1000;
    let (days, rest) = (seconds / 86_400, seconds % 86_400);
    let (year, month, day) = civil(days);
    let (hour, minute, second) = (rest / 3600, rest / 60 % 60, rest % 60);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02} UTC")
}

/// Converts days since 1970 to year, month and day of the Gregorian calendar.
///
/// The calculation counts from 1 March of year 0: with the leap day at the end of the year, the
/// lengths of months repeat every five months, and all eras of 400 years have the same length.
fn civil(days: u64) -> (u64, u64, u64) {
    let days = days + 719_468;
    let (era, day) = (days / DAYS_PER_ERA, days % DAYS_PER_ERA);
    let year = (day - day / 1460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let shifted = (5 * day + 2) / 153;
    let date = day - (153 * shifted + 2) / 5 + 1;
    let month = if shifted < 10 {
        shifted + 3
    } else {
        shifted - 9
    };
    (era * 400 + year + u64::from(month <= 2), month, date)
}
