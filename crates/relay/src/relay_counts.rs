//! The metrics of the request path. `docs/METRICS.md` describes them.

use {
    crate::{
        AnswerOwner, CustomerCounts, NotRunReason, ResumedSoftware, SearchCounts, SoftwareSource,
        UnreadHeaders, WastedPrefill,
    },
    kernel::ResultCode,
    policy::{BackoffStatement, CallVerdict, RateChange},
    prometheus::{
        GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
        Opts, Registry, core::Collector,
    },
    std::time::Duration,
};

/// Upper bounds of the histogram of first bytes, seconds: around the targets of plain and of model services.
const FIRST_BYTE_BOUNDS: [f64; 10] = [0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 0.9, 1.5, 3.0, 6.0];

/// The outcomes of requests for another instance's snapshot of the store; each is exposed from the start.
const PEER_READ_OUTCOMES: [&str; 3] = ["answered", "dropped", "failed"];

/// Upper bounds of the histogram of list ages, seconds: around the poll interval and the time within which a draining
/// upstream gets no new work.
const LIST_AGE_BOUNDS: [f64; 8] = [0.5, 0.9, 1.0, 1.25, 1.5, 1.75, 2.0, 4.0];

/// How a pause that an upstream asks for may be stated; each is exposed from the start.
const BACKOFF_STATEMENTS: [&str; 2] = ["invalid", "valid"];

/// The states in which an upstream may be found after a lost connection; each is exposed from the start.
const LOSS_STATES: [&str; 4] = ["answers", "ended", "leaving", "silent"];

/// The metrics of a process. Clones share them.
#[derive(Clone, Debug)]
pub struct RelayCounts {
    /// Answers of upstreams, by the call to which they belong.
    answers: IntCounterVec,
    /// Pauses that upstreams asked for, by whether the statement can be read.
    backoffs: IntCounterVec,
    /// Calls to upstreams, by upstream and verdict.
    calls: IntCounterVec,
    /// The counters per customer.
    pub customers: CustomerCounts,
    /// Time from a request to the first byte of its answer, by route.
    first_byte: HistogramVec,
    /// Age of the list of upstreams when a newer one replaced it.
    list_age: Histogram,
    /// Upstreams that stated in an answer that they leave.
    departures: IntCounter,
    /// The number of services whose upstreams this instance can't reach.
    pub lost_services: IntGauge,
    /// Lost connections, by the state of the upstream found afterwards.
    losses: IntCounterVec,
    /// Calls that count as not run, by the reason.
    not_run: IntCounterVec,
    /// Requests for another instance's snapshot of the store, by outcome.
    peer_reads: IntCounterVec,
    /// The number of requests in quarantine.
    pub quarantined: IntGauge,
    /// The rate limits that upstreams state.
    rate_limits: GaugeVec,
    /// Requests by route and result code.
    requests: IntCounterVec,
    /// Resumed streams, by what is known of the software version that began them.
    resumed: IntCounterVec,
    /// Streams that callers resume, by what was known of them.
    resumed_by: IntCounterVec,
    /// Notes of streams in the store.
    stored_notes: IntCounterVec,
    /// Retries.
    pub retries: IntCounter,
    /// Retries that the budget did not allow.
    pub retries_refused: IntCounter,
    /// Searches for the KV caches of prompts, by outcome.
    pub searches: SearchCounts,
    /// Reads of the store, by what was read and by outcome.
    store_reads: IntCounterVec,
    /// The version of the routes in force.
    pub table_version: IntGauge,
    /// Header names of upstreams that this system does not know.
    pub unread_headers: UnreadHeaders,
    /// The number of upstreams in the list.
    pub upstreams: IntGauge,
    /// Prompt tokens of wasted prefills, by reason.
    wasted_tokens: IntCounterVec,
}

impl RelayCounts {
    /// Metrics at zero.
    pub fn new() -> Self {
        let list_age = HistogramOpts::new(
            "trestlewalk_relay_list_age_seconds",
            "Age of the list of upstreams when the next one took its place.",
        );
        let list_age =
            Histogram::with_opts(list_age.buckets(LIST_AGE_BOUNDS.to_vec())).expect(VALID_METRIC);
        let answers = counters(
            "trestlewalk_relay_answers_total",
            "Heads of answers of upstreams by the call that they name.",
            &["names"],
        );
        for label in AnswerOwner::LABELS {
            answers.with_label_values(&[label]);
        }
        let backoffs = counters(
            "trestlewalk_relay_backoffs_total",
            "Pauses that upstreams asked this instance for.",
            &["statement"],
        );
        for statement in BACKOFF_STATEMENTS {
            backoffs.with_label_values(&[statement]);
        }
        let losses = counters(
            "trestlewalk_relay_losses_total",
            "Upstreams examined after a lost run, by what was found.",
            &["upstream_state"],
        );
        for state in LOSS_STATES {
            losses.with_label_values(&[state]);
        }
        let not_run = counters(
            "trestlewalk_relay_not_run_total",
            "Calls that might have run a request and count as not run, by the reason.",
            &["reason"],
        );
        for reason in NotRunReason::ALL {
            not_run.with_label_values(&[reason.label()]);
        }
        let peer_reads = counters(
            "trestlewalk_relay_peer_reads_total",
            "Questions for readings of other instances, by how they ended.",
            &["outcome"],
        );
        for outcome in PEER_READ_OUTCOMES {
            peer_reads.with_label_values(&[outcome]);
        }
        let resumed = counters(
            "trestlewalk_relay_resumed_streams_total",
            "Streams to be resumed, by the software version at which they went on.",
            &["software"],
        );
        for software in ResumedSoftware::ALL {
            resumed.with_label_values(&[software.label()]);
        }
        let resumed_by = counters(
            "trestlewalk_relay_resumed_known_total",
            "Streams that callers resume, by what was known of the software version that began them.",
            &["by"],
        );
        for source in SoftwareSource::ALL {
            resumed_by.with_label_values(&[source.label()]);
        }
        let stored_notes = counters(
            "trestlewalk_relay_stored_notes_total",
            "Notes of streams for the store: transactions written, and notes dropped.",
            &["outcome"],
        );
        for outcome in ["dropped", "writes"] {
            stored_notes.with_label_values(&[outcome]);
        }
        let wasted_tokens = counters(
            "trestlewalk_relay_vain_prompt_tokens_total",
            "Prompt tokens given to prefill engines whose KV cache no decode engine ran on, by reason.",
            &["reason"],
        );
        for reason in WastedPrefill::ALL {
            wasted_tokens.with_label_values(&[reason.label()]);
        }
        Self {
            answers,
            backoffs,
            calls: counters(
                "trestlewalk_relay_upstream_calls_total",
                "Calls to upstreams by upstream and verdict.",
                &["upstream", "verdict"],
            ),
            customers: CustomerCounts::new(),
            departures: counter(
                "trestlewalk_relay_departures_total",
                "Upstreams that stated in an answer that they leave.",
            ),
            first_byte: histogram(
                "trestlewalk_relay_first_byte_seconds",
                "Time from a request to the first byte of its answer, by row.",
                &["work"],
            ),
            list_age,
            lost_services: gauge(
                "trestlewalk_relay_lost_services",
                "The services of which this instance can reach no upstream.",
            ),
            losses,
            not_run,
            peer_reads,
            quarantined: gauge(
                "trestlewalk_relay_quarantined_requests",
                "The requests in quarantine.",
            ),
            rate_limits: GaugeVec::new(
                Opts::new(
                    "trestlewalk_relay_upstream_rate_limit",
                    "Calls per second that an upstream states to accept from all instances.",
                ),
                &["upstream"],
            )
            .expect(VALID_METRIC),
            requests: counters(
                "trestlewalk_relay_requests_total",
                "Requests by row and result code.",
                &["work", "code"],
            ),
            resumed,
            resumed_by,
            stored_notes,
            retries: counter(
                "trestlewalk_relay_retries_total",
                "Repeated calls to upstreams.",
            ),
            retries_refused: counter(
                "trestlewalk_relay_retries_refused_total",
                "Repeated calls that the retry budget did not allow.",
            ),
            searches: SearchCounts::new(),
            store_reads: counters(
                "trestlewalk_relay_store_reads_total",
                "Readings of the store by what was read and how it ended.",
                &["what", "outcome"],
            ),
            table_version: gauge(
                "trestlewalk_relay_table_version",
                "The version of the routes in force.",
            ),
            unread_headers: UnreadHeaders::new(gauge(
                "trestlewalk_relay_unread_headers",
                "Header names of upstreams that nothing reads.",
            )),
            upstreams: gauge(
                "trestlewalk_relay_upstreams",
                "The upstreams in the list that was read last.",
            ),
            wasted_tokens,
        }
    }

    /// Counts a request, and the time to its first byte if it was answered.
    pub fn note(&self, work: &str, code: ResultCode, first_byte: Duration) {
        let label = code.number().to_string();
        self.requests.with_label_values(&[work, &label]).inc();
        if code == ResultCode::Answered {
            let seconds = first_byte.as_secs_f64();
            self.first_byte.with_label_values(&[work]).observe(seconds);
        }
    }

    /// Counts the head of an answer.
    pub fn note_owner(&self, owner: &AnswerOwner) {
        self.answers.with_label_values(&[owner.label()]).inc();
    }

    /// Counts a pause that an upstream asks for, and logs it.
    pub fn note_backoff(&self, upstream: &str, statement: BackoffStatement) {
        let label = match statement {
            BackoffStatement::None => return,
            BackoffStatement::Invalid => {
                tracing::debug!(upstream, "an upstream asks for a pause that can't be read");
                "invalid"
            }
            BackoffStatement::Requested(pause) => {
                let pause_ms = pause.as_millis() as u64;
                tracing::info!(upstream, pause_ms, "an upstream asks for a pause");
                "valid"
            }
        };
        self.backoffs.with_label_values(&[label]).inc();
    }

    /// Counts a call to an upstream.
    pub fn note_call(&self, upstream: &str, verdict: CallVerdict) {
        let label = verdict.label();
        self.calls.with_label_values(&[upstream, label]).inc();
    }

    /// Counts and logs an upstream that states that it leaves.
    pub fn note_departure(&self, upstream: &str) {
        self.departures.inc();
        tracing::info!(upstream, "an upstream states that it leaves");
    }

    /// Records the age of the list of upstreams when a newer one replaced it.
    pub fn note_list_age(&self, age: Duration) {
        self.list_age.observe(age.as_secs_f64());
    }

    /// Counts the state of an upstream found after a lost connection.
    pub fn note_loss(&self, state: &str) {
        self.losses.with_label_values(&[state]).inc();
    }

    /// Counts a call that did not run its request.
    pub fn note_not_run(&self, reason: NotRunReason) {
        self.not_run.with_label_values(&[reason.label()]).inc();
    }

    /// Counts a request for another instance's snapshot of the store.
    pub fn note_peer_read(&self, outcome: &str) {
        self.peer_reads.with_label_values(&[outcome]).inc();
    }

    /// Counts a stream that its caller or this instance resumes.
    pub fn note_resumed(&self, software: ResumedSoftware) {
        self.resumed.with_label_values(&[software.label()]).inc();
    }

    /// Counts a stream that its caller resumes.
    pub fn note_resumed_by(&self, source: SoftwareSource) {
        self.resumed_by.with_label_values(&[source.label()]).inc();
    }

    /// Counts writes of notes of streams to the store, or notes that were dropped.
    pub fn note_stored(&self, outcome: &str, count: u64) {
        self.stored_notes
            .with_label_values(&[outcome])
            .inc_by(count);
    }

    /// Counts a wasted prefill.
    pub fn note_wasted(&self, reason: WastedPrefill, tokens: u64) {
        let counter = self.wasted_tokens.with_label_values(&[reason.label()]);
        counter.inc_by(tokens);
    }

    /// Records and logs a change of the rate limit of an upstream.
    pub fn note_rate(&self, upstream: &str, change: RateChange) {
        match change {
            RateChange::Limited(rate) => {
                let gauge = self.rate_limits.with_label_values(&[upstream]);
                gauge.set(rate.per_second());
                let rate = rate.per_second();
                tracing::info!(upstream, rate, "an upstream states a rate limit");
            }
            RateChange::Lifted => {
                self.forget_rate(upstream);
                tracing::info!(upstream, "an upstream no longer states a rate limit");
            }
            RateChange::Unreadable => {
                tracing::warn!(
                    upstream,
                    "an upstream states a rate limit that can't be read"
                );
            }
        }
    }

    fn forget_rate(&self, upstream: &str) {
        // Fails only for an upstream without a limit.
        let _ = self.rate_limits.remove_label_values(&[upstream]);
    }

    /// Drops the counters of a removed upstream, so that they don't accumulate while the process runs.
    pub fn forget_upstream(&self, upstream: &str) {
        self.forget_rate(upstream);
        for verdict in CallVerdict::ALL {
            // Fails only for a label that was never used.
            let _ = self.calls.remove_label_values(&[upstream, verdict.label()]);
        }
    }

    /// Counts a read of the store.
    pub fn note_read(&self, what: &str, outcome: &str) {
        self.store_reads.with_label_values(&[what, outcome]).inc();
    }

    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// The registry already has one of them.
    pub fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        register(registry, &self.answers)?;
        register(registry, &self.backoffs)?;
        register(registry, &self.calls)?;
        self.customers.register(registry)?;
        register(registry, &self.departures)?;
        register(registry, &self.first_byte)?;
        register(registry, &self.list_age)?;
        register(registry, &self.losses)?;
        register(registry, &self.lost_services)?;
        register(registry, &self.not_run)?;
        register(registry, &self.peer_reads)?;
        register(registry, &self.quarantined)?;
        register(registry, &self.rate_limits)?;
        register(registry, &self.requests)?;
        register(registry, &self.resumed)?;
        register(registry, &self.resumed_by)?;
        register(registry, &self.stored_notes)?;
        register(registry, &self.retries)?;
        register(registry, &self.retries_refused)?;
        self.searches.register(registry)?;
        register(registry, &self.store_reads)?;
        register(registry, &self.table_version)?;
        register(registry, &self.unread_headers.count)?;
        register(registry, &self.upstreams)?;
        register(registry, &self.wasted_tokens)
    }
}

impl Default for RelayCounts {
    fn default() -> Self {
        Self::new()
    }
}

/// All names and labels are valid constants.
const VALID_METRIC: &str = "the name and the labels of a metric are valid";

fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(name, help).expect(VALID_METRIC)
}

pub(crate) fn counters(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), labels).expect(VALID_METRIC)
}

fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect(VALID_METRIC)
}

fn histogram(name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(FIRST_BYTE_BOUNDS.to_vec());
    HistogramVec::new(options, labels).expect(VALID_METRIC)
}

fn register(
    registry: &Registry,
    metric: &(impl Collector + Clone + 'static),
) -> prometheus::Result<()> {
    registry.register(Box::new(metric.clone()))
}
