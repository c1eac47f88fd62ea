//! One version of the operators' routes and services.

use {
    crate::{CallerLimits, CustomerTable, ServiceInfo, WorkRoute},
    kernel::{ServiceId, TableVersion},
    policy::ColdRule,
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// All routes in force, looked up by host and longest prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// The customers; `None` when the operators declare none and callers need no keys.
    pub customers: Option<CustomerTable>,
    hosts: HashMap<Arc<str>, Vec<Arc<WorkRoute>>>,
    /// The limits on callers.
    pub limits: CallerLimits,
    /// The services by name.
    pub services: BTreeMap<ServiceId, Arc<ServiceInfo>>,
    /// The version; it never decreases while a process runs.
    pub version: TableVersion,
}

impl RouteTable {
    /// The services whose cold upstreams tolerate a limited rate of calls.
    pub fn cold_rules(&self) -> BTreeMap<ServiceId, ColdRule> {
        let services = self.services.values();
        let rules = services.filter_map(|service| Some((service.name.clone(), service.cold?)));
        rules.collect()
    }

    /// The route of a host with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<WorkRoute>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// A table without customers.
    pub fn new(
        version: TableVersion,
        routes: Vec<WorkRoute>,
        services: Vec<ServiceInfo>,
        limits: CallerLimits,
    ) -> Self {
        let mut hosts: HashMap<Arc<str>, Vec<Arc<WorkRoute>>> = HashMap::new();
        for route in routes {
            let list = hosts.entry(route.host.clone()).or_default();
            list.push(Arc::new(route));
        }
        for list in hosts.values_mut() {
            list.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|service| (service.name.clone(), Arc::new(service)))
            .collect();
        Self {
            customers: None,
            hosts,
            limits,
            services,
            version,
        }
    }

    /// Replaces the customers.
    pub fn for_customers(self, customers: Option<CustomerTable>) -> Self {
        Self { customers, ..self }
    }

    /// All routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<WorkRoute>> {
        self.hosts.values().flatten()
    }

    /// The number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
