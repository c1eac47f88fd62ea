//! Upstreams that crash on one request and restart at other addresses.

use {
    super::{crash_trigger::CrashTrigger, store::StoreStandIn, upstream::UpstreamStandIn},
    std::{
        collections::BTreeSet,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time,
};

/// How long the list still names a crashed upstream.
const LIST_LAG: Duration = Duration::from_millis(300);

/// All incarnations of the upstreams of a run.
#[derive(Clone, Debug)]
pub struct CrashScenario {
    incarnations: Arc<Mutex<Vec<UpstreamStandIn>>>,
    store: StoreStandIn,
    trigger: CrashTrigger,
}

impl CrashScenario {
    /// From now on a request that matches the trigger crashes each upstream that runs it, and a new incarnation replaces
    /// the upstream.
    pub fn start(
        store: &StoreStandIn,
        upstreams: &[UpstreamStandIn],
        trigger: impl Into<CrashTrigger>,
    ) -> Self {
        let scenario = Self {
            incarnations: Arc::new(Mutex::new(upstreams.to_vec())),
            store: store.clone(),
            trigger: trigger.into(),
        };
        for upstream in upstreams {
            scenario.replace_on_crash(upstream.clone());
        }
        scenario
    }

    /// The number of crashes.
    pub fn crashed(&self) -> usize {
        let incarnations = self.incarnations.lock().unwrap();
        incarnations
            .iter()
            .filter(|upstream| upstream.has_crashed())
            .count()
    }

    /// How many such requests reached an upstream, counted by attempt.
    pub fn tries(&self) -> usize {
        let incarnations = self.incarnations.lock().unwrap();
        let received = incarnations.iter().flat_map(UpstreamStandIn::received);
        let poison = received.filter(|received| self.trigger.matches(&received.message));
        let ids = poison
            .filter_map(|received| received.message.header("x-request-id").map(str::to_owned));
        ids.collect::<BTreeSet<String>>().len()
    }

    /// Starts a new incarnation when the upstream crashes.
    fn replace_on_crash(&self, upstream: UpstreamStandIn) {
        upstream.state.lock().unwrap().crashes_on = Some(self.trigger.clone());
        let scenario = self.clone();
        tokio::spawn(async move {
            upstream.wait_crashed().await;
            time::sleep(LIST_LAG).await;
            scenario.store.remove("servers", &upstream.id);
            let number = scenario.incarnations.lock().unwrap().len();
            let id = format!("{}-n{number}", upstream.id.split("-n").next().unwrap());
            let (kind, linger, unframed) = {
                let state = upstream.state.lock().unwrap();
                (state.kind, state.linger, state.unframed)
            };
            let next = UpstreamStandIn::start(&id, &upstream.service, &upstream.zone, kind).await;
            {
                let mut state = next.state.lock().unwrap();
                state.linger = linger;
                state.unframed = unframed;
            }
            scenario.store.put("servers", &id, &next.report("ready"));
            scenario.incarnations.lock().unwrap().push(next.clone());
            scenario.replace_on_crash(next);
        });
    }
}
