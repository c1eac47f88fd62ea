//! Keeps the limits of plain rows split over the instances that live.

use {
    flow::{CurrentTable, PlainLimiter, ShareView},
    kernel::ZoneId,
    peer::{MemberView, PeerDriver},
    plat::{InstanceKind, InstanceRecord},
    std::{collections::BTreeSet, sync::Arc, time::Duration},
    tokio::{sync::watch, time},
};

/// How often the split is compared with the members and the table.
const SHARE_INTERVAL: Duration = Duration::from_millis(200);

/// What the split of limits follows.
pub struct LimitShares {
    /// The members.
    pub driver: Arc<PeerDriver>,
    /// The limiter to tell.
    pub limiter: Arc<PlainLimiter>,
    /// The platform's list, which names the availability zones that have instances.
    pub list: watch::Receiver<Vec<InstanceRecord>>,
    /// The table in force.
    pub tables: Arc<CurrentTable>,
    /// The own availability zone.
    pub zone: ZoneId,
}

impl LimitShares {
    /// Follows them for as long as it is driven.
    pub async fn run(self) {
        let mut ticks = time::interval(SHARE_INTERVAL);
        loop {
            ticks.tick().await;
            self.limiter.put_shares(self.shares());
            let Some(table) = self.tables.table() else {
                continue;
            };
            let rows = table.rows.values();
            self.limiter
                .put_rows(rows.filter(|row| row.model.is_none()));
        }
    }

    /// A member that is silent keeps its part until it is known to be gone: it may go on with its callers.
    fn shares(&self) -> ShareView {
        let view = self.driver.view();
        let known = view.heard.iter().chain(&view.unheard);
        let near = known.filter(|record| record.zone == self.zone);
        let mut members: BTreeSet<_> = near.map(|record| record.instance.clone()).collect();
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
