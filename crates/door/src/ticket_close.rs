//! Hands the tickets over to a successor when this instance closes.

use {
    crate::{
        ticket_dispatcher::TicketDispatcher,
        ticket_frame::{FINAL_RECORDS_FRAME, HAND_OVER_FRAME, SuccessorNotice},
        ticket_metrics::ticket_event,
    },
    claim::HandOverReply,
    plat::RowStore,
};

impl<S: RowStore + 'static> TicketDispatcher<S> {
    /// Hands the tickets over to a successor in the same availability zone, if one answers. From then on no ticket
    /// starts a run here; runs in progress finish here.
    pub async fn hand_over(&self) {
        let Some(successor) = self.peers.successor(&self.registry.zone).await else {
            tracing::warn!("no instance in the availability zone can take over the tickets");
            return;
        };
        let Some(message) = self.registry.hand_over(successor.clone()) else {
            return;
        };
        let Some((from, reply)) = self.peers.send_hand_over(HAND_OVER_FRAME, &message).await else {
            tracing::warn!(%successor, "the successor did not answer the hand-over of the tickets");
            return;
        };
        self.registry.on_reply(&from, reply);
        if reply == HandOverReply::Refused {
            tracing::warn!(%successor, "the successor refused the hand-over of the tickets");
            return;
        }
        tracing::info!(%successor, "tickets handed over");
        self.registry.metrics.count(ticket_event::HANDED_OVER);
        let lives = message.lives.into_iter().map(|life| life.life).collect();
        self.peers.notify(&SuccessorNotice { lives, successor });
    }

    /// Sends the successor the outcomes of the runs that were in progress at the hand-over. Otherwise their outcomes
    /// remain unknown there.
    pub async fn send_final_records(&self) {
        let Some(message) = self.registry.final_records() else {
            return;
        };
        let sent = self.peers.send_hand_over(FINAL_RECORDS_FRAME, &message);
        if sent.await.is_none() {
            tracing::warn!("the successor did not acknowledge the outcomes of the last runs");
        }
    }
}
