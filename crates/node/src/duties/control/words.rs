//! Words about requests that kill their targets, as hosts pass them on.

use std::{sync::Arc, time::Duration};

use dunlinrock_decide::admit::{Grade, Word};
use dunlinrock_schema::coord::{Quarantine, QuarantineKind};

use crate::clock::millis;

/// Before the fingerprint of a request under suspicion.
const SUSPECT: &str = "suspect:";
/// Before the fingerprint of a request that is refused.
const CONVICT: &str = "convict:";

pub(super) fn write(word: &Word) -> Quarantine {
    let grade = match word.grade {
        Grade::Suspect => SUSPECT,
        Grade::Convict => CONVICT,
    };
    Quarantine {
        kind: QuarantineKind::Request,
        id: format!("{grade}{:016x}", word.fingerprint).into(),
        ttl_ms: millis(word.life),
    }
}

/// Reads a word; none where it is about something else, or of a kind that this host does not know.
pub(super) fn read(quarantine: &Quarantine) -> Option<Word> {
    if quarantine.kind != QuarantineKind::Request {
        return None;
    }
    let id: &Arc<str> = &quarantine.id;
    let (grade, hash) = match (id.strip_prefix(SUSPECT), id.strip_prefix(CONVICT)) {
        (Some(hash), _) => (Grade::Suspect, hash),
        (_, Some(hash)) => (Grade::Convict, hash),
        _ => return None,
    };
    Some(Word {
        fingerprint: u64::from_str_radix(hash, 16).ok()?,
        grade,
        life: Duration::from_millis(quarantine.ttl_ms),
    })
}
