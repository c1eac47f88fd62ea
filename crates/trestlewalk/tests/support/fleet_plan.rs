//! The composition of a fleet.

use super::fleet::Fleet;

/// The processes to start in each availability zone.
#[derive(Clone, Debug)]
#[must_use]
pub struct FleetPlan {
    /// Decode engines in each availability zone.
    pub decode: usize,
    /// Settings of each engine, as `field=value`.
    pub engine_set: Vec<String>,
    /// Entry instances in each availability zone.
    pub entries: usize,
    /// The model of all engines.
    pub model: String,
    /// Replicas of the plain service in each availability zone.
    pub plain: usize,
    /// Settings of the platform, as `field=value`.
    pub platform_set: Vec<String>,
    /// Prefill engines in each availability zone.
    pub prefill: usize,
    /// The service that the engines belong to.
    pub service: String,
    /// The plain service.
    pub plain_service: String,
    /// Settings of each plain replica, as `field=value`.
    pub plain_set: Vec<String>,
    /// Settings of each entry instance, as `field=value`.
    pub set: Vec<String>,
    /// The availability zones.
    pub zones: Vec<String>,
}

impl FleetPlan {
    /// Sets the number of decode engines in each availability zone.
    pub fn decode(mut self, count: usize) -> Self {
        self.decode = count;
        self
    }

    /// Sets a field of each engine.
    pub fn engine_set(mut self, setting: &str) -> Self {
        self.engine_set.push(setting.to_owned());
        self
    }

    /// Sets the number of entry instances in each availability zone.
    pub fn entries(mut self, count: usize) -> Self {
        self.entries = count;
        self
    }

    /// One entry instance in one availability zone, `gijon`, and no upstreams.
    pub fn new() -> Self {
        Self {
            decode: 0,
            engine_set: Vec::new(),
            entries: 1,
            model: "sondeo".to_owned(),
            plain: 0,
            plain_service: "carta".to_owned(),
            plain_set: Vec::new(),
            platform_set: Vec::new(),
            prefill: 0,
            service: "redactor".to_owned(),
            set: Vec::new(),
            zones: vec!["gijon".to_owned()],
        }
    }

    /// Sets the number of plain replicas in each availability zone.
    pub fn plain(mut self, count: usize) -> Self {
        self.plain = count;
        self
    }

    /// Sets a field of each plain replica.
    pub fn plain_set(mut self, setting: &str) -> Self {
        self.plain_set.push(setting.to_owned());
        self
    }

    /// Sets a field of the platform.
    pub fn platform_set(mut self, setting: &str) -> Self {
        self.platform_set.push(setting.to_owned());
        self
    }

    /// Sets the number of prefill engines in each availability zone.
    pub fn prefill(mut self, count: usize) -> Self {
        self.prefill = count;
        self
    }

    /// Sets a field of each entry instance, such as `limits.close=2s`.
    pub fn set(mut self, setting: &str) -> Self {
        self.set.push(setting.to_owned());
        self
    }

    /// Starts all processes and waits until they listen.
    pub async fn start(self) -> Fleet {
        Fleet::start(self).await
    }

    /// Replaces the availability zones.
    pub fn zones(mut self, zones: &[&str]) -> Self {
        self.zones = zones.iter().map(|zone| (*zone).to_owned()).collect();
        self
    }
}
