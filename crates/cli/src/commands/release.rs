//! `release`: ends the quarantine of a request.

use http::{Method, StatusCode};

use super::dump::call;
use crate::{
    args::Release,
    exit::{CliError, Exit},
    output,
    runtime::block_on,
};

/// Ends the quarantine of a request at all hosts.
pub(crate) fn release(args: &Release) -> Result<(), CliError> {
    let path = format!("/peer/v1/quarantine/{}", args.fingerprint);
    let answer = block_on(call(Method::DELETE, args.at, &path))??;
    let text = String::from_utf8_lossy(&answer.body);
    let exit = match answer.status {
        StatusCode::OK => {
            output::line(&text)?;
            return Ok(());
        }
        StatusCode::BAD_REQUEST => Exit::Usage,
        StatusCode::SERVICE_UNAVAILABLE => Exit::Unreachable,
        _ => Exit::Failed,
    };
    Err(CliError::open(exit, text.into_owned()))
}
