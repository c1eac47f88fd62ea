//! Reads the platform's list of instances.

use {
    flow::UpstreamRegistry,
    plat::{InstanceList, InstanceRecord},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{self, MissedTickBehavior},
    },
};

/// Reads the list and shows it to the other parts. While the platform is down the last list stays.
pub struct ListPoller<P> {
    board: Arc<UpstreamRegistry>,
    interval: Duration,
    list: watch::Sender<Vec<InstanceRecord>>,
    platform: P,
}

impl<P: InstanceList> ListPoller<P> {
    /// A poller that shows upstreams on the board, and the whole list to `list`'s receivers.
    pub fn new(
        board: Arc<UpstreamRegistry>,
        interval: Duration,
        list: watch::Sender<Vec<InstanceRecord>>,
        platform: P,
    ) -> Self {
        Self {
            board,
            interval,
            list,
            platform,
        }
    }

    /// Polls for as long as it is driven.
    pub async fn run(self) {
        let mut ticks = time::interval(self.interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let Ok(records) = self.platform.instances().await else {
                continue;
            };
            if *self.list.borrow() == records {
                continue;
            }
            self.board.put_list(&records);
            self.list.send_replace(records);
        }
    }
}
