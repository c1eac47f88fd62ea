//! The handler of `POST /v1/chat/completions`.

use {
    crate::{
        answer_body::AnswerStyle,
        api_context::ApiContext,
        caller_api::ChatBody,
        completion_handler::{InferenceRequest, read_json, run},
        error_answer::ErrorAnswer,
        work_header::work_from_headers,
    },
    axum::{
        body::Body,
        extract::State,
        response::{IntoResponse, Response},
    },
    engine::ModelEngine,
    http::Request,
    kernel::ResultCode,
    std::{sync::Arc, time::Instant},
};

/// Handles a chat completion request.
pub async fn handle<E: ModelEngine>(
    State(context): State<Arc<ApiContext<E>>>,
    request: Request<Body>,
) -> Response {
    let arrived = Instant::now();
    let work = work_from_headers(request.headers(), context.defaults.chat.as_ref());
    let run_by = request.extensions().get().copied();
    let body: ChatBody = match read_json(request, context.limits.body).await {
        Ok(body) => body,
        Err(answer) => return answer.into_response(),
    };
    if body.messages.is_empty() {
        let answer = ErrorAnswer::of(ResultCode::RequestInvalid);
        return answer.with_detail("there are no messages").into_response();
    }
    let inference = InferenceRequest {
        max_tokens: body.max_completion_tokens.or(body.max_tokens),
        prompt: body.prompt(),
        run_by,
        model: body.model,
        stream: body.stream,
        style: AnswerStyle::Chat,
        work,
    };
    run(context, inference, arrived).await
}
