//! Starts the processes of a fleet.

use {
    super::{
        Fleet, FleetProcess, RelayMode, TcpRelay, UdpRelay,
        fleet::{FleetEntry, FleetUpstream, fake_args},
    },
    plat::{InstanceKind, InstanceRecord, InstanceState},
    serde_json::json,
    std::{
        fs,
        net::{IpAddr, Ipv4Addr, SocketAddr},
    },
    trestlewalk::{
        EntrySettings,
        settings::{KeySettings, PeerSettings, TestKeys},
    },
};

/// The target of a peer relay until its instance has printed its address.
const PLACEHOLDER_TARGET: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 9);

impl Fleet {
    /// Restarts an entry instance that ended or was killed.
    pub async fn restart_entry(&mut self, name: &str) {
        let zone = self.fleet_entry(name).zone.clone();
        self.start_entry(name, &zone).await;
    }

    /// Starts or restarts an entry instance and adds it to the platform's list.
    pub async fn start_entry(&mut self, name: &str, zone: &str) {
        self.start_entry_with(name, zone, RelayMode::Open, &[])
            .await;
    }

    /// Starts an entry instance whose platform relay is in `mode` from the start and whose settings name `known_peers`.
    pub async fn start_entry_with(
        &mut self,
        name: &str,
        zone: &str,
        mode: RelayMode,
        known_peers: &[String],
    ) {
        let platform = TcpRelay::start(self.platform_address()).await;
        platform.set(mode);
        let peers = UdpRelay::start(PLACEHOLDER_TARGET).await;
        let file = format!("{name}.yaml");
        let mut settings = self.entry_settings(name, zone, platform.address());
        settings.listen.advertise = Some(peers.address());
        settings.peers = self.peer_settings(known_peers);
        fs::write(
            self.folder.path().join(&file),
            serde_json::to_string(&settings).unwrap(),
        )
        .unwrap();
        let mut args = vec!["serve".to_owned(), "--settings".to_owned(), file];
        for setting in &self.plan.set {
            args.extend(["--set".to_owned(), setting.clone()]);
        }
        let process = FleetProcess::start(name, &args, self.folder.path()).await;
        peers.retarget(process.address("peers"));
        let entry = FleetEntry {
            peers,
            platform,
            process,
            zone: zone.to_owned(),
        };
        self.entries.insert(name.to_owned(), entry);
        self.list_instance(&self.record(name)).await;
    }

    /// Starts an upstream and adds it to the platform's list.
    pub async fn start_upstream(&mut self, name: &str, zone: &str, kind: InstanceKind) {
        let args = self.upstream_args(name, kind);
        let process = FleetProcess::start(name, &args, self.folder.path()).await;
        let relay = TcpRelay::start(process.address("address")).await;
        let plain = kind == InstanceKind::Plain;
        let service = match plain {
            true => &self.plan.plain_service,
            false => &self.plan.service,
        };
        let record = InstanceRecord {
            address: relay.address().to_string().into(),
            checks_fence: !plain,
            kind,
            model: (!plain).then(|| self.plan.model.as_str().into()),
            name: name.into(),
            service: Some(service.as_str().into()),
            state: InstanceState::Live,
            zone: zone.into(),
        };
        self.list_instance(&record).await;
        let upstream = FleetUpstream {
            process,
            record,
            relay,
        };
        self.upstreams.insert(name.to_owned(), upstream);
    }

    fn peer_settings(&self, known_peers: &[String]) -> Vec<PeerSettings> {
        let settings = known_peers.iter().map(|name| PeerSettings {
            address: self.fleet_entry(name).peers.address(),
            instance: name.as_str().into(),
            zone: self.fleet_entry(name).zone.as_str().into(),
        });
        settings.collect()
    }

    fn entry_settings(&self, name: &str, zone: &str, platform: SocketAddr) -> EntrySettings {
        let keys = self.authority.issue(name).unwrap();
        let mut settings = EntrySettings {
            instance: name.into(),
            keys: KeySettings {
                test: Some(TestKeys {
                    authority: keys.authorities,
                    certificate: keys.certificate,
                    key: keys.private_key,
                }),
                ..KeySettings::default()
            },
            secret: Some("a secret for tests only".into()),
            zone: zone.into(),
            ..EntrySettings::default()
        };
        settings.platform.address = platform;
        settings
    }

    pub(super) async fn start_zone(&mut self, zone: &str) {
        let kinds = [
            (InstanceKind::Decode, "decode", self.plan.decode),
            (InstanceKind::Plain, "plain", self.plan.plain),
            (InstanceKind::Prefill, "prefill", self.plan.prefill),
        ];
        for (kind, word, count) in kinds {
            for number in 1..=count {
                let name = format!("{zone}-{word}-{number}");
                self.start_upstream(&name, zone, kind).await;
            }
        }
        for number in 1..=self.plan.entries {
            let name = format!("{zone}-{number}");
            self.start_entry(&name, zone).await;
        }
    }

    fn upstream_args(&self, name: &str, kind: InstanceKind) -> Vec<String> {
        let role = match kind {
            InstanceKind::Plain => return fake_args("service", self.plan.plain_set.clone()),
            InstanceKind::Prefill => "prefill",
            _ => "decode",
        };
        let mut set = vec![
            format!("name={name}"),
            format!("role={role}"),
            format!("models={}", json!([self.plan.model])),
        ];
        set.extend(self.plan.engine_set.clone());
        fake_args("engine", set)
    }
}
