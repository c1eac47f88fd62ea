//! The log lines about one request, and about the state of the instances that served it.

use {crate::explain::LogLine, kernel::ResultCode, std::collections::BTreeMap};

/// The message of the line that ends a request.
const ENDED: &str = "request ended";
/// The message of the line for a request that has no row in the table or did not arrive completely.
const REFUSED: &str = "request refused";

/// Collects the lines of one request. Of all other lines it keeps only the last change of state of each kind per log.
#[derive(Debug)]
pub struct RequestTrace {
    /// Lines read that are no log lines.
    unreadable_lines: u64,
    id: String,
    lines_read: u64,
    /// By log and message: the last change of state so far.
    state: BTreeMap<String, BTreeMap<String, LogLine>>,
    entries: Vec<TraceEntry>,
}

/// The line of the request in one log, with the state of the instance before it.
#[derive(Debug)]
struct TraceEntry {
    /// The last change of state of each kind, by time.
    before: Vec<LogLine>,
    line: LogLine,
    source: String,
}

impl RequestTrace {
    /// The text of the trace, one item per line. The last line tells why the request ended as it did.
    pub fn into_lines(mut self) -> Vec<String> {
        self.entries
            .sort_by(|one, other| one.line.timestamp.cmp(&other.line.timestamp));
        let mut lines = Vec::new();
        for entry in &self.entries {
            entry.push_lines(&mut lines);
        }
        lines.push(format!(
            "{} lines read, {} of them no log lines",
            self.lines_read, self.unreadable_lines
        ));
        lines.push(match self.entries.last() {
            Some(entry) => entry.reason(),
            None => format!(
                "no line about {}: it was served in time and is not in the sample, it never came, or its instance died before it ended",
                self.id
            ),
        });
        lines
    }

    /// Creates an empty trace of the request with this id.
    pub fn new(id: &str) -> Self {
        Self {
            unreadable_lines: 0,
            id: id.to_owned(),
            lines_read: 0,
            state: BTreeMap::new(),
            entries: Vec::new(),
        }
    }

    /// Adds a line of the log `source`.
    pub fn add(&mut self, source: &str, line: LogLine) {
        self.lines_read += 1;
        if line.message != ENDED && line.message != REFUSED {
            let state = self.state.entry(source.to_owned()).or_default();
            state.insert(line.message.clone(), line);
            return;
        }
        if line.field("request") != self.id {
            return;
        }
        let state = self.state.get(source);
        let mut before: Vec<LogLine> = state
            .into_iter()
            .flat_map(|changes| changes.values().cloned())
            .collect();
        before.sort_by(|one, other| one.timestamp.cmp(&other.timestamp));
        self.entries.push(TraceEntry {
            before,
            line,
            source: source.to_owned(),
        });
    }

    /// Counts a line that is not a log line.
    pub fn add_unreadable(&mut self) {
        self.lines_read += 1;
        self.unreadable_lines += 1;
    }
}

impl TraceEntry {
    /// One line on why the request ended as it did.
    fn reason(&self) -> String {
        let code = self.line.code().unwrap_or(0);
        let known = ResultCode::ALL
            .iter()
            .find(|known| u64::from(known.number()) == code);
        let text = known.map_or("an unknown code", |known| known.text());
        let late = self.lateness_text();
        let steps = self.line.field("steps");
        let last = steps
            .split(';')
            .map(str::trim)
            .rfind(|step| !step.is_empty() && *step != "...");
        match last {
            Some(last) => {
                format!(
                    "ended with {code}, {text}{late}; the last step, in ms from its start: {last}"
                )
            }
            None => format!("ended with {code}, {text}{late}; no upstream was called"),
        }
    }

    /// The missed latency targets, as the end of a sentence; empty when the request met them.
    fn lateness_text(&self) -> &'static str {
        let is_over = |value: &str, target: &str| {
            let number = |name: &str| self.line.field(name).parse::<u64>().ok();
            number(value)
                .zip(number(target))
                .is_some_and(|(value, target)| value > target)
        };
        match (
            is_over("first_byte_ms", "target_ms"),
            is_over("longest_pause_ms", "pause_target_ms"),
        ) {
            (false, false) => "",
            (false, true) => ", late by a pause between events",
            (true, false) => ", late by its first byte",
            (true, true) => ", late by its first byte and by a pause between events",
        }
    }

    fn push_lines(&self, lines: &mut Vec<String>) {
        lines.push(format!(
            "{}: {} {}",
            self.source, self.line.timestamp, self.line.message
        ));
        for name in [
            "customer",
            "reason",
            "work",
            "service",
            "table_version",
            "calls",
            "list_age_ms",
            "target_ms",
            "first_byte_ms",
            "pause_target_ms",
            "longest_pause_ms",
            "pause_from_ms",
            "total_ms",
        ] {
            let value = self.line.field(name);
            if !value.is_empty() {
                lines.push(format!("  {name}: {value}"));
            }
        }
        for change in &self.before {
            let fields: Vec<String> = change
                .fields
                .iter()
                .filter(|(name, _)| !["level", "target"].contains(&name.as_str()))
                .map(|(name, value)| format!("{name}={value}"))
                .collect();
            lines.push(format!(
                "  before: {} {} {}",
                change.timestamp,
                change.message,
                fields.join(" ")
            ));
        }
        let steps = self.line.field("steps");
        for step in steps.split(';').map(str::trim) {
            if !step.is_empty() {
                lines.push(format!("  {step}"));
            }
        }
    }
}
