//! Polls the platform's list of instances.

use {
    flow::UpstreamRegistry,
    plat::{InstanceList, InstanceRecord},
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{self, MissedTickBehavior},
    },
};

/// Polls the list and passes changes on to the other parts. While the platform is down the last list stays in use.
pub struct ListPoller<P> {
    registry: Arc<UpstreamRegistry>,
    interval: Duration,
    list: watch::Sender<Vec<InstanceRecord>>,
    platform: P,
}

impl<P: InstanceList> ListPoller<P> {
    /// Creates a poller that puts the listed upstreams on the registry, and sends the whole list to the receivers of
    /// `list`.
    pub fn new(
        registry: Arc<UpstreamRegistry>,
        interval: Duration,
        list: watch::Sender<Vec<InstanceRecord>>,
        platform: P,
    ) -> Self {
        Self {
            registry,
            interval,
            list,
            platform,
        }
    }

    /// Polls every `interval`. Never returns.
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
            self.registry.put_list(&records);
            self.list.send_replace(records);
        }
    }
}
