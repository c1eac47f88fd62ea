//! An entry instance as a process of its own, so that its figures are not mixed with the load's.

use {
    crate::{
        bench_error::{BenchError, EntryStartSnafu},
        path::process_probe::ProcessProbe,
    },
    serde_json::Value,
    snafu::ResultExt,
    std::{
        env,
        io::{self, BufRead, BufReader},
        net::SocketAddr,
        process::{Child, Command, Stdio},
    },
    trestlewalk::EntrySettings,
};

/// The subcommand of this program that the child runs.
pub const ENTRY_SUBCOMMAND: &str = "entry";

/// A running child; killed when dropped.
#[derive(Debug)]
pub struct ChildEntry {
    /// Where it takes callers' requests.
    pub callers: SocketAddr,
    child: Child,
    /// Where it takes its peers' messages.
    pub peers: SocketAddr,
}

impl ChildEntry {
    /// The child's figures.
    pub fn probe(&self) -> ProcessProbe {
        ProcessProbe::new(self.child.id())
    }

    /// Starts an entry instance with these settings and reads its addresses.
    ///
    /// # Errors
    ///
    /// The process can't be started, or ends before it listens.
    pub fn start(settings: &EntrySettings) -> Result<Self, BenchError> {
        let text = serde_json::to_string(settings)
            .map_err(io::Error::other)
            .context(EntryStartSnafu)?;
        let program = env::current_exe().context(EntryStartSnafu)?;
        let mut child = Command::new(program)
            .args([ENTRY_SUBCOMMAND, &text])
            .stdout(Stdio::piped())
            .spawn()
            .context(EntryStartSnafu)?;
        let mut line = String::new();
        if let Some(stdout) = child.stdout.take() {
            BufReader::new(stdout)
                .read_line(&mut line)
                .context(EntryStartSnafu)?;
        }
        let ready: Value = serde_json::from_str(&line)
            .map_err(io::Error::other)
            .context(EntryStartSnafu)?;
        let callers = read_address(&ready, "callers").context(EntryStartSnafu)?;
        let peers = read_address(&ready, "peers").context(EntryStartSnafu)?;
        Ok(Self {
            callers,
            child,
            peers,
        })
    }
}

impl Drop for ChildEntry {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn read_address(ready: &Value, field: &str) -> io::Result<SocketAddr> {
    let text = ready[field].as_str().unwrap_or_default();
    text.parse().map_err(io::Error::other)
}
