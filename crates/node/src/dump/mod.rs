//! The complete state of a host as JSON, on request.

use std::time::Duration;

use dunlinrock_decide::admit::{Load, TargetState};
use serde_json::{Value, json};
use tokio::sync::oneshot;

use crate::{
    clock::millis,
    duties::{
        control, ledger,
        pools::{self, PoolReport},
    },
    metrics::COUNTERS,
    ring,
    shared::Shared,
    view::{Member, PoolRoute, View},
};

/// Timeout for a worker's answer; the state of a worker that does not answer is `null`.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Collects the state of all workers.
pub async fn collect(shared: &Shared) -> Value {
    let view = shared.view.load_full();
    let pools = ask(&shared.pools, pools::Input::GetState).await;
    let ledger = ask(&shared.ledger, ledger::Input::GetState).await;
    let control = ask(&shared.control, control::Input::GetState).await;
    json!({
        "host": member(&shared.me),
        "uptime_ms": millis(shared.now()),
        "revision": view.revision,
        "ready": view.ready,
        "leaving": view.leaving,
        "view": view.number,
        "members": view.members.values().map(|m| member(m)).collect::<Vec<_>>(),
        "pools": view.pools.values().map(|route| pool(route, shared.now())).collect::<Vec<_>>(),
        "owned": pools.map(|reports| reports.iter().map(owned).collect::<Vec<_>>()),
        "shares": shares(&view),
        "ledger": ledger.map(|report| json!({
            "epoch": report.epoch,
            "records": report.counts.records,
            "open": report.counts.open,
            "waiting": report.counts.waiting,
            "answer_bytes": report.counts.answer_bytes,
            "stopped": report.stopped,
        })),
        "control": control,
        "words": view.quarantines.iter().map(|update| json!({
            "fingerprint": format!("{:016x}", update.fingerprint),
            "grade": format!("{:?}", update.status).to_lowercase(),
            "life_ms": millis(update.ttl),
        })).collect::<Vec<_>>(),
        "counts": COUNTERS
            .iter()
            .map(|counter| (counter.name().to_owned(), json!(shared.metrics.total(*counter))))
            .collect::<serde_json::Map<_, _>>(),
    })
}

async fn ask<I, R>(queue: &ring::Sender<I>, input: fn(oneshot::Sender<R>) -> I) -> Option<R> {
    let (reply, answer) = oneshot::channel();
    queue.try_send(input(reply)).ok()?;
    tokio::time::timeout(ASK_TIMEOUT, answer).await.ok()?.ok()
}

fn member(member: &Member) -> Value {
    json!({
        "name": member.name,
        "incarnation": member.incarnation,
        "region": member.region,
        "domain": member.domain,
        "callers": member.callers,
        "peers": member.peers,
        "leaving": member.leaving,
        "suspect": member.suspect,
        "epoch": member.epoch,
    })
}

fn pool(route: &PoolRoute, now: Duration) -> Value {
    let reading = route.load_reading();
    json!({
        "service": route.id.service,
        "domain": route.id.domain,
        "owner": route.owner.as_ref().map(|owner| &owner.name),
        "load": load(&reading.load),
        "heard_ms_ago": millis(now.saturating_sub(reading.at)),
        "sent_since": route.sent_since(),
    })
}

fn owned(report: &PoolReport) -> Value {
    let state = &report.state;
    json!({
        "service": report.id.service,
        "domain": report.id.domain,
        "released": report.released,
        "load": load(&report.load),
        "short_busy": state.short_busy,
        "long_busy": state.long_busy,
        "reserve": state.reserve,
        "retry_budget": state.budget,
        "suspects": state.suspects,
        "convicts": state.quarantined,
        "targets": state.targets.iter().map(target).collect::<Vec<_>>(),
    })
}

fn target(target: &TargetState) -> Value {
    json!({
        "name": target.name,
        "busy": target.busy,
        "slots": target.slots,
        "limit": target.limit,
        "ratio": target.latency_ratio,
        "leaving": target.leaving,
        "ejected": target.ejected,
        "down": target.down,
        "held": target.isolated,
    })
}

fn load(load: &Load) -> Value {
    json!({
        "queued": load.queued,
        "busy": load.busy,
        "slots": load.slots,
        "wait_us": u64::try_from(load.queue_delay.as_micros()).unwrap_or(u64::MAX),
    })
}

fn shares(view: &View) -> Value {
    json!(view.shares.table())
}
