//! Queries entry instances for the table that they have in force.

use {
    crate::admin::TableStatus,
    http_body_util::{BodyExt, Empty, Limited},
    hyper::{Request, body::Bytes},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::task::JoinSet,
};

/// The maximum size of an answer, in bytes.
const ANSWER_LIMIT: usize = 64 << 10;
/// The timeout of one query.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// The answer of each address; `None` for one that gave none.
pub type ProbeAnswers = BTreeMap<SocketAddr, Option<TableStatus>>;

/// Queries the admin addresses of entry instances.
#[derive(Clone, Debug)]
pub struct AdminProbe {
    addresses: Vec<SocketAddr>,
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl AdminProbe {
    /// Queries all addresses at the same time.
    pub async fn ask_all(&self) -> ProbeAnswers {
        let mut tasks = JoinSet::new();
        for address in &self.addresses {
            tasks.spawn(ask(self.client.clone(), *address));
        }
        let mut answers: ProbeAnswers = self.addresses.iter().map(|it| (*it, None)).collect();
        while let Some(joined) = tasks.join_next().await {
            let Ok((address, answer)) = joined else {
                continue;
            };
            answers.insert(address, answer);
        }
        answers
    }

    /// Creates a probe of these addresses.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(PROBE_TIMEOUT));
        Self {
            addresses,
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }
}

async fn ask(
    client: Client<HttpConnector, Empty<Bytes>>,
    address: SocketAddr,
) -> (SocketAddr, Option<TableStatus>) {
    let answer = tokio::time::timeout(PROBE_TIMEOUT, exchange(client, address)).await;
    (address, answer.ok().flatten())
}

async fn exchange(
    client: Client<HttpConnector, Empty<Bytes>>,
    address: SocketAddr,
) -> Option<TableStatus> {
    let request = Request::get(format!("http://{address}/table"));
    let request = request.body(Empty::new()).ok()?;
    let response = client.request(request).await.ok()?;
    let body = Limited::new(response.into_body(), ANSWER_LIMIT);
    let body = body.collect().await.ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}
