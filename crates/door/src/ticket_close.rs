//! Handing the tickets over when this instance closes.

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
    /// Gives the tickets to a successor of the same availability zone, if one answers. From then on no ticket runs
    /// here; what runs ends here.
    pub async fn hand_over(&self) {
        let Some(successor) = self.peers.successor(&self.registry.zone).await else {
            tracing::warn!("no instance of the availability zone takes the tickets over");
            return;
        };
        let Some(message) = self.registry.hand_over(successor.clone()) else {
            return;
        };
        let Some((from, reply)) = self.peers.send_hand_over(HAND_OVER_FRAME, &message).await else {
            tracing::warn!(%successor, "the hand-over of the tickets was not answered");
            return;
        };
        self.registry.on_reply(&from, reply);
        if reply == HandOverReply::Refused {
            tracing::warn!(%successor, "the hand-over of the tickets was refused");
            return;
        }
        tracing::info!(%successor, "the tickets are handed over");
        self.registry.metrics.count(ticket_event::HANDED_OVER);
        let lives = message.lives.into_iter().map(|life| life.life).collect();
        self.peers.notify(&SuccessorNotice { lives, successor });
    }

    /// Tells the successor how the runs ended that went on at the hand-over. Without it their outcome stays unknown
    /// there.
    pub async fn send_final_records(&self) {
        let Some(message) = self.registry.final_records() else {
            return;
        };
        let sent = self.peers.send_hand_over(FINAL_RECORDS_FRAME, &message);
        if sent.await.is_none() {
            tracing::warn!("the successor did not hear how the last runs ended");
        }
    }
}
