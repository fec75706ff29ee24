//! Words about requests that kill their targets, as hosts pass them on.

use std::{sync::Arc, time::Duration};

use dunlinrock_decide::admit::{QuarantineStatus, QuarantineUpdate};
use dunlinrock_schema::coord::{Quarantine, QuarantineKind};

use crate::clock::millis;

/// Before the fingerprint of a request under suspicion.
const SUSPECT: &str = "suspect:";
/// Before the fingerprint of a request that is refused.
const CONVICT: &str = "convict:";

pub(super) fn write(word: &QuarantineUpdate) -> Quarantine {
    let grade = match word.status {
        QuarantineStatus::Suspect => SUSPECT,
        QuarantineStatus::Convict => CONVICT,
    };
    Quarantine {
        kind: QuarantineKind::Request,
        id: format!("{grade}{:016x}", word.fingerprint).into(),
        ttl_ms: millis(word.ttl),
    }
}

/// Reads a word; none where it is about something else, or of a kind that this host does not know.
pub(super) fn read(quarantine: &Quarantine) -> Option<QuarantineUpdate> {
    if quarantine.kind != QuarantineKind::Request {
        return None;
    }
    let id: &Arc<str> = &quarantine.id;
    let (status, hash) = match (id.strip_prefix(SUSPECT), id.strip_prefix(CONVICT)) {
        (Some(hash), _) => (QuarantineStatus::Suspect, hash),
        (_, Some(hash)) => (QuarantineStatus::Convict, hash),
        _ => return None,
    };
    Some(QuarantineUpdate {
        fingerprint: u64::from_str_radix(hash, 16).ok()?,
        status,
        ttl: Duration::from_millis(quarantine.ttl_ms),
    })
}
