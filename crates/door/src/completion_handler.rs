//! `POST /v1/completions`, and what chat shares with it.

use {
    crate::{
        answer_body::{AnswerHead, AnswerStyle},
        caller_api::{CompletionBody, DEFAULT_MAX_TOKENS},
        door_shared::DoorShared,
        error_answer::ErrorAnswer,
        model_answer::ModelAnswer,
        work_header::work_of,
    },
    axum::{
        body::Body,
        extract::State,
        response::{IntoResponse, Response},
    },
    bytes::Bytes,
    engine::ModelEngine,
    flow::{ModelRequest, RequestDriver, RunDeadline},
    http::{HeaderMap, Request},
    http_body_util::{BodyExt, LengthLimitError, Limited},
    kernel::{ModelId, ResultCode, WorkId, unix_time},
    serde::de::DeserializeOwned,
    std::{
        sync::Arc,
        time::{Duration, Instant, SystemTime},
    },
    table::WorkRow,
};

const GATE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request to a model in either style.
pub(crate) struct ModelAsk {
    pub(crate) max_tokens: Option<u32>,
    pub(crate) model: Option<ModelId>,
    pub(crate) prompt: Arc<str>,
    pub(crate) run_by: Option<RunDeadline>,
    pub(crate) stream: bool,
    pub(crate) style: AnswerStyle,
    pub(crate) work: Option<WorkId>,
}

/// Handles `POST /v1/completions`.
pub async fn handle<E: ModelEngine>(
    State(shared): State<Arc<DoorShared<E>>>,
    request: Request<Body>,
) -> Response {
    let arrived = Instant::now();
    let work = work_of(request.headers(), shared.defaults.completions.as_ref());
    let run_by = request.extensions().get().copied();
    let body: CompletionBody = match read_json(request, shared.limits.body).await {
        Ok(body) => body,
        Err(answer) => return answer.into_response(),
    };
    let ask = ModelAsk {
        max_tokens: body.max_tokens,
        model: body.model,
        prompt: body.prompt,
        run_by,
        stream: body.stream,
        style: AnswerStyle::Completion,
        work,
    };
    run(shared, ask, arrived).await
}

/// Runs a request in either style.
pub(crate) async fn run<E: ModelEngine>(
    shared: Arc<DoorShared<E>>,
    ask: ModelAsk,
    arrived: Instant,
) -> Response {
    let pass = match shared.gate.enter() {
        Ok(pass) => pass,
        Err(code) => {
            return ErrorAnswer::of(code)
                .with_retry_after(GATE_RETRY_AFTER)
                .into_response();
        }
    };
    let (row, model) = match check(&shared, &ask) {
        Ok(checked) => checked,
        Err(answer) => return answer.into_response(),
    };
    let request = ModelRequest {
        arrived,
        max_tokens: ask.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        model: model.clone(),
        prompt: ask.prompt,
        run_by: ask.run_by,
        stream: ask.stream,
        work: row.work.clone(),
    };
    let (key, events) = RequestDriver::start(shared.flow.clone(), request, &row);
    let created = unix_time::since_epoch(SystemTime::now()).as_secs();
    let id = format!("cmpl-{}-{}-{}", key.instance, key.incarnation, key.serial).into();
    let head = AnswerHead {
        created,
        id,
        model,
        style: ask.style,
    };
    let answer = ModelAnswer { events, head, pass };
    if ask.stream {
        answer.stream().await
    } else {
        answer.whole().await
    }
}

fn check<E>(shared: &DoorShared<E>, ask: &ModelAsk) -> Result<(WorkRow, ModelId), ErrorAnswer> {
    let row = shared.row(ask.work.clone())?;
    let Some(model) = row.model.clone() else {
        let detail = format!(
            "the row {:?} is for the plain service {:?}",
            row.work, row.service
        );
        return Err(invalid(detail));
    };
    if let Some(asked) = &ask.model
        && *asked != model
    {
        let detail = format!(
            "the row {:?} is for the model {model:?}, not {asked:?}",
            row.work
        );
        return Err(invalid(detail));
    }
    if ask.prompt.is_empty() {
        return Err(invalid("the prompt is empty"));
    }
    let max_tokens = ask.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if max_tokens == 0 || max_tokens > shared.limits.max_tokens {
        let detail = format!("max_tokens has to be 1 to {}", shared.limits.max_tokens);
        return Err(invalid(detail));
    }
    Ok((row, model))
}

/// Reads a JSON body up to a limit.
pub(crate) async fn read_json<T: DeserializeOwned>(
    request: Request<Body>,
    limit: usize,
) -> Result<T, ErrorAnswer> {
    let body = read_body(request, limit).await?;
    serde_json::from_slice(&body).map_err(invalid)
}

/// Reads a body up to a limit.
pub(crate) async fn read_body(request: Request<Body>, limit: usize) -> Result<Bytes, ErrorAnswer> {
    if declared_length(request.headers()).is_some_and(|length| length > limit) {
        return Err(too_large(limit));
    }
    let reading = Limited::new(request.into_body(), limit).collect().await;
    match reading {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.downcast_ref::<LengthLimitError>().is_some() => Err(too_large(limit)),
        Err(error) => Err(invalid(error)),
    }
}

fn declared_length(headers: &HeaderMap) -> Option<usize> {
    headers
        .get(http::header::CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

fn invalid(detail: impl ToString) -> ErrorAnswer {
    ErrorAnswer::of(ResultCode::RequestInvalid).with_detail(detail)
}

fn too_large(limit: usize) -> ErrorAnswer {
    ErrorAnswer::of(ResultCode::BodyTooLarge).with_detail(format!("the limit is {limit} bytes"))
}
