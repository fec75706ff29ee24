//! Outcome of an apply, as reported to the operator.

use std::{collections::BTreeSet, fmt, sync::Arc};

use dunlinrock_schema::coord::Entry;

/// Outcome of an apply. Each one is certain when it is reported.
#[derive(Clone, Debug, PartialEq)]
pub enum ApplyOutcome {
    /// The apply took effect.
    Applied {
        /// Revision that the apply made.
        revision: u64,
        /// Later applies, newest first.
        later: Vec<Entry>,
    },
    /// The active configuration is the same; nothing was written.
    Unchanged {
        /// Active revision.
        revision: u64,
    },
    /// Other applies came first; this one did not take effect and never will.
    Conflict {
        /// Revision that the apply was based on.
        base: u64,
        /// Applies since that revision, newest first.
        by: Vec<Entry>,
        /// Names of the parts that they changed; `None` if pieces of the base no longer exist.
        changed: Option<BTreeSet<Arc<str>>>,
    },
    /// The list of applies no longer reaches back to this one. It may have taken effect.
    Undetermined {
        /// Revision that the apply was based on.
        base: u64,
        /// Active revision.
        revision: u64,
    },
    /// The store has an older root than before, or one that cannot be decoded.
    CorruptRoot {
        /// Description of the fault.
        finding: Arc<str>,
    },
}

impl fmt::Display for ApplyOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Applied { revision, later } if later.is_empty() => {
                write!(f, "in force as revision {revision}")
            }
            Self::Applied { revision, later } => write!(
                f,
                "took effect as revision {revision}; since then: {}",
                listed(later)
            ),
            Self::Unchanged { revision } => {
                write!(f, "no change: revision {revision} is this configuration")
            }
            Self::Conflict { base, by, changed } => {
                write!(f, "not applied: revision {base} was overtaken by ")?;
                write!(f, "{}; ", listed(by))?;
                match changed {
                    Some(names) => write!(f, "they changed {}", text(names))?,
                    None => write!(f, "what they changed is no longer kept")?,
                }
                write!(f, "; review the plan and apply again")
            }
            Self::Undetermined { base, revision } => write!(
                f,
                "unknown: based on revision {base}, and the list of applies does not reach back \
                 so far from revision {revision}; compare what is in force with `plan`"
            ),
            Self::CorruptRoot { finding } => {
                write!(f, "the root in the store is not usable: {finding}")
            }
        }
    }
}

fn listed(entries: &[Entry]) -> String {
    let one = |entry: &Entry| format!("revision {} ({} by {})", entry.revision, entry.id, entry.by);
    entries.iter().map(one).collect::<Vec<_>>().join(", ")
}

fn text(names: &BTreeSet<Arc<str>>) -> String {
    let names: Vec<&str> = names.iter().map(|name| &**name).collect();
    names.join(", ")
}
