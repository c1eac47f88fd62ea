//! Instances of one zone that share snapshots of the store.

use {
    super::{
        caller::{Caller, CallerReply, fresh_id, request_text},
        relay_test::start_again,
        store::StoreStandIn,
        upstream::UpstreamStandIn,
    },
    crate::support::{
        fleet_process::FleetProcess, http_call::HttpCall, tcp_relay::TcpRelay, wait::wait_until,
    },
    hyper::Method,
    serde_json::Value,
    std::{
        net::Ipv4Addr,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    tokio::time,
};

/// Between two requests to each instance.
const SENDING_PAUSE: Duration = Duration::from_millis(10);

/// One process with the proxy through which it reaches the store.
#[derive(Debug)]
pub struct ZoneInstance {
    pub process: FleetProcess,
    pub store_relay: TcpRelay,
}

/// The running instances with their stand-ins.
#[derive(Debug)]
pub struct ZoneRun {
    pub config: Value,
    pub instances: Vec<ZoneInstance>,
    pub store: StoreStandIn,
    pub upstreams: Vec<UpstreamStandIn>,
    /// Holds the logs that a failed test prints when the instances are dropped, so it has to be dropped last.
    pub folder: TempDir,
}

impl ZoneRun {
    /// Writes a changed configuration with a higher version.
    pub fn change(&mut self, change: impl FnOnce(&mut Value)) {
        let version = self.config["Version"].as_u64().unwrap() + 3;
        self.config["Version"] = serde_json::json!(version);
        change(&mut self.config);
        self.store.put("op", "config", &self.config);
    }

    /// How often an instance received a snapshot from another one.
    pub async fn passed_on(&self, index: usize) -> u64 {
        let process = &self.instances[index].process;
        let reply = process.get("admin", "/metrics").send().await;
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        let mut lines = text.lines().filter(|line| {
            line.starts_with("trestlewalk_relay_store_reads_total") && line.contains("passed_on")
        });
        let value = lines.next().and_then(|line| line.split(' ').next_back());
        value.map_or(0, |value| value.parse().unwrap())
    }

    /// Kills all instances and restarts them under the same names, without any of their state.
    pub async fn restart_all(&mut self) {
        self.kill_all().await;
        self.start_all().await;
    }

    /// Kills all instances.
    pub async fn kill_all(&mut self) {
        for instance in &mut self.instances {
            instance.process.kill().await;
        }
    }

    /// Starts all instances under the same names, without any of their state.
    pub async fn start_all(&mut self) {
        for (index, instance) in self.instances.iter_mut().enumerate() {
            let name = format!("front-{}", index + 1);
            instance.process = start_again(&name, &self.folder).await;
        }
    }

    /// Sends one request to an instance on a new connection.
    pub async fn send(
        &self,
        index: usize,
        method: &str,
        path: &str,
        more: &str,
        body: &str,
    ) -> CallerReply {
        self.send_from(Ipv4Addr::LOCALHOST, index, method, path, more, body)
            .await
    }

    /// The same from another local address.
    pub async fn send_from(
        &self,
        own: Ipv4Addr,
        index: usize,
        method: &str,
        path: &str,
        more: &str,
        body: &str,
    ) -> CallerReply {
        let address = self.instances[index].process.address("callers");
        let mut caller = Caller::connect_from(own, address).await;
        let text = request_text(method, path, &fresh_id(), more, body);
        caller.write(&text).await;
        caller.read().await
    }

    /// Sends requests to all instances until `end`, over one connection each, and expects 200 for all of them.
    pub async fn send_until(&self, path: &str, end: Instant) {
        let mut callers = Vec::new();
        for instance in &self.instances {
            callers.push(Caller::connect(instance.process.address("callers")).await);
        }
        while Instant::now() < end {
            for caller in &mut callers {
                let text = request_text("GET", path, &fresh_id(), "X-Deadline-Ms: 4000\r\n", "");
                caller.write(&text).await;
                assert_eq!(caller.read().await.status(), 200);
            }
            time::sleep(SENDING_PAUSE).await;
        }
    }

    /// Sends one request with a body and a given id to an instance.
    pub async fn send_as(&self, id: &str, index: usize, path: &str, more: &str) -> CallerReply {
        let mut caller = Caller::connect(self.instances[index].process.address("callers")).await;
        let text = request_text("POST", path, id, more, "the prompt");
        caller.write(&text).await;
        caller.read().await
    }

    /// Waits until an instance is ready.
    pub async fn wait_ready(&self, index: usize) {
        let address = self.instances[index].process.address("admin");
        wait_until("an instance is ready", async || {
            let call = HttpCall::new(Method::GET, address, "/ready");
            let reply = call.try_send().await;
            reply.is_ok_and(|reply| reply.status.as_u16() == 200)
        })
        .await;
    }

    /// The status of the answer to one request at an instance.
    pub async fn status(&self, index: usize, path: &str) -> u16 {
        let reply = self.send(index, "GET", path, "X-Deadline-Ms: 4000\r\n", "");
        reply.await.status()
    }

    /// Waits until all instances but one get their snapshots from it; returns the index of that one.
    pub async fn wait_single_reader(&self) -> usize {
        let mut reader = 0;
        wait_until("one instance reads for all", async || {
            let mut readers = Vec::new();
            for index in 0..self.instances.len() {
                let before = self.passed_on(index).await;
                time::sleep(Duration::from_millis(150)).await;
                if self.passed_on(index).await == before {
                    readers.push(index);
                }
            }
            reader = readers.first().copied().unwrap_or_default();
            readers.len() == 1
        })
        .await;
        reader
    }

    /// Waits until an instance answers a path with a status.
    pub async fn wait_status(&self, index: usize, path: &str, status: u16) {
        wait_until("an instance answers with a status", async || {
            self.status(index, path).await == status
        })
        .await;
    }
}
