//! Sends the calls of `ticket`, and turns their outcomes into result codes.

use {
    crate::{
        RunError,
        client::{ClientError, ClientReply, ClientRequest, HttpClient},
        run_error::{RequestFailedSnafu, RuntimeSnafu},
    },
    kernel::ResultCode,
    snafu::ResultExt,
    tokio::runtime::Runtime,
};

/// The content type of request bodies.
pub const BODY_TYPE: &str = "application/json";

/// Sends the call and returns the answer.
///
/// # Errors
///
/// No complete answer came, or the answer has another result code than 1000.
pub fn send_call(call: ClientRequest) -> Result<ClientReply, RunError> {
    let runtime = Runtime::new().context(RuntimeSnafu)?;
    let outcome = runtime.block_on(HttpClient::new().send(call));
    let reply = outcome.map_err(|error| {
        RequestFailedSnafu {
            code: code_of(&error),
            detail: error.to_string(),
        }
        .build()
    })?;
    let code = reply.code.unwrap_or(match reply.status.is_success() {
        true => ResultCode::Answered,
        false => ResultCode::UpstreamGarbled,
    });
    if code != ResultCode::Answered {
        return RequestFailedSnafu {
            code,
            detail: reply.text(),
        }
        .fail();
    }
    Ok(reply)
}

fn code_of(error: &ClientError) -> ResultCode {
    match error {
        ClientError::AnswerCut { .. } => ResultCode::StreamCut,
        ClientError::BadCall { .. } => ResultCode::RequestInvalid,
        ClientError::ConnectionLost { .. } => ResultCode::UpstreamLost,
        ClientError::NotConnected { .. } => ResultCode::UpstreamMissing,
        ClientError::TimedOut { .. } => ResultCode::UpstreamSilent,
    }
}
