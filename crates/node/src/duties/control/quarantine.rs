//! Conversion of quarantine updates to and from the records that hosts exchange. A quarantine is
//! about a request that crashes its targets.

use std::{sync::Arc, time::Duration};

use dunlinrock_decide::admit::{QuarantineStatus, QuarantineUpdate};
use dunlinrock_schema::coord::{Quarantine, QuarantineKind};

use crate::clock::millis;

/// Prefix of the fingerprint of a suspect request.
const SUSPECT_PREFIX: &str = "suspect:";
/// Prefix of the fingerprint of a request that is refused.
const CONVICT_PREFIX: &str = "convict:";

pub(super) fn write(update: &QuarantineUpdate) -> Quarantine {
    let prefix = match update.status {
        QuarantineStatus::Suspect => SUSPECT_PREFIX,
        QuarantineStatus::Convict => CONVICT_PREFIX,
    };
    Quarantine {
        kind: QuarantineKind::Request,
        id: format!("{prefix}{:016x}", update.fingerprint).into(),
        ttl_ms: millis(update.ttl),
    }
}

/// Converts a record; returns `None` if it is not about a request, or has a status that this host
/// does not know.
pub(super) fn read(quarantine: &Quarantine) -> Option<QuarantineUpdate> {
    if quarantine.kind != QuarantineKind::Request {
        return None;
    }
    let id: &Arc<str> = &quarantine.id;
    let (status, hash) = match (
        id.strip_prefix(SUSPECT_PREFIX),
        id.strip_prefix(CONVICT_PREFIX),
    ) {
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
