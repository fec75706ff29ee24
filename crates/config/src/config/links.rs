//! Validation of links between regions.

use std::{collections::BTreeMap, sync::Arc};

use super::draft::Draft;
use crate::Findings;

pub(super) fn check(draft: &Draft, findings: &mut Findings) {
    let mut pairs: BTreeMap<(&Arc<str>, &Arc<str>), &Arc<str>> = BTreeMap::new();
    for (name, link) in &draft.config.links {
        if link.from == link.to {
            findings.error(
                draft.value(&["links", name, "to"]),
                format!(
                    "link `{name}` leads from `{}` to itself; name the region at the other end",
                    link.to
                ),
            );
            continue;
        }
        let pair = ends(&link.from, &link.to);
        let Some(other) = pairs.insert(pair, name) else {
            continue;
        };
        let message = |other: &str| {
            format!(
                "`{}` and `{}` are also linked by `{other}`; keep one link, it serves both directions",
                pair.0, pair.1
            )
        };
        findings.error(draft.key(&["links", name]), message(other));
        findings.error(draft.key(&["links", other]), message(name));
    }
}

/// Returns both ends in a fixed order, since a link serves both directions.
fn ends<'a>(a: &'a Arc<str>, b: &'a Arc<str>) -> (&'a Arc<str>, &'a Arc<str>) {
    if a < b { (a, b) } else { (b, a) }
}
