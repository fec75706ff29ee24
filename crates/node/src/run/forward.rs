//! Forwards a request to the host that owns its pool.

use std::{str::FromStr, sync::Arc, time::Duration};

use anyhow::Context;
use bytes::Bytes;
use dunlinrock_coord::once::PriorAttempts;
use dunlinrock_decide::admit::Load;
use dunlinrock_schema::{
    api::Run,
    peer::{AnswerHead, Field, PoolLoad, RunAnswer, RunEnd, RunHead, TroubleHead},
};
use hyper::{
    HeaderMap, Method, StatusCode,
    header::{HeaderName, HeaderValue},
};
use tokio::time::Instant;

use super::{Clients, relay::CALL_PATH};
use crate::{
    call::Call,
    clock::millis,
    duties::pools::PoolId,
    shared::Shared,
    view::{Member, PoolRoute},
    wire::{self, Answer, CallError, ClientError, CodecError, ProblemKind},
};

/// Path on which hosts receive requests for the pools that they own.
pub const RUN_PATH: &str = "/peer/v1/run";

/// Forwards `call` to the owner of a pool and waits for the response until the deadline. The
/// response carries the pool's load, so load readings are most recent where they are used most, and
/// cost nothing where they are not used.
pub(super) async fn forward(
    shared: &Shared,
    clients: &Clients,
    route: &PoolRoute,
    owner: &Member,
    call: &Call,
) -> Result<Answer, CallError> {
    let (result, load) = post_call(clients, owner, RUN_PATH, &route.id.domain, call).await;
    if let Some(load) = load {
        route.update_load(load, shared.now());
    }
    result
}

/// Forwards a keyed request to the owner of its key.
pub(super) async fn forward_keyed(
    clients: &Clients,
    owner: &Member,
    call: &Call,
) -> Result<Answer, CallError> {
    let (result, _) = post_call(clients, owner, CALL_PATH, "", call).await;
    // That this attempt was not sent does not mean that earlier attempts of the key did not run.
    result.map_err(|error| CallError {
        run: relayed_run(error.run, call),
        ..error
    })
}

/// Returns the `run` that the caller may be told for a key whose owner was not reached.
fn relayed_run(run: Run, call: &Call) -> Run {
    let first = call
        .attempts
        .as_deref()
        .is_some_and(|text| text.parse() == Ok(PriorAttempts::NONE));
    if first { run } else { Run::Unknown }
}

async fn post_call(
    clients: &Clients,
    owner: &Member,
    path: &str,
    domain: &str,
    call: &Call,
) -> (Result<Answer, CallError>, Option<Load>) {
    let time = call.deadline.saturating_duration_since(Instant::now());
    let frame = match wire::join_frame(&head(domain, call, time), &call.body) {
        Ok(frame) => frame,
        Err(e) => return (Err(unsent(&e)), None),
    };
    let error = match clients.hosts.post(owner.peers, path, frame, time).await {
        Ok(answer) if answer.status == StatusCode::OK => {
            return read_answer(&answer.body).unwrap_or_else(|e| (Err(lost(&e)), None));
        }
        Ok(answer) => refused(owner, &answer),
        Err(e) if e.is_unsent() => unsent(&e),
        Err(e @ ClientError::Timeout(_)) => CallError::unknown(
            ProblemKind::DeadlinePassed,
            format!("handed to {}: {e}", owner.name),
        ),
        Err(e) => CallError::unknown(
            ProblemKind::Unavailable,
            format!("handed to {}: {e}", owner.name),
        ),
    };
    (Err(error), None)
}

/// Returns the error for a status other than 200. The other host sends such a status before it
/// accepts the frame, with one exception: it could not encode its response.
fn refused(owner: &Member, answer: &Answer) -> CallError {
    if answer.status == StatusCode::INTERNAL_SERVER_ERROR {
        return CallError::unknown(
            ProblemKind::TargetFailed,
            format!("host {} lost the answer", owner.name),
        );
    }
    let detail = format!("host {} answered {}", owner.name, answer.status);
    CallError::not_run(ProblemKind::Unavailable, detail).retry_after(Duration::from_millis(100))
}

fn unsent(error: &dyn std::error::Error) -> CallError {
    CallError::not_run(ProblemKind::Unavailable, error.to_string())
        .retry_after(Duration::from_millis(100))
}

fn lost(error: &dyn std::error::Error) -> CallError {
    CallError::unknown(ProblemKind::TargetFailed, error.to_string())
}

fn head(domain: &str, call: &Call, time: Duration) -> RunHead {
    RunHead {
        request: Arc::clone(&call.request),
        service: Arc::clone(&call.service),
        domain: domain.into(),
        method: call.method.as_str().into(),
        path: Arc::clone(&call.path),
        fields: write_fields(&call.headers),
        remaining_us: u64::try_from(time.as_micros()).unwrap_or(u64::MAX),
        region: Arc::clone(&call.region),
        client: call.client.to_string().into(),
        caller: call.caller,
        topic: call.topic,
        kind: call.kind,
        fingerprint: call.fingerprint,
        identity: call.identity,
        repeatable: call.repeatable,
        key: call.key.clone(),
        attempts: call.attempts.clone(),
        hops: call.hops.saturating_add(1),
    }
}

/// Decodes a request that another host forwarded.
pub fn read_call(frame: &Bytes) -> anyhow::Result<(PoolId, Call)> {
    let (head, body): (RunHead, Bytes) = wire::split_frame(frame)?;
    let pool = PoolId {
        service: Arc::clone(&head.service),
        domain: head.domain,
    };
    let call = Call {
        request: head.request,
        service: head.service,
        method: Method::from_str(&head.method).context("the method")?,
        path: head.path,
        headers: read_fields(&head.fields)?,
        body,
        deadline: Instant::now() + Duration::from_micros(head.remaining_us),
        region: head.region,
        client: head.client.parse().context("the caller's address")?,
        caller: head.caller,
        topic: head.topic,
        kind: head.kind,
        fingerprint: head.fingerprint,
        identity: head.identity,
        repeatable: head.repeatable,
        key: head.key,
        attempts: head.attempts,
        hops: head.hops,
    };
    Ok((pool, call))
}

/// Encodes the result of a request, for another host or for the ledger.
pub fn write_answer(
    result: &Result<Answer, CallError>,
    load: Option<Load>,
) -> Result<Vec<u8>, CodecError> {
    let load = load.as_ref().map(write_load);
    match result {
        Ok(answer) => {
            let fields = write_fields(&answer.headers);
            let head = AnswerHead {
                status: answer.status.as_u16(),
                fields,
            };
            wire::join_frame(
                &RunAnswer {
                    end: RunEnd::Answer(head),
                    load,
                },
                &answer.body,
            )
        }
        Err(error) => {
            let end = RunEnd::Trouble(write_error(error));
            wire::join_frame(&RunAnswer { end, load }, &[])
        }
    }
}

/// Decodes a result that [`write_answer`] encoded.
pub fn read_answer(frame: &Bytes) -> Result<(Result<Answer, CallError>, Option<Load>), CodecError> {
    let (head, body): (RunAnswer, Bytes) = wire::split_frame(frame)?;
    let result = match head.end {
        RunEnd::Answer(head) => Ok(Answer {
            status: StatusCode::from_u16(head.status)
                .map_err(|_| CodecError::Frame("its status is none"))?,
            headers: read_fields(&head.fields).map_err(|_| CodecError::Frame("a field is none"))?,
            body,
        }),
        RunEnd::Trouble(error) => Err(read_error(&error)),
    };
    Ok((result, head.load.as_ref().map(read_load)))
}

fn write_load(load: &Load) -> PoolLoad {
    let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    PoolLoad {
        queued: load.queued,
        busy: load.busy,
        slots: load.slots,
        wait_us: micros(load.queue_delay),
        turn_us: micros(load.slot_interval),
    }
}

fn read_load(load: &PoolLoad) -> Load {
    Load {
        queued: load.queued,
        busy: load.busy,
        slots: load.slots,
        queue_delay: Duration::from_micros(load.wait_us),
        slot_interval: Duration::from_micros(load.turn_us),
    }
}

fn write_error(error: &CallError) -> TroubleHead {
    TroubleHead {
        kind: error.kind.name().into(),
        run: error.run.to_string().into(),
        detail: Arc::clone(&error.detail),
        retry_after_ms: error.retry_after.map(millis),
    }
}

/// Decodes an error. Values that this host does not know become the ones that claim least.
fn read_error(head: &TroubleHead) -> CallError {
    CallError {
        kind: ProblemKind::from_name(&head.kind).unwrap_or(ProblemKind::TargetFailed),
        run: Run::from_str(&head.run).unwrap_or(Run::Unknown),
        detail: Arc::clone(&head.detail),
        retry_after: head.retry_after_ms.map(Duration::from_millis),
    }
}

fn write_fields(headers: &HeaderMap) -> Vec<Field> {
    let fields = headers.iter();
    fields
        .map(|(name, value)| Field {
            name: name.as_str().into(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

fn read_fields(fields: &[Field]) -> anyhow::Result<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::from_str(&field.name).context("a field's name")?;
        headers.append(
            name,
            HeaderValue::from_bytes(&field.value).context("a field's value")?,
        );
    }
    Ok(headers)
}
