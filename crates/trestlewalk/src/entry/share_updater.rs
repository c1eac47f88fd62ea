//! Keeps the limits of plain rows divided among the live instances.

use {
    flow::{CurrentTable, PlainLimiter, ShareView},
    kernel::ZoneId,
    peer::{MemberView, PeerDriver},
    plat::{InstanceKind, InstanceRecord},
    std::{collections::BTreeSet, sync::Arc, time::Duration},
    tokio::{sync::watch, time},
};

/// How often shares are recomputed from the members and the table.
const SHARE_INTERVAL: Duration = Duration::from_millis(200);

/// Recomputes this instance's shares of the limits of plain rows as the members and the table change.
pub struct ShareUpdater {
    /// The membership.
    pub driver: Arc<PeerDriver>,
    /// The limiter that enforces the shares.
    pub limiter: Arc<PlainLimiter>,
    /// The platform's list, which names the availability zones that have instances.
    pub list: watch::Receiver<Vec<InstanceRecord>>,
    /// The table in force.
    pub current_table: Arc<CurrentTable>,
    /// The own availability zone.
    pub zone: ZoneId,
}

impl ShareUpdater {
    /// Updates the limiter periodically. Never returns.
    pub async fn run(self) {
        let mut ticks = time::interval(SHARE_INTERVAL);
        loop {
            ticks.tick().await;
            self.limiter.put_shares(self.shares());
            let Some(table) = self.current_table.table() else {
                continue;
            };
            let rows = table.rows.values();
            self.limiter
                .put_rows(rows.filter(|row| row.model.is_none()));
        }
    }

    /// A silent member keeps its share until it is known to be gone, since it may still serve its callers.
    fn shares(&self) -> ShareView {
        let view = self.driver.view();
        let known = view.heard.iter().chain(&view.unheard);
        let local = known.filter(|record| record.zone == self.zone);
        let mut members: BTreeSet<_> = local.map(|record| record.instance.clone()).collect();
        members.insert(view.instance.clone());
        ShareView {
            instance: view.instance.clone(),
            members,
            zone: self.zone.clone(),
            zones: self.zones(&view),
        }
    }

    fn zones(&self, view: &MemberView) -> BTreeSet<ZoneId> {
        let mut zones = BTreeSet::from([self.zone.clone()]);
        zones.extend(view.zones.iter().map(|info| info.zone.clone()));
        for record in self.list.borrow().iter() {
            if record.kind != InstanceKind::Entry {
                continue;
            }
            zones.insert(record.zone.clone());
        }
        zones
    }
}
