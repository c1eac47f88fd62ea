//! `POST /v1/tickets`: issues tickets.

use {
    crate::{
        completion_handler::read_body,
        error_answer::{ErrorAnswer, RESULT_HEADER},
        ticket_dispatcher::TicketDispatcher,
    },
    axum::{
        Json,
        body::Body,
        response::{IntoResponse, Response},
    },
    claim::Ticket,
    http::{HeaderValue, Request, StatusCode},
    kernel::ResultCode,
    plat::RowStore,
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::time::Duration,
};

/// The lifetime of a ticket if the caller does not specify one.
const DEFAULT_LIFETIME: Duration = Duration::from_secs(600);
/// The maximum size of a request body.
const MAX_MINT_BODY_BYTES: usize = 4 << 10;
const MINT_RETRY_AFTER: Duration = Duration::from_secs(1);
const MIN_LIFETIME: Duration = Duration::from_millis(1);

/// The request body, which may be empty.
#[serde_as]
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct MintBody {
    #[serde(default, rename = "expires_in_ms")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    lifetime: Option<Duration>,
}

/// The response body: the new ticket and its actual lifetime.
#[serde_as]
#[derive(Debug, Serialize)]
struct MintReply {
    #[serde(rename = "expires_in_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    lifetime: Duration,
    ticket: Ticket,
}

impl<S: RowStore + 'static> TicketDispatcher<S> {
    /// Handles `POST /v1/tickets`.
    pub(crate) async fn handle_mint(&self, request: Request<Body>) -> Response {
        match self.mint(request).await {
            Ok(reply) => {
                let mut response = (StatusCode::CREATED, Json(reply)).into_response();
                let code = HeaderValue::from(ResultCode::Answered.number());
                response.headers_mut().insert(RESULT_HEADER, code);
                response
            }
            Err(answer) => answer.into_response(),
        }
    }

    async fn mint(&self, request: Request<Body>) -> Result<MintReply, ErrorAnswer> {
        let body = read_body(request, MAX_MINT_BODY_BYTES).await?;
        let body: MintBody = match body.is_empty() {
            true => MintBody::default(),
            false => serde_json::from_slice(&body)
                .map_err(|error| ErrorAnswer::of(ResultCode::RequestInvalid).with_detail(error))?,
        };
        let lifetime = body.lifetime.unwrap_or(DEFAULT_LIFETIME);
        let lifetime = lifetime.clamp(MIN_LIFETIME, self.registry.max_expiry);
        let refused = |code| ErrorAnswer::of(code).with_retry_after(MINT_RETRY_AFTER);
        let _pass = self.gate.enter().map_err(refused)?;
        let ticket = self.registry.mint(lifetime).map_err(refused)?;
        Ok(MintReply { lifetime, ticket })
    }
}
