//! Endpoint that collects the load of targets from other hosts, and its client.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use dunlinrock_decide::admit::direct::{LoadFigure, Reporter, SaidLoad, ToldLoad};
use dunlinrock_node::{
    clock::{millis, since_boot},
    wire::{Client, ClientError, CodecError, pack, unpack},
};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use viz::{IntoResponse, Response, Router};

use super::changes::read_message;
use crate::host::Shared;

/// Path of load reports. Hosts of an earlier release do not know it; they share nothing.
const PATH: &str = "/peer/v1/loads";

/// A report on the wire.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
struct ReportMessage {
    host: u64,
    region: Option<u64>,
    /// When it was sent, in milliseconds since the sender's machine booted.
    sent: u64,
    figures: Vec<FigureMessage>,
}

/// A target's hash, the requests in flight at it, and what it said.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
struct FigureMessage(u32, u16, Option<SaidMessage>);

/// Requests at the target, its pace in percent, and the age of both in milliseconds.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
struct SaidMessage(u16, Option<u16>, u16);

/// A target's hash, the requests of other hosts, and the pace in percent with its age in
/// milliseconds.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
struct ToldMessage(u32, u16, Option<(u16, u16)>);

/// Why a host's answer to a report is unusable.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LoadError {
    #[error(transparent)]
    Call(#[from] ClientError),
    #[error("status {0}")]
    Status(StatusCode),
    #[error(transparent)]
    Pack(#[from] CodecError),
}

impl LoadError {
    /// Whether the host does not collect loads: its release is an earlier one.
    pub(crate) fn is_unknown(&self) -> bool {
        matches!(self, LoadError::Status(StatusCode::NOT_FOUND))
    }
}

/// Reports to a host, and returns what it tells of other hosts' requests.
pub(crate) async fn report_loads(
    client: &Client,
    address: SocketAddr,
    reporter: Reporter,
    figures: &[LoadFigure],
    time: Duration,
) -> Result<Vec<ToldLoad>, LoadError> {
    let message = ReportMessage {
        host: reporter.host,
        region: reporter.region,
        sent: millis(since_boot()),
        figures: figures.iter().map(FigureMessage::from).collect(),
    };
    let answer = client.post(address, PATH, pack(&message)?, time).await?;
    if answer.status != StatusCode::OK {
        return Err(LoadError::Status(answer.status));
    }
    let told: Vec<ToldMessage> = unpack(&answer.body)?;
    Ok(told.into_iter().map(ToldLoad::from).collect())
}

/// Adds the endpoint for load reports.
pub(super) fn routes(router: Router, shared: &Arc<Shared>) -> Router {
    let shared = Arc::clone(shared);
    router.post(PATH, move |request: viz::Request| {
        let shared = Arc::clone(&shared);
        async move { Ok(respond(&shared, request).await) }
    })
}

async fn respond(shared: &Shared, request: viz::Request) -> Response {
    let message: ReportMessage = match read_message(request).await {
        Ok(message) => message,
        Err(refusal) => return refusal,
    };
    let reporter = Reporter {
        host: message.host,
        region: message.region,
    };
    let figures: Vec<_> = message.figures.into_iter().map(LoadFigure::from).collect();
    let sent = Duration::from_millis(message.sent);
    let told = shared.collect_loads(reporter, sent, &figures);
    let told: Vec<ToldMessage> = told.iter().map(ToldMessage::from).collect();
    match pack(&told) {
        Ok(bytes) => bytes.into_response(),
        Err(e) => (StatusCode::INTERNAL_SERVER_ERROR, e.to_string()).into_response(),
    }
}

/// Returns an age as it is sent.
fn age_millis(age: Duration) -> u16 {
    u16::try_from(age.as_millis()).unwrap_or(u16::MAX)
}

impl From<&LoadFigure> for FigureMessage {
    fn from(figure: &LoadFigure) -> FigureMessage {
        let said = figure.said;
        let said = said.map(|said| SaidMessage(said.total, said.pace, age_millis(said.age)));
        FigureMessage(figure.target, figure.in_flight, said)
    }
}

impl From<FigureMessage> for LoadFigure {
    fn from(FigureMessage(target, in_flight, said): FigureMessage) -> LoadFigure {
        let said = said.map(|SaidMessage(total, pace, age)| SaidLoad {
            total,
            pace,
            age: Duration::from_millis(age.into()),
        });
        LoadFigure {
            target,
            in_flight,
            said,
        }
    }
}

impl From<&ToldLoad> for ToldMessage {
    fn from(told: &ToldLoad) -> ToldMessage {
        let pace = told.pace.map(|(pace, age)| (pace, age_millis(age)));
        ToldMessage(told.target, told.others, pace)
    }
}

impl From<ToldMessage> for ToldLoad {
    fn from(ToldMessage(target, others, pace): ToldMessage) -> ToldLoad {
        let pace = pace.map(|(pace, age)| (pace, Duration::from_millis(age.into())));
        ToldLoad {
            target,
            others,
            pace,
        }
    }
}
