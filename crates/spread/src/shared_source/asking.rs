//! How an instance asks another one for its next reading, and takes it in.

use {
    super::{AskEnd, SharedSource, silent},
    crate::{
        AskerState, BookAge, HeldReply, PassedBook, ReadFailure, ReadingMark, ReportNews,
        ReportOrigin, SPREAD_TAG, SpreadNews, SpreadReply, SpreadRequest,
    },
    kernel::{InstanceId, steady_clock},
    plat::RowStore,
    relay::{OperatorSource, UpstreamSnapshot},
    std::time::{Duration, Instant},
    tokio::time,
};

impl<S: OperatorSource + RowStore> SharedSource<S> {
    /// Asks an instance for its next reading, as often as there are further parts of its list; each has the time limit.
    pub(super) async fn ask(&self, from: InstanceId, at_once: bool, limit: Duration) -> AskEnd {
        let mut at_once = at_once;
        loop {
            let end = self.ask_once(from.clone(), at_once, limit).await;
            if !matches!(end, AskEnd::Part) {
                return end;
            }
            at_once = true;
        }
    }

    async fn ask_once(&self, from: InstanceId, at_once: bool, limit: Duration) -> AskEnd {
        let request = self.request(&from, at_once);
        let asked = steady_clock::now();
        let asking = self.endpoint.call(&from, SPREAD_TAG, &request);
        let answer = match time::timeout(limit, asking).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err("no answer in time".to_owned()),
        };
        let reply = answer.and_then(|answer| {
            postcard::from_bytes::<HeldReply>(&answer).map_err(|error| error.to_string())
        });
        let now = steady_clock::now();
        let HeldReply { held, reply } = match reply {
            Ok(reply) => reply,
            Err(detail) => {
                self.note_no_answer(&from, &detail, now);
                self.endpoint.forget(&from);
                self.members.plan.lock().failed(&from, now);
                return AskEnd::NoAnswer(silent(detail));
            }
        };
        self.counts.note_peer_read("answered");
        let way = now.saturating_duration_since(asked + held);
        match reply {
            SpreadReply::News(news) => match self.take_news(from, *news, way) {
                Some(reading) => AskEnd::News(reading),
                None => AskEnd::Part,
            },
            SpreadReply::Unreadable { age, book, reports } => {
                self.take_book(*book, way, now);
                self.take_reports(&from, reports, now);
                let mut plan = self.members.plan.lock();
                let goes_on = plan.unreadable(&from, age, now);
                drop(plan);
                let error = silent(format!("{from} has no news"));
                if goes_on {
                    return AskEnd::NoAnswer(error);
                }
                self.note_failure(ReadFailure::NoNews);
                AskEnd::NoNews(error)
            }
        }
    }

    /// Counts and logs that an instance gave no answer, with how long it was waited for.
    fn note_no_answer(&self, from: &InstanceId, detail: &str, now: Instant) {
        self.counts.note_peer_read("failed");
        let plan = self.members.plan.lock();
        tracing::info!(
            reader = %from,
            detail,
            questions = plan.questions(from),
            waited_ms = plan.waited(from, now).as_millis() as u64,
            "no reading from another instance"
        );
    }

    pub(super) fn request(&self, to: &InstanceId, at_once: bool) -> Vec<u8> {
        let plan = self.members.plan.lock();
        let AskerState { passed_over, reads } = plan.state(steady_clock::now());
        let is_refused = plan.is_refused();
        let waited = plan.waited(to, steady_clock::now());
        let news_age = plan.news_age(steady_clock::now());
        drop(plan);
        let mirror = self.mirror.lock();
        let (list, list_digests) = mirror.known_at(to);
        drop(mirror);
        let reports_known = self.reports_known(to);
        let state = self.members.state.borrow();
        let request = SpreadRequest {
            at_once,
            book: state.book.as_ref().map(|(book, _)| book.version),
            card: self.members.own.clone(),
            is_refused,
            list,
            list_digests,
            members: state.members_digest(),
            news_age,
            passed_over,
            reads,
            reports: state.reports.to_tell(steady_clock::now()),
            reports_known,
            waited,
        };
        // Texts, numbers and addresses always have a binary form.
        postcard::to_stdvec(&request).unwrap_or_default()
    }

    /// Takes a reading of another instance in; none while parts of its list are still to come. Routes and members count at once.
    pub(super) fn take_news(
        &self,
        from: InstanceId,
        news: SpreadNews,
        way: Duration,
    ) -> Option<UpstreamSnapshot> {
        let now = steady_clock::now();
        let read = news.read_at(way, now);
        if let Some(members) = news.members {
            self.members.replace(members);
        }
        self.take_reports(&from, news.reports, now);
        let mut mirror = self.mirror.lock();
        if !mirror.apply(from.clone(), news.list, news.mark) {
            drop(mirror);
            self.members.plan.lock().answered_in_part(&from);
            self.take_book(news.book, way, now);
            return None;
        }
        let records = mirror.records();
        let digest = mirror.digest().clone();
        drop(mirror);
        let mut plan = self.members.plan.lock();
        plan.answered(&from, read);
        if let Some(age) = news.refused {
            plan.reader_refused(&from, age, now);
        }
        drop(plan);
        let reading = UpstreamSnapshot {
            as_of: Some(read),
            faults: Vec::new(),
            passed_on: true,
            records,
            version: news.version,
            waited: true,
        };
        self.members
            .state
            .send_modify(|state| state.take_passed(&reading, read, &digest));
        self.take_book(news.book, way, now);
        Some(reading)
    }

    /// Takes routes of another instance in; what it tells of their age is older by its way.
    fn take_book(&self, book: PassedBook, way: Duration, now: Instant) {
        let PassedBook { age, copy } = book;
        if age.is_none() && copy.is_none() {
            return;
        }
        self.members.state.send_modify(|state| {
            if let Some((book, version)) = copy {
                state.take_book(book.into_book(), version, None);
            }
            let Some(BookAge { age, version }) = age else {
                return;
            };
            if let Some(as_of) = now.checked_sub(age + way) {
                state.note_newest(version, as_of);
                self.freshness.note(version, as_of);
            }
        });
    }

    pub(super) fn reports_known(&self, of: &InstanceId) -> Option<ReadingMark> {
        let known = self.report_mark.lock();
        let (from, mark) = known.as_ref()?;
        (from == of).then_some(*mark)
    }

    /// Takes reports of the instance that was asked in.
    pub(super) fn take_reports(&self, from: &InstanceId, news: ReportNews, now: Instant) {
        *self.report_mark.lock() = Some((from.clone(), news.mark));
        self.members
            .learn(&news.reports, ReportOrigin::Instance, now);
    }
}
