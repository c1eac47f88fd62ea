//! One process of the binary.

use {
    super::{
        BINARY,
        http_call::HttpCall,
        wait::{WAIT_TIMEOUT, wait_for, wait_until},
    },
    hyper::Method,
    rustix::process::{Pid, Signal, kill_process},
    serde_json::Value,
    std::{
        fs::{self, File},
        io::Write,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{ExitStatus, Stdio},
    },
    tokio::{
        io::{AsyncBufReadExt, BufReader},
        process::{Child, Command},
    },
};

const LOG_TAIL_LINES: usize = 40;
const STOPPED_STATE: char = 'T';

/// A running process. It is killed when it is dropped; a panicking test prints the end of its log.
#[derive(Debug)]
pub struct FleetProcess {
    child: Child,
    log: PathBuf,
    name: String,
    ready: Value,
}

impl FleetProcess {
    /// An address from the ready line.
    pub fn address(&self, field: &str) -> SocketAddr {
        let text = self.ready[field].as_str();
        text.and_then(|text| text.parse().ok())
            .unwrap_or_else(|| panic!("{}: no `{field}` in {}", self.name, self.ready))
    }

    /// Waits until the process ends by itself.
    pub async fn wait_exit(&mut self) -> ExitStatus {
        let what = format!("the end of {}", self.name);
        wait_for(&what, self.child.wait()).await.unwrap()
    }

    /// A GET call to the address in a field of the ready line.
    pub fn get(&self, field: &str, path: &str) -> HttpCall {
        HttpCall::new(Method::GET, self.address(field), path)
    }

    /// The resident memory in bytes.
    pub fn memory_bytes(&self) -> usize {
        let id = self.child.id().expect("the process runs");
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
        kilobytes.unwrap().parse::<usize>().unwrap() << 10
    }

    /// Ends the process with SIGKILL and waits until it has exited.
    pub async fn kill(&mut self) {
        self.child.kill().await.unwrap();
    }

    /// The log: standard error, and standard output after the ready line.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Stops the process with SIGSTOP and waits until the kernel reports it stopped.
    pub async fn pause(&self) {
        self.signal(Signal::STOP);
        let what = format!("{} is stopped", self.name);
        wait_until(&what, async || self.state() == Some(STOPPED_STATE)).await;
    }

    /// A POST call to the address in a field of the ready line.
    pub fn post(&self, field: &str, path: &str) -> HttpCall {
        HttpCall::new(Method::POST, self.address(field), path)
    }

    /// The line that the process prints once it listens.
    pub fn ready_line(&self) -> &Value {
        &self.ready
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let id = self.child.id().expect("the process runs");
        let pid = Pid::from_raw(i32::try_from(id).unwrap()).unwrap();
        kill_process(pid, signal).unwrap();
    }

    /// Starts the binary with `args` and waits for its ready line. The log goes to a file in `folder`.
    pub async fn start(name: &str, args: &[String], folder: &Path) -> Self {
        let log = folder.join(format!("{name}.log"));
        let mut child = Command::new(BINARY)
            .args(args)
            .current_dir(folder)
            .kill_on_drop(true)
            .stderr(
                File::options()
                    .append(true)
                    .create(true)
                    .open(&log)
                    .unwrap(),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let line = tokio::time::timeout(WAIT_TIMEOUT, lines.next_line()).await;
        let Ok(Ok(Some(line))) = line else {
            let text = fs::read_to_string(&log).unwrap_or_default();
            panic!("{name} printed no ready line; its log:\n{text}");
        };
        let ready = serde_json::from_str(&line).unwrap();
        let mut log_file = File::options().append(true).open(&log).unwrap();
        tokio::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                writeln!(log_file, "{line}").unwrap();
            }
        });
        Self {
            child,
            log,
            name: name.to_owned(),
            ready,
        }
    }
}

impl FleetProcess {
    /// The process state: the first letter after the name in `/proc/PID/stat`.
    fn state(&self) -> Option<char> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()?)).ok()?;
        let (_, after_name) = stat.rsplit_once(')')?;
        after_name.trim_start().chars().next()
    }
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        let log = self.log();
        let lines: Vec<&str> = log.lines().collect();
        let tail = lines.len().saturating_sub(LOG_TAIL_LINES);
        eprintln!("-- log of {}", self.name);
        for line in &lines[tail..] {
            eprintln!("{line}");
        }
    }
}
