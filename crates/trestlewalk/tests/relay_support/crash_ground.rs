//! Upstreams that end under one request and come back as new lives at other addresses.

use {
    super::{store::StoreStandIn, upstream::UpstreamStandIn},
    std::{
        collections::BTreeSet,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time,
};

/// How long the list goes on naming one that ended.
const LIST_LAG: Duration = Duration::from_millis(300);

/// Every life of the upstreams of a run.
#[derive(Clone, Debug)]
pub struct CrashGround {
    body: String,
    lives: Arc<Mutex<Vec<UpstreamStandIn>>>,
    store: StoreStandIn,
}

impl CrashGround {
    /// From now on a request with this body ends each upstream that runs it, and another life takes the place of that.
    pub fn watch(store: &StoreStandIn, upstreams: &[UpstreamStandIn], body: &str) -> Self {
        let ground = Self {
            body: body.to_owned(),
            lives: Arc::new(Mutex::new(upstreams.to_vec())),
            store: store.clone(),
        };
        for upstream in upstreams {
            ground.keep(upstream.clone());
        }
        ground
    }

    /// How many upstreams ended.
    pub fn ended(&self) -> usize {
        let lives = self.lives.lock().unwrap();
        lives.iter().filter(|life| life.has_ended()).count()
    }

    /// How many tries of the request reached an upstream.
    pub fn tries(&self) -> usize {
        let lives = self.lives.lock().unwrap();
        let seen = lives.iter().flat_map(UpstreamStandIn::seen);
        let deadly = seen.filter(|seen| seen.message.body == self.body.as_bytes());
        let ids = deadly.filter_map(|seen| seen.message.header("x-request-id").map(str::to_owned));
        ids.collect::<BTreeSet<String>>().len()
    }

    /// Has one life replaced when it ends.
    fn keep(&self, life: UpstreamStandIn) {
        life.state.lock().unwrap().ends_on = Some(self.body.clone());
        let ground = self.clone();
        tokio::spawn(async move {
            life.wait_ended().await;
            time::sleep(LIST_LAG).await;
            ground.store.remove("servers", &life.id);
            let number = ground.lives.lock().unwrap().len();
            let id = format!("{}-n{number}", life.id.split("-n").next().unwrap());
            let (kind, linger) = {
                let state = life.state.lock().unwrap();
                (state.kind, state.linger)
            };
            let next = UpstreamStandIn::start(&id, &life.service, &life.zone, kind).await;
            next.state.lock().unwrap().linger = linger;
            ground.store.put("servers", &id, &next.report("ready"));
            ground.lives.lock().unwrap().push(next.clone());
            ground.keep(next);
        });
    }
}
