//! The client for ticket messages to other entry instances.

use {
    crate::ticket_frame::{
        HAND_OVER_REPLY_FRAME, HandOverAnswer, SuccessorNotice, TICKET_TAG, TicketHandOver,
        TicketQuery, read_value, send_body, send_value,
    },
    claim::{HandOverReply, IncarnationKey},
    futures_util::future::join_all,
    kernel::{InstanceId, ZoneId, seeded_rng},
    peer::{MemberState, PeerDriver, PeerEndpoint, PeerError, ProtocolTag, wire},
    std::{cmp::Reverse, sync::Arc, time::Duration},
    tokio::time,
};

/// The maximum number of instances queried for the holder of a ticket or for a successor.
const MAX_QUERIED_PEERS: usize = 16;
/// How long to wait for the reply to one attempt.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(1);
/// The number of attempts to send a hand-over.
const HAND_OVER_ATTEMPTS: u32 = 3;

/// Sends queries, hand-overs and notices to other instances.
pub(crate) struct TicketPeers {
    pub(crate) endpoint: PeerEndpoint,
    members: Arc<PeerDriver>,
}

impl TicketPeers {
    /// Queries the instances in `zone` for the incarnation that holds the tickets of `life`.
    pub(crate) async fn find_holder(
        &self,
        life: &IncarnationKey,
        zone: &ZoneId,
    ) -> Option<IncarnationKey> {
        let query = TicketQuery::Holder(life.clone());
        let names = self.peers_in_zone(zone);
        let queries = names.iter().map(|name| self.query(name, &query));
        let answers = join_all(queries).await;
        answers.into_iter().flatten().next()
    }

    /// Creates a client that sends through `endpoint` to the instances in `members`.
    pub(crate) fn new(endpoint: PeerEndpoint, members: Arc<PeerDriver>) -> Self {
        Self { endpoint, members }
    }

    /// Announces to all members who holds the tickets of closed incarnations. A member that misses the notice can query
    /// the holder.
    pub(crate) fn notify(&self, notice: &SuccessorNotice) {
        let Ok(message) = wire::encode(notice) else {
            return;
        };
        for member in &self.members.view().heard {
            if member.instance == *self.endpoint.instance() {
                continue;
            }
            // Best effort: a member can still query the holder.
            let _ = self.endpoint.send(&member.instance, TICKET_TAG, &message);
        }
    }

    /// Sends a hand-over or its final records. Retries a bounded number of times until the successor answers.
    pub(crate) async fn send_hand_over(
        &self,
        tag: ProtocolTag,
        message: &TicketHandOver,
    ) -> Option<(IncarnationKey, HandOverReply)> {
        let content = wire::encode(message).ok()?;
        let to = &message.successor.instance;
        for _ in 0..HAND_OVER_ATTEMPTS {
            let sending = self.hand_over_once(to, tag, &content);
            let Ok(Some(answer)) = time::timeout(HAND_OVER_TIMEOUT, sending).await else {
                continue;
            };
            return Some((answer.from, answer.reply));
        }
        None
    }

    /// Returns an incarnation in the same availability zone that answers a query, or `None` if none does. Instances
    /// known to be serving requests are queried first.
    pub(crate) async fn successor(&self, zone: &ZoneId) -> Option<IncarnationKey> {
        let view = self.members.view();
        let own = self.endpoint.instance();
        let mut candidates = Vec::new();
        for record in &view.heard {
            let is_leaving = record.state == MemberState::Leaving;
            if record.zone != *zone || record.instance == *own || is_leaving {
                continue;
            }
            let is_serving = record.state == MemberState::Serving;
            let score = seeded_rng::rendezvous_score(own, &record.instance);
            candidates.push((Reverse((is_serving, score)), &record.instance));
        }
        candidates.sort();
        for (_, name) in candidates.into_iter().take(MAX_QUERIED_PEERS) {
            if let Some(life) = self.query(name, &TicketQuery::Life).await {
                return Some(life);
            }
        }
        None
    }

    async fn query(&self, instance: &InstanceId, query: &TicketQuery) -> Option<IncarnationKey> {
        let query = wire::encode(query).ok()?;
        let answer = self.endpoint.call(instance, TICKET_TAG, &query).await;
        read_value(&answer.ok()?)?
    }

    async fn hand_over_once(
        &self,
        to: &InstanceId,
        tag: ProtocolTag,
        content: &[u8],
    ) -> Option<HandOverAnswer> {
        let session = self.endpoint.open_session(to, TICKET_TAG).await;
        let (mut sender, mut receiver) = session.ok()?;
        let sent: Result<(), PeerError> = async {
            send_value(&mut sender, tag, &()).await?;
            send_body(&mut sender, content).await
        }
        .await;
        sent.ok()?;
        let frame = receiver.receive().await.ok()??;
        if frame.tag != HAND_OVER_REPLY_FRAME {
            return None;
        }
        read_value(&frame.body)
    }

    fn peers_in_zone(&self, zone: &ZoneId) -> Vec<InstanceId> {
        let view = self.members.view();
        let own = self.endpoint.instance();
        let members = view.heard.iter().filter(|record| record.zone == *zone);
        let names = members.map(|record| record.instance.clone());
        names
            .filter(|name| name != own)
            .take(MAX_QUERIED_PEERS)
            .collect()
    }
}
