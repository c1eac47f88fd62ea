//! What the request path learns from the membership.

use {
    crate::{admin::ReadyBoard, entry::AllocatorMaker},
    flow::{CellHub, CellTable, GrantRouter, LifeView, MemberView, UpstreamRegistry},
    kernel::{Incarnation, InstanceId, LockRank, RankedLock, UpstreamId, ZoneId},
    peer::{ListedMember, MemberNews, MemberState, PeerDriver},
    plat::{InstanceKind, InstanceRecord, InstanceState},
    route::load_report::LeavingCause,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{broadcast::error::RecvError, watch},
        time,
    },
};

/// A life that no record tells of counts as gone after so long: its record may still be on its way.
const UNKNOWN_LIMIT: Duration = Duration::from_secs(3);
/// How often marks are carried between the board and the membership.
const MARK_INTERVAL: Duration = Duration::from_millis(200);
/// How often a mark that holds is raised anew; well below the lifetime of a mark.
const MARK_REFRESH: Duration = Duration::from_secs(20);

/// The lives that are not known to run.
#[derive(Default)]
struct LostLives {
    gone: BTreeMap<InstanceId, Incarnation>,
    unknown: BTreeMap<(InstanceId, Incarnation), Instant>,
}

/// The membership as the request path sees it.
pub struct MemberWatch {
    board: Arc<UpstreamRegistry>,
    driver: Arc<PeerDriver>,
    lost: RankedLock<LostLives>,
    zone: ZoneId,
}

impl MemberWatch {
    /// A watch over a running membership.
    pub fn new(board: Arc<UpstreamRegistry>, driver: Arc<PeerDriver>, zone: ZoneId) -> Self {
        let lost = RankedLock::new(LockRank::Members, LostLives::default());
        Self {
            board,
            driver,
            lost,
            zone,
        }
    }

    /// The membership.
    pub fn driver(&self) -> Arc<PeerDriver> {
        self.driver.clone()
    }

    /// Passes the platform's list on to the membership, for as long as it is driven.
    pub async fn run_list(self: Arc<Self>, mut list: watch::Receiver<Vec<InstanceRecord>>) {
        while list.changed().await.is_ok() {
            let members = listed_members(&list.borrow_and_update());
            self.driver.set_listed(members);
        }
    }

    /// Carries marks both ways for as long as it is driven.
    pub async fn run_marks(self: Arc<Self>) {
        let mut told: BTreeMap<UpstreamId, (LeavingCause, Instant)> = BTreeMap::new();
        let mut ticks = time::interval(MARK_INTERVAL);
        loop {
            ticks.tick().await;
            self.tell_marks(Instant::now(), &mut told);
            self.board.put_peer_marks(&self.peer_marks());
        }
    }

    /// Acts on the news of the membership for as long as it is driven.
    pub async fn run_news(
        self: Arc<Self>,
        cells: Arc<CellTable<AllocatorMaker, GrantRouter>>,
        hub: Arc<CellHub>,
    ) {
        let mut news = self.driver.news();
        loop {
            match news.recv().await {
                Ok(news) => self.on_news(news, &cells, &hub),
                Err(RecvError::Lagged(_)) => {}
                Err(RecvError::Closed) => return,
            }
        }
    }

    /// Tells the members whether this instance takes requests, for as long as it is driven.
    pub async fn run_state(self: Arc<Self>, ready: Arc<ReadyBoard>) {
        let mut ticks = time::interval(MARK_INTERVAL);
        let mut told = None;
        loop {
            ticks.tick().await;
            let state = match ready.is_ready() {
                true => MemberState::Serving,
                false if ready.is_closing() => MemberState::Leaving,
                false => MemberState::NotReady,
            };
            if told.replace(state) != Some(state) {
                self.driver.set_state(state);
            }
        }
    }

    fn on_news(
        &self,
        news: MemberNews,
        cells: &CellTable<AllocatorMaker, GrantRouter>,
        hub: &CellHub,
    ) {
        match news {
            MemberNews::MemberGone { before, instance } => {
                tracing::info!(%instance, before, "an instance is gone");
                self.lost.lock().gone.insert(instance.clone(), before);
                cells.on_holder_gone(&instance, before);
            }
            MemberNews::Renewed { incarnation } => {
                tracing::warn!(
                    incarnation,
                    "this instance was held for gone, and has a new life"
                );
                hub.renew(incarnation);
            }
            MemberNews::Superseded { by } => {
                tracing::error!(
                    by,
                    "another process has this instance's name and a later life"
                );
            }
            MemberNews::ZoneBack { zone } => {
                tracing::info!(%zone, "the availability zone is heard again")
            }
            MemberNews::ZoneCut { zone } => {
                tracing::warn!(%zone, "the availability zone is cut off")
            }
            _ => {}
        }
    }

    /// The other instances' marks. Failed calls are an instance's own matter: they may be of its own network.
    fn peer_marks(&self) -> BTreeMap<UpstreamId, LeavingCause> {
        let view = self.driver.view();
        let mut marks = BTreeMap::new();
        for mark in &view.marks {
            let Some(cause) = mark.cause else {
                continue;
            };
            if mark.by == view.instance || cause == LeavingCause::Failed {
                continue;
            }
            marks.insert(mark.upstream.clone(), cause);
        }
        marks
    }

    fn tell_marks(&self, now: Instant, told: &mut BTreeMap<UpstreamId, (LeavingCause, Instant)>) {
        let marks = self.board.own_marks();
        for (upstream, cause) in &marks {
            let is_fresh = told.get(upstream).is_some_and(|(before, at)| {
                before == cause && now.saturating_duration_since(*at) < MARK_REFRESH
            });
            if is_fresh {
                continue;
            }
            told.insert(upstream.clone(), (*cause, now));
            self.driver.mark(upstream.clone(), Some(*cause));
        }
        let ended: Vec<UpstreamId> = told
            .keys()
            .filter(|upstream| !marks.contains_key(*upstream))
            .cloned()
            .collect();
        for upstream in ended {
            told.remove(&upstream);
            self.driver.mark(upstream, None);
        }
    }
}

impl LifeView for MemberWatch {
    fn is_gone(&self, instance: &str, incarnation: Incarnation) -> bool {
        let view = self.driver.view();
        let known = view
            .heard
            .iter()
            .chain(&view.unheard)
            .find(|record| *record.instance == *instance);
        let mut lost = self.lost.lock();
        if lost
            .gone
            .get(instance)
            .is_some_and(|before| incarnation < *before)
        {
            return true;
        }
        let key = (InstanceId::from(instance), incarnation);
        if let Some(record) = known {
            lost.unknown.remove(&key);
            return incarnation < record.incarnation;
        }
        let since = *lost.unknown.entry(key).or_insert_with(Instant::now);
        since.elapsed() > UNKNOWN_LIMIT
    }

    fn is_silent(&self, instance: &str) -> bool {
        let view = self.driver.view();
        !view
            .heard
            .iter()
            .any(|record| *record.instance == *instance)
    }
}

impl MemberView for MemberWatch {
    fn zone_members(&self) -> Vec<InstanceId> {
        let view = self.driver.view();
        let serving = view.serving_in(&self.zone);
        let fit = serving.filter(|record| !view.is_stale || record.instance != view.instance);
        fit.map(|record| record.instance.clone()).collect()
    }
}

fn listed_members(list: &[InstanceRecord]) -> Vec<ListedMember> {
    let mut members = Vec::new();
    for record in list {
        if record.kind != InstanceKind::Entry {
            continue;
        }
        let Ok(address) = record.address.parse() else {
            continue;
        };
        members.push(ListedMember {
            address,
            instance: record.name.clone(),
            leaving: record.state == InstanceState::Leaving,
        });
    }
    members
}
