//! Real links over loopback: endpoints with their memberships, and sessions.

use {
    crate::{
        bench_error::{BenchError, PeerLinkSnafu},
        node::{
            node_report::{SlopePoint, SlopeSeries},
            process_usage::ProcessUsage,
        },
    },
    bytes::Bytes,
    kernel::InstanceId,
    peer::{
        AddressTable, ListedMember, MemberSettings, MemberState, PeerDriver, PeerEndpoint,
        PeerError, PeerIncoming, TableRevision, TableSource, make_test_keys,
        peer_driver::FIRST_FREE_TAG,
    },
    snafu::ResultExt,
    std::{sync::Arc, time::Duration},
};

const IP_UDP_HEAD: f64 = 28.0;
/// Until the links of the start that nothing uses any more are given up.
const WARM_UP: Duration = Duration::from_secs(26);
const FRAME_BYTES: usize = 120;

struct FixedSource;

impl TableSource for FixedSource {
    fn changes(&self, _since: u64) -> Option<Bytes> {
        None
    }

    fn revision(&self) -> TableRevision {
        TableRevision {
            digest: 1,
            version: 1,
        }
    }

    async fn apply(&self, _from: &InstanceId, _content: Bytes) -> Result<TableRevision, PeerError> {
        Ok(self.revision())
    }
}

/// How long each point is measured.
#[derive(Clone, Copy, Debug)]
pub struct LinkSlope {
    /// The time a point.
    pub time: Duration,
}

impl LinkSlope {
    /// All series over real links.
    ///
    /// # Errors
    ///
    /// When an endpoint can't be made or a session breaks.
    pub async fn run(&self) -> Result<Vec<SlopeSeries>, BenchError> {
        let mut points = Vec::new();
        for (endpoints, neighbours) in [(8, 8), (16, 8), (32, 8)] {
            let point = self.members(endpoints, neighbours, endpoints).await;
            points.push(point.context(PeerLinkSnafu)?);
        }
        let by_members = SlopeSeries::new("real links, 8 neighbours", "endpoints", points);
        let mut points = Vec::new();
        for neighbours in [4, 8, 16, 31] {
            let point = self.members(32, neighbours, neighbours).await;
            points.push(point.context(PeerLinkSnafu)?);
        }
        let by_neighbours = SlopeSeries::new("real links, 32 endpoints", "neighbours", points);
        let mut points = Vec::new();
        for frames in [0, 100, 400, 1_600] {
            points.push(self.session(frames).await.context(PeerLinkSnafu)?);
        }
        let by_frames = SlopeSeries::new("one session, both ends", "frames a second", points);
        Ok(vec![by_members, by_neighbours, by_frames])
    }

    async fn members(
        &self,
        endpoints: usize,
        neighbours: usize,
        size: usize,
    ) -> Result<SlopePoint, PeerError> {
        let before = ProcessUsage::now();
        let drivers = start_drivers(endpoints, neighbours)?;
        tokio::time::sleep(WARM_UP).await;
        let held = ProcessUsage::now().resident.saturating_sub(before.resident);
        let start = Sample::take(drivers.iter().map(PeerDriver::endpoint));
        tokio::time::sleep(self.time).await;
        let used = Sample::take(drivers.iter().map(PeerDriver::endpoint)).since(&start);
        let seconds = self.time.as_secs_f64() * endpoints as f64;
        let heard = drivers[endpoints - 1].view().heard.len();
        close_all(drivers).await;
        Ok(SlopePoint::new(
            size as f64,
            [
                // Each connection is counted at one end: both ends carry its bytes.
                (
                    "bytes_both_ways_per_s",
                    2.0 * (used.bytes + IP_UDP_HEAD * used.datagrams) / seconds,
                ),
                ("datagrams_both_ways_per_s", 2.0 * used.datagrams / seconds),
                ("heard", heard as f64),
                ("processor_us_per_s", used.processor_us / seconds),
                ("resident_kb", held as f64 / endpoints as f64 / 1e3),
            ],
        ))
    }

    /// One session over which frames go there and back; the frames there are counted.
    async fn session(&self, frames: u32) -> Result<SlopePoint, PeerError> {
        let endpoints = start_endpoints(2)?;
        echo_sessions(&endpoints[1]);
        let name: InstanceId = "entry-0001".into();
        let (mut sender, mut receiver) = endpoints[0].open_session(&name, FIRST_FREE_TAG).await?;
        sender.send(0, &[0; FRAME_BYTES]).await?;
        receiver.receive().await?;
        let start = Sample::take(endpoints.iter());
        let count = (self.time.as_secs_f64() * f64::from(frames)) as u32;
        let mut ticks = tokio::time::interval(self.time / count.max(1));
        ticks.tick().await;
        for _ in 0..count.max(1) {
            ticks.tick().await;
            if count > 0 {
                sender.send(0, &[0; FRAME_BYTES]).await?;
                receiver.receive().await?;
            }
        }
        let used = Sample::take(endpoints.iter()).since(&start);
        let seconds = self.time.as_secs_f64();
        for endpoint in endpoints {
            endpoint.close().await;
        }
        Ok(SlopePoint::new(
            f64::from(frames),
            [
                (
                    "bytes_both_ways_per_s",
                    (used.bytes + IP_UDP_HEAD * used.datagrams) / seconds,
                ),
                ("datagrams_both_ways_per_s", used.datagrams / seconds),
                ("processor_us_per_s", used.processor_us / seconds),
            ],
        ))
    }
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    bytes: f64,
    datagrams: f64,
    processor_us: f64,
}

impl Sample {
    fn take<'a>(endpoints: impl Iterator<Item = &'a PeerEndpoint>) -> Self {
        let mut sample = Self {
            bytes: 0.0,
            datagrams: 0.0,
            processor_us: 0.0,
        };
        for endpoint in endpoints {
            let traffic = endpoint.traffic();
            sample.bytes += traffic.bytes as f64;
            sample.datagrams += traffic.datagrams as f64;
        }
        sample.processor_us = ProcessUsage::now().processor.as_secs_f64() * 1e6;
        sample
    }

    fn since(&self, earlier: &Self) -> Self {
        Self {
            bytes: self.bytes - earlier.bytes,
            datagrams: self.datagrams - earlier.datagrams,
            processor_us: self.processor_us - earlier.processor_us,
        }
    }
}

async fn close_all(drivers: Vec<PeerDriver>) {
    let mut closes = tokio::task::JoinSet::new();
    for driver in drivers {
        closes.spawn(async move {
            let endpoint = driver.endpoint().clone();
            driver.close().await;
            endpoint.close().await;
        });
    }
    while closes.join_next().await.is_some() {}
}

/// Answers each frame of each session with one of its size.
fn echo_sessions(endpoint: &PeerEndpoint) {
    let mut inbox = endpoint.register(FIRST_FREE_TAG);
    tokio::spawn(async move {
        while let Some(incoming) = inbox.recv().await {
            let PeerIncoming::Session {
                mut receiver,
                mut sender,
                ..
            } = incoming
            else {
                continue;
            };
            tokio::spawn(async move {
                while let Ok(Some(frame)) = receiver.receive().await {
                    if sender.send(frame.tag, &frame.body).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
}

fn start_drivers(count: usize, neighbours: usize) -> Result<Vec<PeerDriver>, PeerError> {
    let endpoints = start_endpoints(count)?;
    let mut contacts = Vec::new();
    for endpoint in &endpoints {
        contacts.push(ListedMember {
            address: endpoint.local_address()?,
            instance: endpoint.instance().clone(),
            leaving: false,
        });
    }
    let mut drivers = Vec::new();
    for endpoint in endpoints {
        let driver = PeerDriver::builder()
            .contacts(contacts.clone())
            .endpoint(endpoint)
            .settings(
                MemberSettings::builder()
                    .neighbour_limit(neighbours)
                    .build(),
            )
            .source(Arc::new(FixedSource))
            .zone("riga-a".into())
            .start()?;
        driver.set_state(MemberState::Serving);
        drivers.push(driver);
    }
    Ok(drivers)
}

fn start_endpoints(count: usize) -> Result<Vec<PeerEndpoint>, PeerError> {
    let names: Vec<String> = (0..count)
        .map(|index| format!("entry-{index:04}"))
        .collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let (_, keys) = make_test_keys(&names)?;
    let addresses = AddressTable::new();
    let mut endpoints = Vec::new();
    for (name, keys) in names.iter().zip(&keys) {
        let endpoint = PeerEndpoint::builder()
            .address(([127, 0, 0, 1], 0).into())
            .addresses(addresses.clone())
            .incarnation(1)
            .instance((*name).into())
            .keys(keys)
            .build()?;
        addresses.set((*name).into(), endpoint.local_address()?);
        endpoints.push(endpoint);
    }
    Ok(endpoints)
}
