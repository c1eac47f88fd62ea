//! What the role balancer looks at.

use {engine::wire::route_role::EngineRole, kernel::UpstreamId, std::time::Duration};

/// One engine of a cell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineReport {
    /// Its name.
    pub engine: UpstreamId,
    /// What it does now.
    pub role: EngineRole,
    /// Streams that it holds.
    pub streams: u32,
}

/// The engines of a cell, and how long new work waits for each role.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RoleReport {
    /// How long a request that was read would wait for a decode place.
    pub decode_wait: Duration,
    /// The engines that live and are not leaving.
    pub engines: Vec<EngineReport>,
    /// How long a new request would wait for its reading to start.
    pub prefill_wait: Duration,
}

impl RoleReport {
    /// How many engines have a role.
    pub fn count(&self, role: EngineRole) -> usize {
        let matching = self.engines.iter().filter(|engine| engine.role == role);
        matching.count()
    }

    /// The engine of a role with the fewest streams; the name breaks a tie.
    pub fn idlest(&self, role: EngineRole) -> Option<&EngineReport> {
        let matching = self.engines.iter().filter(|engine| engine.role == role);
        matching.min_by_key(|engine| (engine.streams, &engine.engine))
    }

    /// The wait for a role.
    pub fn wait(&self, role: EngineRole) -> Duration {
        match role {
            EngineRole::Decode => self.decode_wait,
            EngineRole::Prefill => self.prefill_wait,
        }
    }
}
