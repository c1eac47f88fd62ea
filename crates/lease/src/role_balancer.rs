//! Moving engines between prefill and decode.

use {
    crate::role_report::RoleReport,
    bon::Builder,
    engine::wire::route_role::EngineRole,
    kernel::UpstreamId,
    std::time::{Duration, Instant},
};

/// When the balancer moves an engine.
#[derive(Builder, Clone, Debug)]
pub struct RoleSettings {
    /// How long after a move the next may come.
    #[builder(default = Duration::from_secs(600))]
    pub cool_down: Duration,
    /// Whether engines are moved at all.
    #[builder(default = false)]
    pub enabled: bool,
    /// A role is short of engines while its wait is longer than this.
    #[builder(default = Duration::from_secs(2))]
    pub long_wait: Duration,
    /// How long one role has to be short, and the other not, before an engine moves.
    #[builder(default = Duration::from_secs(120))]
    pub patience: Duration,
    /// A role can spare an engine while its wait is shorter than this.
    #[builder(default = Duration::from_millis(100))]
    pub short_wait: Duration,
    /// How many engines of each role have to be left.
    #[builder(default = 2)]
    pub spare_floor: usize,
}

/// One move.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoleMove {
    /// The engine.
    pub engine: UpstreamId,
    /// Its new role.
    pub role: EngineRole,
}

/// Decides on moves for one cell: one at a time, and only when a shortage lasts.
#[derive(Debug)]
pub struct RoleBalancer {
    moving: Option<UpstreamId>,
    quiet_until: Option<Instant>,
    settings: RoleSettings,
    shortage: Option<(EngineRole, Instant)>,
}

impl RoleBalancer {
    /// A balancer that has seen nothing.
    pub fn new(settings: RoleSettings) -> Self {
        Self {
            moving: None,
            quiet_until: None,
            settings,
            shortage: None,
        }
    }

    /// A move ended: done, refused, or given up after the longest order.
    pub fn on_end(&mut self, now: Instant, engine: &UpstreamId) {
        if self.moving.as_ref() != Some(engine) {
            return;
        }
        self.moving = None;
        self.shortage = None;
        self.quiet_until = Some(now + self.settings.cool_down);
    }

    /// Looks at a report, and says which engine to move now. Tell [`Self::on_end`] what became of it.
    pub fn on_report(&mut self, now: Instant, report: &RoleReport) -> Option<RoleMove> {
        let short = self.short_role(report);
        let since = self.since(now, short)?;
        let role = short?;
        if !self.may_move(now, since) {
            return None;
        }
        let donor = other(role);
        if report.count(donor) <= self.settings.spare_floor {
            return None;
        }
        let engine = report.idlest(donor)?.engine.clone();
        self.moving = Some(engine.clone());
        Some(RoleMove { engine, role })
    }

    fn may_move(&self, now: Instant, since: Instant) -> bool {
        let lasting = now.saturating_duration_since(since) >= self.settings.patience;
        let cooled = self.quiet_until.is_none_or(|until| now >= until);
        self.settings.enabled && self.moving.is_none() && lasting && cooled
    }

    /// The role that is short of engines while the other can spare one.
    fn short_role(&self, report: &RoleReport) -> Option<EngineRole> {
        [EngineRole::Decode, EngineRole::Prefill]
            .into_iter()
            .find(|role| {
                let long = report.wait(*role) > self.settings.long_wait;
                let spare = report.wait(other(*role)) < self.settings.short_wait;
                long && spare
            })
    }

    /// Since when the same role has been short without a break.
    fn since(&mut self, now: Instant, short: Option<EngineRole>) -> Option<Instant> {
        self.shortage = match (self.shortage, short) {
            (_, None) => None,
            (Some((before, since)), Some(role)) if before == role => Some((role, since)),
            (_, Some(role)) => Some((role, now)),
        };
        self.shortage.map(|(_, since)| since)
    }
}

fn other(role: EngineRole) -> EngineRole {
    match role {
        EngineRole::Decode => EngineRole::Prefill,
        EngineRole::Prefill => EngineRole::Decode,
    }
}
