//! The handler of `POST /v1/completions` and the code that it shares with the chat handler.

use {
    crate::{
        answer_body::{AnswerHead, AnswerStyle},
        api_context::ApiContext,
        caller_api::{CompletionBody, DEFAULT_MAX_TOKENS},
        error_answer::ErrorAnswer,
        model_answer::ModelAnswer,
        work_header::work_from_headers,
    },
    axum::{
        body::Body,
        extract::State,
        response::{IntoResponse, Response},
    },
    bytes::{Bytes, BytesMut},
    engine::ModelEngine,
    flow::{ModelRequest, RequestDriver, RunDeadline},
    http::Request,
    http_body_util::BodyExt,
    kernel::{ModelId, ResultCode, WorkId, unix_time},
    serde::de::DeserializeOwned,
    std::{
        sync::Arc,
        time::{Duration, Instant, SystemTime},
    },
    table::WorkRow,
    tokio::time,
};

/// The number of bytes of an oversized body that are read and discarded.
const MAX_DRAINED_BYTES: usize = 64 << 20;
/// How long reading and discarding an oversized body may take.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);
const GATE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A parsed completion or chat request.
pub(crate) struct InferenceRequest {
    pub(crate) max_tokens: Option<u32>,
    pub(crate) model: Option<ModelId>,
    pub(crate) prompt: Arc<str>,
    pub(crate) run_by: Option<RunDeadline>,
    pub(crate) stream: bool,
    pub(crate) style: AnswerStyle,
    pub(crate) work: Option<WorkId>,
}

/// Handles a completion request.
pub async fn handle<E: ModelEngine>(
    State(context): State<Arc<ApiContext<E>>>,
    request: Request<Body>,
) -> Response {
    let arrived = Instant::now();
    let work = work_from_headers(request.headers(), context.defaults.completions.as_ref());
    let run_by = request.extensions().get().copied();
    let body: CompletionBody = match read_json(request, context.limits.body).await {
        Ok(body) => body,
        Err(answer) => return answer.into_response(),
    };
    let inference = InferenceRequest {
        max_tokens: body.max_tokens,
        model: body.model,
        prompt: body.prompt,
        run_by,
        stream: body.stream,
        style: AnswerStyle::Completion,
        work,
    };
    run(context, inference, arrived).await
}

/// Validates and runs a completion or chat request.
pub(crate) async fn run<E: ModelEngine>(
    context: Arc<ApiContext<E>>,
    inference: InferenceRequest,
    arrived: Instant,
) -> Response {
    let pass = match context.gate.enter() {
        Ok(pass) => pass,
        Err(code) => {
            return ErrorAnswer::of(code)
                .with_retry_after(GATE_RETRY_AFTER)
                .into_response();
        }
    };
    let (row, model) = match check(&context, &inference) {
        Ok(checked) => checked,
        Err(answer) => return answer.into_response(),
    };
    let request = ModelRequest {
        arrived,
        max_tokens: inference.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        model: model.clone(),
        prompt: inference.prompt,
        run_by: inference.run_by,
        stream: inference.stream,
        work: row.work.clone(),
    };
    let (key, events) = RequestDriver::start(context.flow.clone(), request, &row);
    let created = unix_time::since_epoch(SystemTime::now()).as_secs();
    let id = format!("cmpl-{}-{}-{}", key.instance, key.incarnation, key.serial).into();
    let head = AnswerHead {
        created,
        id,
        model,
        style: inference.style,
    };
    let answer = ModelAnswer { events, head, pass };
    if inference.stream {
        answer.stream().await
    } else {
        answer.whole().await
    }
}

fn check<E>(
    context: &ApiContext<E>,
    inference: &InferenceRequest,
) -> Result<(WorkRow, ModelId), ErrorAnswer> {
    let row = context.row(inference.work.clone())?;
    let Some(model) = row.model.clone() else {
        let detail = format!(
            "the row {:?} is for the plain service {:?}",
            row.work, row.service
        );
        return Err(invalid(detail));
    };
    if let Some(requested) = &inference.model
        && *requested != model
    {
        let detail = format!(
            "the row {:?} is for the model {model:?}, not {requested:?}",
            row.work
        );
        return Err(invalid(detail));
    }
    if inference.prompt.is_empty() {
        return Err(invalid("the prompt is empty"));
    }
    let max_tokens = inference.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if max_tokens == 0 || max_tokens > context.limits.max_tokens {
        let detail = format!("max_tokens has to be 1 to {}", context.limits.max_tokens);
        return Err(invalid(detail));
    }
    Ok((row, model))
}

/// Reads a JSON body of up to `limit` bytes.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: Request<Body>,
    limit: usize,
) -> Result<T, ErrorAnswer> {
    let body = read_body(request, limit).await?;
    serde_json::from_slice(&body).map_err(invalid)
}

/// Reads a body of up to `limit` bytes. The rest of an oversized body is read and discarded before the answer: a caller
/// that is still sending when its connection closes would never see the error.
pub(crate) async fn read_body(request: Request<Body>, limit: usize) -> Result<Bytes, ErrorAnswer> {
    let mut body = request.into_body();
    let mut content = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(invalid)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if content.len() + data.len() > limit {
            drop(content);
            // The timeout cuts off a caller that never stops sending.
            let _ = time::timeout(DRAIN_TIMEOUT, drain(body)).await;
            return Err(too_large(limit));
        }
        content.extend_from_slice(data);
    }
    Ok(content.freeze())
}

async fn drain(mut body: Body) {
    let mut remaining = MAX_DRAINED_BYTES;
    while let Some(Ok(frame)) = body.frame().await {
        let size = frame.data_ref().map_or(0, Bytes::len);
        if size > remaining {
            return;
        }
        remaining -= size;
    }
}

fn invalid(detail: impl ToString) -> ErrorAnswer {
    ErrorAnswer::of(ResultCode::RequestInvalid).with_detail(detail)
}

fn too_large(limit: usize) -> ErrorAnswer {
    ErrorAnswer::of(ResultCode::BodyTooLarge).with_detail(format!("the limit is {limit} bytes"))
}
