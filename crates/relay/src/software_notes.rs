//! At which software versions recent streams began, so that callers who resume them get the same version.

use {
    crate::{CallerRequest, SharedUpstreams, SoftwareSource},
    kernel::{LockRank, RankedLock, ServiceId, SoftwareVersion, steady_clock},
    policy::{
        NoteTable, SoftwareAnswers, SoftwareMemory, SoftwareNote, SoftwareReport, StreamKey,
        UpstreamRecord, stream_key,
    },
    std::{
        collections::BTreeMap,
        pin::pin,
        sync::{Arc, OnceLock},
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot},
        time,
    },
};

/// Jobs that may wait to be taken; further ones are dropped, and their streams are not resumed elsewhere.
const MAX_WAITING: usize = 1_024;
/// How long to wait for a note of the stream, or for all answers.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(250);

/// How long to wait for the versions in the store.
const VERSIONS_TIMEOUT: Duration = Duration::from_millis(400);
/// How long to wait for what the store knows of a stream.
const STORED_TIMEOUT: Duration = Duration::from_secs(1);

/// What other instances have to do with the notes.
#[derive(Debug)]
pub enum NoteJob {
    /// Asks them where a stream began.
    Ask {
        /// Takes the answers, those that came in time.
        reply: oneshot::Sender<SoftwareAnswers>,
        /// The service of the stream.
        service: ServiceId,
        /// The stream.
        stream: StreamKey,
        /// How long to wait for a note of the stream, or for all answers.
        timeout: Duration,
    },
    /// Has the versions of a service read from the store.
    AskVersions {
        /// Takes the versions; `None` if the store does not tell them.
        reply: oneshot::Sender<Option<Vec<SoftwareVersion>>>,
        /// The service.
        service: ServiceId,
    },
    /// Has the stream looked up in the store.
    AskStored {
        /// Takes the version at which it began, if that is found.
        reply: oneshot::Sender<Option<SoftwareVersion>>,
        /// The stream.
        stream: StreamKey,
    },
    /// Tells them where a stream began.
    Tell(SoftwareNote),
}

/// The notes of this instance. Clones share them.
#[derive(Clone, Debug)]
pub struct SoftwareNotes {
    jobs: Arc<OnceLock<mpsc::Sender<NoteJob>>>,
    table: Arc<RankedLock<NoteTable>>,
    upstreams: Arc<SharedUpstreams>,
}

impl SoftwareNotes {
    /// Adds notes of another instance.
    pub fn add_told(&self, notes: Vec<SoftwareNote>) {
        let now = steady_clock::now();
        let mut table = self.table.lock();
        for note in notes {
            table.add_told(note, now);
        }
    }

    /// The number of streams that are kept.
    pub fn count(&self) -> usize {
        self.table.lock().count()
    }

    /// What the store is to keep of the versions, also after a list that was just read from it. `known` is what it keeps,
    /// `clock` its clock, and `era` its era.
    pub fn draft_memory(
        &self,
        records: Option<&[UpstreamRecord]>,
        known: Option<&SoftwareMemory>,
        era: u64,
        clock: Option<Duration>,
    ) -> SoftwareMemory {
        let now = steady_clock::now();
        let upstreams = self.upstreams.lock();
        SoftwareMemory::draft(&upstreams.software, records, known, era, clock, now)
    }

    /// Adds the versions that the store keeps, as just read.
    pub fn remember(&self, memory: Option<&SoftwareMemory>, era: u64, clock: Option<Duration>) {
        let now = steady_clock::now();
        let mut upstreams = self.upstreams.lock();
        upstreams.software.remember(memory, era, clock, now);
    }

    /// The version at which the stream began that a request resumes, and how it was found; `None` while it is not known.
    pub async fn find(
        &self,
        request: &CallerRequest,
        service: &ServiceId,
    ) -> (Option<SoftwareVersion>, SoftwareSource) {
        let head = &request.head;
        // Nobody has a note of an attempt that is just beginning, but others tell which versions they list.
        let stream = stream_key(head.resumes.as_ref().unwrap_or(&head.id));
        let own = self.report(service, stream);
        if own.began.is_some() {
            return (own.began, SoftwareSource::Own);
        }
        let (others, stored) = self.search(service, stream, &own).await;
        let source = match others.as_ref().is_some_and(SoftwareAnswers::has_note) {
            true => SoftwareSource::Keeper,
            false => SoftwareSource::OneVersion,
        };
        if let Some(began) = own.resolve(others.as_ref(), stored.as_deref()) {
            return (Some(began), source);
        }
        let stored = match head.resumes.is_some() {
            true => self.ask_stored(stream).await,
            false => None,
        };
        match stored {
            Some(began) => (Some(began), SoftwareSource::Store),
            None => (None, SoftwareSource::Nothing),
        }
    }

    /// Notes without any stream.
    pub fn new(upstreams: Arc<SharedUpstreams>) -> Self {
        Self {
            jobs: Arc::default(),
            table: Arc::new(RankedLock::new(LockRank::Notes, NoteTable::default())),
            upstreams,
        }
    }

    /// Records the version at which the stream of a request began, or goes on.
    pub fn note(&self, request: &CallerRequest, service: &ServiceId, software: &SoftwareVersion) {
        let head = &request.head;
        let attempt = match (&head.after, &head.resumes) {
            (None, _) => &head.id,
            (Some(_), Some(resumed)) => resumed,
            (Some(_), None) => return,
        };
        let note = SoftwareNote {
            life: request.caller_left(),
            software: software.clone(),
            stream: stream_key(attempt),
        };
        let now = steady_clock::now();
        let is_mixed = self.upstreams.lock().software.is_mixed(service, now);
        match is_mixed && self.tell(note.clone()) {
            true => self.table.lock().add_told(note, now),
            false => self.table.lock().add_own(note, service, now),
        }
    }

    /// Opens the queue of jobs; they are taken from the receiver. `None` if it is open already.
    pub fn open(&self) -> Option<mpsc::Receiver<NoteJob>> {
        let (sender, receiver) = mpsc::channel(MAX_WAITING);
        self.jobs.set(sender).ok()?;
        Some(receiver)
    }

    /// What this instance knows of a stream, and of the versions of its service.
    pub fn report(&self, service: &ServiceId, stream: StreamKey) -> SoftwareReport {
        let now = steady_clock::now();
        let began = self.table.lock().software(stream, now).cloned();
        let upstreams = self.upstreams.lock();
        let versions = upstreams.software.versions(service, now);
        SoftwareReport {
            began,
            is_complete: match self.jobs.get() {
                Some(_) => upstreams.software.is_complete(now),
                // Nobody else tells whether this instance stood still.
                None => upstreams.software.is_current(now),
            },
            versions: versions.cloned().collect(),
        }
    }

    /// Tells other instances of the streams that began while their service had one version, where it has several now.
    pub fn tell_untold(&self) {
        let now = steady_clock::now();
        let mixed = self.upstreams.lock().software.mixed_services(now);
        if mixed.is_empty() || self.jobs.get().is_none() {
            return;
        }
        let untold = self.table.lock().take_untold(&mixed, now);
        for note in untold {
            self.tell(note);
        }
    }

    /// Takes upstreams of versions that are not known here out of a list, as far as others serve; how many there were.
    pub fn withhold_new(&self, records: &mut Vec<UpstreamRecord>) -> usize {
        let now = steady_clock::now();
        let upstreams = self.upstreams.lock();
        upstreams.software.withhold_new(records, now).len()
    }

    /// The versions of each service, for the state dump.
    pub fn versions(&self) -> BTreeMap<ServiceId, Vec<SoftwareVersion>> {
        let now = steady_clock::now();
        let upstreams = self.upstreams.lock();
        let history = &upstreams.software;
        let services = history.services();
        let rows = services.map(|service| {
            let versions = history.versions(service, now);
            (service.clone(), versions.cloned().collect())
        });
        rows.collect()
    }

    /// Asks other instances where a stream began, and the store for the versions of its service unless a note or several
    /// versions make them needless.
    async fn search(
        &self,
        service: &ServiceId,
        stream: StreamKey,
        own: &SoftwareReport,
    ) -> (Option<SoftwareAnswers>, Option<Vec<SoftwareVersion>>) {
        let mut asking = pin!(self.ask(service, stream));
        if own.versions.len() > 1 {
            return (asking.await, None);
        }
        let mut reading = pin!(self.ask_versions(service));
        tokio::select! {
            others = asking.as_mut() => {
                let has_note = others.as_ref().is_some_and(SoftwareAnswers::has_note);
                let stored = match has_note || others.is_none() {
                    true => None,
                    false => reading.await,
                };
                (others, stored)
            }
            stored = reading.as_mut() => {
                // A note could say nothing else than a single version.
                let is_single = stored.as_ref().is_some_and(|stored| stored.len() == 1);
                let others = match is_single {
                    true => Some(SoftwareAnswers::default()),
                    false => asking.await,
                };
                (others, stored)
            }
        }
    }

    /// Asks other instances where a stream began; `None` when there are no other instances.
    async fn ask(&self, service: &ServiceId, stream: StreamKey) -> Option<SoftwareAnswers> {
        let jobs = self.jobs.get()?;
        let (reply, reports) = oneshot::channel();
        let job = NoteJob::Ask {
            reply,
            service: service.clone(),
            stream,
            timeout: SEARCH_TIMEOUT,
        };
        match jobs.try_send(job) {
            // The job is dropped without an answer only when the process ends.
            Ok(()) => Some(reports.await.unwrap_or_default()),
            Err(error) => {
                tracing::warn!(%error, "too many questions for the software version of a stream");
                Some(SoftwareAnswers::default())
            }
        }
    }

    /// The versions of a service by the store; `None` if it does not tell them.
    async fn ask_versions(&self, service: &ServiceId) -> Option<Vec<SoftwareVersion>> {
        let (reply, versions) = oneshot::channel();
        let service = service.clone();
        let job = NoteJob::AskVersions { reply, service };
        self.jobs.get()?.try_send(job).ok()?;
        time::timeout(VERSIONS_TIMEOUT, versions).await.ok()?.ok()?
    }

    /// Looks a stream up in the store.
    async fn ask_stored(&self, stream: StreamKey) -> Option<SoftwareVersion> {
        let (reply, software) = oneshot::channel();
        let job = NoteJob::AskStored { reply, stream };
        self.jobs.get()?.try_send(job).ok()?;
        time::timeout(STORED_TIMEOUT, software).await.ok()?.ok()?
    }

    /// Has other instances told of a stream; whether that was possible.
    fn tell(&self, note: SoftwareNote) -> bool {
        let jobs = self.jobs.get();
        jobs.is_some_and(|jobs| jobs.try_send(NoteJob::Tell(note)).is_ok())
    }
}
