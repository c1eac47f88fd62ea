//! One run of the binary.

use {
    super::BINARY,
    std::{fs, process::Command},
    tempfile::TempDir,
};

/// Output and exit code of a run.
#[derive(Debug)]
pub struct CliOutput {
    /// The working folder, deleted on drop; `None` for a run in the folder of a fleet.
    pub folder: Option<TempDir>,
    /// The exit code.
    pub status: i32,
    /// Standard error.
    pub stderr: String,
    /// Standard output.
    pub stdout: String,
}

impl CliOutput {
    /// The text of a file in the folder of the run.
    pub fn read_file(&self, name: &str) -> String {
        let folder = self.folder.as_ref().expect("the run has a folder");
        fs::read_to_string(folder.path().join(name)).unwrap()
    }
}

/// A run of the binary in its own folder, and the expected output.
#[derive(Debug)]
#[must_use]
pub struct Test {
    args: Vec<String>,
    folder: TempDir,
    status: i32,
    stderr: Option<String>,
    stderr_parts: Vec<String>,
    stdout: Option<String>,
    stdout_parts: Vec<String>,
}

impl Test {
    /// Adds arguments.
    pub fn args<const N: usize>(mut self, args: [&str; N]) -> Self {
        self.args.extend(args.map(str::to_owned));
        self
    }

    /// Writes a file into the folder.
    pub fn file(self, name: &str, content: impl AsRef<[u8]>) -> Self {
        let path = self.folder.path().join(name);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(path, content).unwrap();
        self
    }

    /// A run without arguments that is expected to succeed.
    pub fn new() -> Self {
        Self {
            args: Vec::new(),
            folder: TempDir::new().unwrap(),
            status: 0,
            stderr: None,
            stderr_parts: Vec::new(),
            stdout: None,
            stdout_parts: Vec::new(),
        }
    }

    /// Runs the binary, checks the expectations and returns the output.
    pub fn run(self) -> CliOutput {
        let output = Command::new(BINARY)
            .args(&self.args)
            .current_dir(self.folder.path())
            .output()
            .unwrap();
        let mut output = CliOutput {
            folder: None,
            status: output.status.code().unwrap_or(-1),
            stderr: String::from_utf8(output.stderr).unwrap(),
            stdout: String::from_utf8(output.stdout).unwrap(),
        };
        self.compare(&output);
        output.folder = Some(self.folder);
        output
    }

    /// Expects an exit code.
    pub fn status(mut self, status: i32) -> Self {
        self.status = status;
        self
    }

    /// Expects the whole of standard error.
    pub fn stderr(mut self, text: &str) -> Self {
        self.stderr = Some(text.to_owned());
        self
    }

    /// Expects a part of standard error.
    pub fn stderr_has(mut self, part: &str) -> Self {
        self.stderr_parts.push(part.to_owned());
        self
    }

    /// Expects the whole of standard output.
    pub fn stdout(mut self, text: &str) -> Self {
        self.stdout = Some(text.to_owned());
        self
    }

    /// Expects a part of standard output.
    pub fn stdout_has(mut self, part: &str) -> Self {
        self.stdout_parts.push(part.to_owned());
        self
    }

    fn compare(&self, output: &CliOutput) {
        if let Some(stderr) = &self.stderr {
            assert_eq!(&output.stderr, stderr, "standard error");
        }
        if let Some(stdout) = &self.stdout {
            assert_eq!(&output.stdout, stdout, "standard output");
        }
        for part in &self.stderr_parts {
            let found = output.stderr.contains(part);
            assert!(found, "standard error lacks `{part}`:\n{}", output.stderr);
        }
        for part in &self.stdout_parts {
            let found = output.stdout.contains(part);
            assert!(found, "standard output lacks `{part}`:\n{}", output.stdout);
        }
        assert_eq!(output.status, self.status, "exit code; {output:?}");
    }
}
