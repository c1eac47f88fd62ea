//! Tells keepers at which software versions streams of this instance began, and asks them for those of others.

use {
    crate::{MemberRow, NoteReply, NoteRequest, NoteStore, note_message::NOTE_TAG},
    kernel::{InstanceId, SoftwareVersion},
    peer::PeerEndpoint,
    policy::{FleetMembers, KeeperTable, SoftwareAnswers, SoftwareNote, StreamKey, log_shard},
    relay::{FleetView, NoteJob},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::{sync::mpsc, task::JoinSet, time},
};

/// How long notes for one keeper are collected. Callers take longer to come back.
const COLLECT_PERIOD: Duration = Duration::from_millis(20);
/// How long notes for the store are collected.
const STORE_PERIOD: Duration = Duration::from_millis(30);
/// How many instances are tried to write notes to the store, or to read one.
const MAX_TRIES: usize = 2;
/// After which time without an answer a further instance is asked to read a note from the store as well.
const HEDGE_DELAY: Duration = Duration::from_millis(250);
/// How long reading a note from the store may take, at all instances together.
const STORED_TIMEOUT: Duration = Duration::from_millis(900);
/// How long a keeper may take to take notes.
const TELL_TIMEOUT: Duration = Duration::from_millis(500);

/// The exchange of one instance.
#[derive(Clone, Debug)]
pub struct NoteExchange {
    endpoint: PeerEndpoint,
    fleet: FleetView,
    /// The keepers, and the instances that they were chosen from.
    keepers: Option<(Arc<FleetMembers>, Arc<KeeperTable>)>,
    own: MemberRow,
    stored: NoteStore,
}

impl NoteExchange {
    /// An exchange of the instance `own` with the other instances of a fleet.
    pub fn new(
        endpoint: PeerEndpoint,
        fleet: FleetView,
        own: MemberRow,
        stored: NoteStore,
    ) -> Self {
        Self {
            endpoint,
            fleet,
            keepers: None,
            own,
            stored,
        }
    }

    /// Carries out jobs until the request path ends.
    pub async fn run(mut self, jobs: mpsc::Receiver<NoteJob>) {
        let mut jobs = jobs;
        let mut collected = BTreeMap::new();
        let mut flush_at = time::Instant::now();
        let mut unstored = Vec::new();
        let mut store_at = time::Instant::now();
        loop {
            let job = tokio::select! {
                job = jobs.recv() => job,
                () = time::sleep_until(flush_at), if !collected.is_empty() => {
                    self.flush(&mut collected);
                    continue;
                }
                () = time::sleep_until(store_at), if !unstored.is_empty() => {
                    self.store(std::mem::take(&mut unstored));
                    continue;
                }
            };
            match job {
                None => return,
                Some(NoteJob::Ask {
                    reply,
                    service,
                    stream,
                    timeout,
                }) => {
                    let keepers = self.keepers().asked(stream);
                    let request = NoteRequest::Ask { service, stream };
                    let exchange = self.clone();
                    tokio::spawn(async move {
                        let reports = exchange.ask(keepers, request, timeout).await;
                        // Fails only when the caller has left.
                        let _ = reply.send(reports);
                    });
                }
                Some(NoteJob::AskVersions { reply, service }) => {
                    let stored = self.stored.clone();
                    tokio::spawn(async move {
                        // Fails only when the caller has left.
                        let _ = reply.send(stored.versions(service).await);
                    });
                }
                Some(NoteJob::AskStored { reply, stream }) => {
                    let readers = self.keepers().readers(log_shard(stream));
                    let exchange = self.clone();
                    tokio::spawn(async move {
                        let software = exchange.ask_stored(readers, stream).await;
                        // Fails only when the caller has left.
                        let _ = reply.send(software);
                    });
                }
                Some(NoteJob::Tell(note)) => {
                    if collected.is_empty() {
                        flush_at = time::Instant::now() + COLLECT_PERIOD;
                    }
                    if unstored.is_empty() {
                        store_at = time::Instant::now() + STORE_PERIOD;
                    }
                    unstored.push(note.clone());
                    self.collect(note, &mut collected);
                }
            }
        }
    }

    fn collect(
        &mut self,
        note: SoftwareNote,
        collected: &mut BTreeMap<InstanceId, Vec<SoftwareNote>>,
    ) {
        for keeper in self.keepers().told(note.stream) {
            collected.entry(keeper).or_default().push(note.clone());
        }
    }

    /// The keepers by the present view of the fleet.
    fn keepers(&mut self) -> Arc<KeeperTable> {
        let fleet = self.fleet.members();
        if let Some((of, keepers)) = &self.keepers
            && Arc::ptr_eq(of, &fleet)
        {
            return keepers.clone();
        }
        let (instance, zone) = (self.own.instance.clone(), self.own.zone.clone());
        let keepers = Arc::new(KeeperTable::new(instance, zone, &fleet));
        self.keepers = Some((fleet, keepers.clone()));
        keepers
    }

    fn flush(&self, collected: &mut BTreeMap<InstanceId, Vec<SoftwareNote>>) {
        for (keeper, notes) in std::mem::take(collected) {
            let exchange = self.clone();
            tokio::spawn(async move {
                let request = NoteRequest::Tell(notes);
                let telling = exchange.call(&keeper, &request);
                if time::timeout(TELL_TIMEOUT, telling).await.is_err() {
                    tracing::debug!(%keeper, "a keeper did not take notes in time");
                    exchange.endpoint.forget(&keeper);
                }
            });
        }
    }

    /// Has notes written to the store.
    fn store(&mut self, notes: Vec<SoftwareNote>) {
        let writers = self.keepers().writers();
        let exchange = self.clone();
        tokio::spawn(async move {
            for writer in writers.iter().take(MAX_TRIES) {
                if *writer == exchange.own.instance {
                    if exchange.stored.write(notes.clone()) {
                        return;
                    }
                    continue;
                }
                let request = NoteRequest::Store(notes.clone());
                let calling = time::timeout(TELL_TIMEOUT, exchange.call(writer, &request));
                if matches!(calling.await, Ok(Some(_))) {
                    return;
                }
            }
            tracing::debug!(count = notes.len(), "notes of streams are not stored");
        });
    }

    /// The version at which a stream began by the store's log; `None` while it is not known. A reader that is silent does not
    /// use up the time: the next one is asked beside it.
    async fn ask_stored(
        &self,
        readers: Vec<InstanceId>,
        stream: StreamKey,
    ) -> Option<SoftwareVersion> {
        let end = time::Instant::now() + STORED_TIMEOUT;
        let mut readers = readers.into_iter().take(MAX_TRIES);
        let mut asking = JoinSet::new();
        let mut is_answered = false;
        loop {
            let next = match is_answered {
                true => None,
                false => readers.next(),
            };
            let mut until = end;
            if let Some(reader) = next {
                let exchange = self.clone();
                asking.spawn(async move { exchange.read_at(&reader, stream).await });
                until = end.min(time::Instant::now() + HEDGE_DELAY);
            }
            match time::timeout_at(until, asking.join_next()).await {
                Ok(Some(Ok(Some(Some(software))))) => return Some(software),
                Ok(Some(Ok(Some(None)))) => is_answered = true,
                Ok(Some(_)) => {}
                Ok(None) => return None,
                Err(_) if until < end => {}
                Err(_) => {
                    tracing::debug!("no instance read a note from the store in time");
                    return None;
                }
            }
        }
    }

    /// What one instance finds of a stream in the store's log; `None` without an answer.
    async fn read_at(
        &self,
        reader: &InstanceId,
        stream: StreamKey,
    ) -> Option<Option<SoftwareVersion>> {
        if *reader == self.own.instance {
            return Some(self.stored.find(stream).await);
        }
        match self.call(reader, &NoteRequest::AskStored(stream)).await {
            Some(NoteReply::Stored(software)) => Some(software),
            _ => None,
        }
    }

    /// Asks keepers of a stream. Waits until one has a note of it or all have answered, at most for `timeout`.
    async fn ask(
        &self,
        keepers: Vec<InstanceId>,
        request: NoteRequest,
        timeout: Duration,
    ) -> SoftwareAnswers {
        let end = time::Instant::now() + timeout;
        let mut answers = SoftwareAnswers {
            asked: keepers.len(),
            reports: Vec::new(),
        };
        let mut asking = JoinSet::new();
        for keeper in keepers {
            let exchange = self.clone();
            let request = request.clone();
            asking.spawn(async move { exchange.call(&keeper, &request).await });
        }
        while !answers.has_note() {
            match time::timeout_at(end, asking.join_next()).await {
                Ok(Some(Ok(Some(NoteReply::Report(report))))) => answers.reports.push(report),
                Ok(Some(_)) => {}
                Ok(None) => break,
                Err(_) => {
                    tracing::debug!("some keepers did not report on a stream in time");
                    break;
                }
            }
        }
        answers
    }

    /// Calls a keeper; `None` without an answer.
    async fn call(&self, keeper: &InstanceId, request: &NoteRequest) -> Option<NoteReply> {
        // Strings and numbers always serialise.
        let body = postcard::to_stdvec(request).ok()?;
        let answer = match self.endpoint.call(keeper, NOTE_TAG, &body).await {
            Ok(answer) => answer,
            Err(error) => {
                tracing::debug!(%keeper, %error, "a keeper of notes did not answer");
                if !error.is_busy() {
                    self.endpoint.forget(keeper);
                }
                return None;
            }
        };
        let reply = postcard::from_bytes(&answer);
        reply
            .inspect_err(|error| tracing::warn!(%keeper, %error, "failed to decode a note"))
            .ok()
    }
}
