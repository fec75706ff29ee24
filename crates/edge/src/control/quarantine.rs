//! Announces requests in quarantine to the other hosts, through the store, and ends their
//! quarantine.

use std::{sync::Arc, time::Duration};

use dunlinrock_decide::admit::{QuarantineStatus, QuarantineUpdate};
use futures::{StreamExt, stream};
use http::StatusCode;
use tokio::sync::mpsc;
use viz::{IntoResponse, Response, Router};

use crate::{
    host::Shared,
    model::{Fingerprint, PlatformStoreError, QuarantineEntry, QuarantineWrite, Revision},
};

/// Path of an entry, followed by its fingerprint.
const PATH: &str = "/peer/v1/quarantine/:fingerprint";

/// Maximum number of entries for which suspects are announced; confirmed requests always are. A
/// failure domain that loses power makes suspects of all that ran there.
const MAX_ENTRIES: usize = 256;

/// Maximum number of concurrent calls to the store.
const MAX_CALLS: usize = 4;

/// Interval between two attempts to announce a change.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Time to live of the record of a confirmed request, as long as the store keeps an entry at most.
pub(crate) const CONFIRMED_TTL: Duration = Duration::from_secs(600);

/// How long a change is retried. By then callers have sent the request again, and its next crash
/// makes another change.
const RETRY_TIME: Duration = Duration::from_secs(10);

/// A change of the quarantine.
#[derive(Clone, Copy, Debug)]
pub(crate) enum QuarantineChange {
    /// This host has learned of a request that crashes targets.
    Announce(QuarantineUpdate),
    /// The request with this fingerprint does not crash targets.
    Release(u64),
}

/// Announces changes as they come.
pub(super) async fn announce(shared: Arc<Shared>, mut changes: mpsc::Receiver<QuarantineChange>) {
    stream::poll_fn(|cx| changes.poll_recv(cx))
        .for_each_concurrent(MAX_CALLS, |change| announce_one(&shared, change))
        .await;
}

/// Returns the announcement of a confirmed request.
pub(crate) fn confirmed(fingerprint: u64) -> QuarantineChange {
    QuarantineChange::Announce(QuarantineUpdate {
        fingerprint,
        status: QuarantineStatus::Convict,
        ttl: CONFIRMED_TTL,
    })
}

/// Announces confirmed requests again that the store has lost. Called by the hosts that read the
/// store in full when it has returned from an older copy.
pub(super) fn announce_lost(shared: &Shared) {
    let view = shared.view.load();
    let is_lost = |revision: &Revision| revision.era < view.revision.era;
    let lost = view.quarantined.values();
    for (entry, _) in lost.filter(|(entry, revision)| entry.is_confirmed && is_lost(revision)) {
        shared.announce_quarantine(confirmed(entry.fingerprint));
    }
}

async fn announce_one(shared: &Shared, change: QuarantineChange) {
    let deadline = shared.now() + RETRY_TIME;
    while let Err(e) = write(shared, change).await {
        if shared.now() >= deadline {
            shared.meters.count("quarantine_unannounced");
            log::warn!(target: "belief", event = "unannounced", change:? = change, error:% = e; "other hosts do not learn of a change of the quarantine");
            return;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Writes a change, unless the entry already shows it.
async fn write(shared: &Shared, change: QuarantineChange) -> Result<(), PlatformStoreError> {
    let view = shared.view.load_full();
    match change {
        QuarantineChange::Announce(update) => {
            let listed = view.quarantined.get(&update.fingerprint);
            // An entry of an earlier era is missing from the store's copy.
            let listed = listed.filter(|(_, revision)| revision.era == view.revision.era);
            let is_confirmed = update.status == QuarantineStatus::Convict;
            let is_known = listed.is_some_and(|(entry, _)| entry.is_confirmed || !is_confirmed);
            if is_known || (!is_confirmed && view.quarantined.len() >= MAX_ENTRIES) {
                return Ok(());
            }
            let entry = QuarantineEntry {
                fingerprint: update.fingerprint,
                is_confirmed,
            };
            let write = QuarantineWrite {
                entry,
                expected: listed.map_or(Revision::NONE, |(_, revision)| *revision),
                ttl: update.ttl,
            };
            let revision = shared.store.quarantine(write).await?;
            shared.announced().insert(update.fingerprint, revision);
            Ok(())
        }
        QuarantineChange::Release(fingerprint) => match view.quarantined.get(&fingerprint) {
            Some((_, revision)) => shared.store.release(fingerprint, *revision).await,
            None => Ok(()),
        },
    }
}

/// Adds the endpoint that ends the quarantine of a request.
pub(super) fn routes(router: Router, shared: &Arc<Shared>) -> Router {
    let shared = Arc::clone(shared);
    router.delete(PATH, move |request: viz::Request| {
        let shared = Arc::clone(&shared);
        async move { Ok(release(&shared, &request).await) }
    })
}

async fn release(shared: &Shared, request: &viz::Request) -> Response {
    let name = request.uri().path().rsplit('/').next().unwrap_or_default();
    let Ok(fingerprint) = u64::from_str_radix(name, 16).map(Fingerprint) else {
        let text = format!("{name} is no fingerprint: 16 hexadecimal digits");
        return (StatusCode::BAD_REQUEST, text).into_response();
    };
    let listed = shared.view.load().quarantined.get(&fingerprint.0).copied();
    let Some((_, revision)) = listed else {
        let text = format!("{fingerprint} is not in quarantine");
        return (StatusCode::NOT_FOUND, text).into_response();
    };
    match shared.store.release(fingerprint.0, revision).await {
        Ok(()) => {
            log::info!(target: "belief", event = "released", fingerprint:% = fingerprint; "released by an operator");
            format!("{fingerprint} is released").into_response()
        }
        Err(e) => (StatusCode::SERVICE_UNAVAILABLE, e.to_string()).into_response(),
    }
}
