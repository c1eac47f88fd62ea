//! The instances as one of them knows them, wherever that has to be known.

use {
    crate::{DirectoryView, MemberRow, ReaderElection, ReportOrigin, SpreadState},
    kernel::{InstanceId, RankedLock, steady_clock},
    peer::PeerBook,
    policy::AgedReport,
    relay::ZoneSize,
    std::{sync::Arc, time::Instant},
    tokio::sync::watch,
};

/// Keeps election, state, addresses and the size of the zone in step. Clones share all.
#[derive(Clone, Debug)]
pub struct MemberRegistry {
    /// Where they answer.
    pub addresses: PeerBook,
    /// The instance itself.
    pub own: MemberRow,
    /// Who reads.
    pub election: Arc<RankedLock<ReaderElection>>,
    /// What is told to others.
    pub state: Arc<watch::Sender<SpreadState>>,
    /// How many the zone has.
    pub zone_size: ZoneSize,
}

impl MemberRegistry {
    /// An instance has asked: it is one of the zone, if it says so.
    pub fn add(&self, card: &MemberRow) {
        if card.zone != self.own.zone {
            return;
        }
        if self.state.borrow().members.contains(card) {
            return;
        }
        let mut members = self.state.borrow().members.clone();
        members.retain(|member| member.instance != card.instance);
        members.push(card.clone());
        self.replace(members);
    }

    /// Takes reports of ended upstreams in; whether any was new.
    pub fn merge_reports(
        &self,
        reports: &[AgedReport],
        origin: ReportOrigin,
        now: Instant,
    ) -> bool {
        let mut is_news = false;
        self.state.send_if_modified(|state| {
            is_news = state.reports.apply(reports, origin, now);
            is_news
        });
        is_news
    }

    /// The store was read: other zones are as it says, and the own one has these members and those that are known here,
    /// but for `silent` ones.
    pub fn merge(&self, view: &DirectoryView, silent: &[InstanceId]) {
        let mut members = self.zone_members();
        let known: Vec<InstanceId> = members
            .iter()
            .map(|member| member.instance.clone())
            .collect();
        for row in view.members() {
            if !known.contains(&row.instance) {
                members.push(row.clone());
            }
        }
        members.retain(|member| !silent.contains(&member.instance));
        self.replace(members);
    }

    /// The instances are these. While the own one is not among them, it asks any of them before it reads for others.
    pub fn replace(&self, members: Vec<MemberRow>) {
        let listed = members.clone();
        let mut members = members;
        if !members.contains(&self.own) {
            members.retain(|member| member.instance != self.own.instance);
            members.push(self.own.clone());
        }
        let zone = members.iter().filter(|member| member.zone == self.own.zone);
        self.zone_size.set(zone.count());
        if MemberRow::digest(&members) == self.state.borrow().members_digest() {
            return;
        }
        for member in &members {
            if member.instance != self.own.instance {
                self.addresses.set(member.instance.clone(), member.address);
            }
        }
        self.election
            .lock()
            .set_members(&listed, steady_clock::now());
        self.state.send_modify(|state| state.apply_members(members));
    }

    /// The members of the own zone.
    pub fn zone_members(&self) -> Vec<MemberRow> {
        let state = self.state.borrow();
        let members = state.members.iter();
        let own = members.filter(|member| member.zone == self.own.zone);
        own.cloned().collect()
    }
}
