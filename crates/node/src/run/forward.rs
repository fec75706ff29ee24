//! Hands a request to the host that owns its pool.

use std::{str::FromStr, sync::Arc, time::Duration};

use anyhow::Context;
use bytes::Bytes;
use dunlinrock_coord::once::Attempts;
use dunlinrock_schema::{
    api::Run,
    peer::{AnswerHead, Field, RunAnswer, RunHead, TroubleHead},
};
use hyper::{
    HeaderMap, Method, StatusCode,
    header::{HeaderName, HeaderValue},
};
use tokio::time::Instant;

use super::relay::CALL_PATH;
use crate::{
    call::Call,
    duties::pools::PoolId,
    view::Member,
    wire::{self, Answer, Client, Failure, Kind, PackError, Trouble},
};

/// Path on which hosts take requests for the pools they own.
pub const RUN_PATH: &str = "/peer/v1/run";

/// Hands `call` to the owner of a pool and waits for its answer until the deadline.
pub(super) async fn forward(
    client: &Client,
    owner: &Member,
    pool: &PoolId,
    call: &Call,
) -> Result<Answer, Trouble> {
    hand(client, owner, RUN_PATH, &pool.domain, call).await
}

/// Passes a keyed request on to the owner of its key.
pub(super) async fn relay(client: &Client, owner: &Member, call: &Call) -> Result<Answer, Trouble> {
    let result = hand(client, owner, CALL_PATH, "", call).await;
    // That this attempt was not sent says nothing of the earlier ones of the key.
    result.map_err(|trouble| Trouble {
        run: not_below(trouble.run, call),
        ..trouble
    })
}

/// What a caller may be told of a key whose owner was not reached.
fn not_below(run: Run, call: &Call) -> Run {
    let first = call
        .attempts
        .as_deref()
        .is_some_and(|text| text.parse() == Ok(Attempts::FIRST));
    if first { run } else { Run::Unknown }
}

async fn hand(
    client: &Client,
    owner: &Member,
    path: &str,
    domain: &str,
    call: &Call,
) -> Result<Answer, Trouble> {
    let time = call.deadline.saturating_duration_since(Instant::now());
    let frame = wire::join(&head(domain, call, time), &call.body).map_err(|e| unsent(&e))?;
    match client.post(owner.peers, path, frame, time).await {
        Ok(answer) if answer.status == StatusCode::OK => {
            read_answer(&answer.body).unwrap_or_else(|e| Err(lost(&e)))
        }
        Ok(answer) => Err(refused(owner, &answer)),
        Err(e) if e.is_unsent() => Err(unsent(&e)),
        Err(e @ Failure::Timeout(_)) => Err(Trouble::unknown(
            Kind::DeadlinePassed,
            format!("handed to {}: {e}", owner.name),
        )),
        Err(e) => Err(Trouble::unknown(
            Kind::TargetFailed,
            format!("handed to {}: {e}", owner.name),
        )),
    }
}

/// A status other than 200 comes before the other host takes the frame in, but for one: it could
/// not write its answer.
fn refused(owner: &Member, answer: &Answer) -> Trouble {
    if answer.status == StatusCode::INTERNAL_SERVER_ERROR {
        return Trouble::unknown(
            Kind::TargetFailed,
            format!("host {} lost the answer", owner.name),
        );
    }
    let detail = format!("host {} answered {}", owner.name, answer.status);
    Trouble::not_run(Kind::Unavailable, detail).retry_after(Duration::from_millis(100))
}

fn unsent(error: &dyn std::error::Error) -> Trouble {
    Trouble::not_run(Kind::Unavailable, error.to_string()).retry_after(Duration::from_millis(100))
}

fn lost(error: &dyn std::error::Error) -> Trouble {
    Trouble::unknown(Kind::TargetFailed, error.to_string())
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

/// Reads a request that another host handed over.
pub fn read_call(frame: &Bytes) -> anyhow::Result<(PoolId, Call)> {
    let (head, body): (RunHead, Bytes) = wire::split(frame)?;
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

/// Writes what became of a request, for another host or for the ledger.
pub fn write_answer(result: &Result<Answer, Trouble>) -> Result<Vec<u8>, PackError> {
    match result {
        Ok(answer) => {
            let fields = write_fields(&answer.headers);
            let head = AnswerHead {
                status: answer.status.as_u16(),
                fields,
            };
            wire::join(&RunAnswer::Answer(head), &answer.body)
        }
        Err(trouble) => wire::join(&RunAnswer::Trouble(write_trouble(trouble)), &[]),
    }
}

/// Reads what [`write_answer`] wrote.
pub fn read_answer(frame: &Bytes) -> Result<Result<Answer, Trouble>, PackError> {
    let (head, body): (RunAnswer, Bytes) = wire::split(frame)?;
    Ok(match head {
        RunAnswer::Answer(head) => Ok(Answer {
            status: StatusCode::from_u16(head.status)
                .map_err(|_| PackError::Frame("its status is none"))?,
            headers: read_fields(&head.fields).map_err(|_| PackError::Frame("a field is none"))?,
            body,
        }),
        RunAnswer::Trouble(trouble) => Err(read_trouble(&trouble)),
    })
}

fn write_trouble(trouble: &Trouble) -> TroubleHead {
    TroubleHead {
        kind: trouble.kind.name().into(),
        run: trouble.run.to_string().into(),
        detail: Arc::clone(&trouble.detail),
        retry_after_ms: trouble
            .retry_after
            .map(|time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX)),
    }
}

/// A word that this host does not know is read as the one that claims least.
fn read_trouble(head: &TroubleHead) -> Trouble {
    Trouble {
        kind: Kind::find(&head.kind).unwrap_or(Kind::TargetFailed),
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
