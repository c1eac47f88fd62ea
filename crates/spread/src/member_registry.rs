//! The instances known to one of them, for all parts that need to know.

use {
    crate::{DirectoryView, MemberRow, ReaderElection, ReportOrigin, SpreadState},
    kernel::{InstanceId, RankedLock, steady_clock},
    peer::AddressTable,
    policy::{AgedReport, FleetMember, FleetMembers},
    relay::FleetView,
    std::{sync::Arc, time::Instant},
    tokio::sync::watch,
};

/// Keeps the election, the shared state, peer addresses and the fleet consistent. Clones share
/// their state.
#[derive(Clone, Debug)]
pub struct MemberRegistry {
    /// Addresses of the instances.
    pub addresses: AddressTable,
    /// Entry of this instance.
    pub own: MemberRow,
    /// Decides which instances read the store.
    pub election: Arc<RankedLock<ReaderElection>>,
    /// State shared with other instances.
    pub state: Arc<watch::Sender<SpreadState>>,
    /// The instances as the request path sees them.
    pub fleet: FleetView,
}

impl MemberRegistry {
    /// Adds an instance that sent a request, if it is in the own zone.
    pub fn add(&self, requester: &MemberRow) {
        if requester.zone != self.own.zone {
            return;
        }
        if self.state.borrow().members.contains(requester) {
            return;
        }
        let mut members = self.state.borrow().members.clone();
        members.retain(|member| member.instance != requester.instance);
        members.push(requester.clone());
        self.replace(members);
    }

    /// Merges crash reports; returns whether any of them was new.
    pub fn merge_reports(
        &self,
        reports: &[AgedReport],
        origin: ReportOrigin,
        now: Instant,
    ) -> bool {
        let mut is_new = false;
        self.state.send_if_modified(|state| {
            is_new = state.reports.apply(reports, origin, now);
            is_new
        });
        is_new
    }

    /// Applies a view of the directory: other zones have the members listed there; the own zone has
    /// those listed and those known here, without the `silent` ones. With `keeps_known` other zones
    /// keep the members known here as well: their rows may be older, and what instances share by
    /// their number must not grow for that.
    pub fn merge(&self, view: &DirectoryView, silent: &[InstanceId], keeps_known: bool) {
        let mut members = match keeps_known {
            true => self.state.borrow().members.clone(),
            false => self.zone_members(),
        };
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

    /// Replaces the members. While this instance is not listed, it asks any of them before it reads
    /// for others.
    pub fn replace(&self, members: Vec<MemberRow>) {
        let listed = members.clone();
        let mut members = members;
        if !members.contains(&self.own) {
            members.retain(|member| member.instance != self.own.instance);
            members.push(self.own.clone());
        }
        let fleet = members.iter().map(|member| FleetMember {
            capacity: member.capacity,
            instance: member.instance.clone(),
            zone: member.zone.clone(),
        });
        self.fleet.set(FleetMembers::new(fleet.collect()));
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

    /// Members of the own zone.
    pub fn zone_members(&self) -> Vec<MemberRow> {
        let state = self.state.borrow();
        let members = state.members.iter();
        let own = members.filter(|member| member.zone == self.own.zone);
        own.cloned().collect()
    }
}
