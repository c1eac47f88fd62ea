//! `trestlewalk keys`.

use {
    crate::{
        RunError,
        run_error::{KeysSnafu, WriteFileSnafu},
    },
    clap::Args,
    snafu::ResultExt,
    std::{
        fs,
        path::{Path, PathBuf},
    },
};

const AUTHORITY_FILE: &str = "authority.pem";

/// The arguments of `keys`.
#[derive(Args, Debug)]
pub struct KeysCommand {
    /// The name of an instance; may be given more than once.
    #[arg(long, required = true, value_name = "NAME")]
    pub instance: Vec<String>,
    /// The folder for `authority.pem`, and a `.pem` and a `.key` for each instance; created if missing.
    #[arg(long, value_name = "DIR")]
    pub out: PathBuf,
}

impl KeysCommand {
    /// Creates an authority, and keys with certificates that it signs. The authority's own key is discarded.
    ///
    /// # Errors
    ///
    /// A name is not valid in a certificate, or a file can't be written.
    pub fn run(self) -> Result<(), RunError> {
        let names: Vec<&str> = self.instance.iter().map(String::as_str).collect();
        let (authority, keys) = peer::make_test_keys(&names).context(KeysSnafu)?;
        fs::create_dir_all(&self.out).context(WriteFileSnafu { path: &self.out })?;
        write_text(&self.out.join(AUTHORITY_FILE), &authority.pem())?;
        for (name, keys) in names.iter().zip(keys) {
            write_text(&self.out.join(format!("{name}.pem")), &keys.certificate)?;
            write_text(&self.out.join(format!("{name}.key")), &keys.private_key)?;
        }
        Ok(())
    }
}

fn write_text(path: &Path, text: &str) -> Result<(), RunError> {
    fs::write(path, text).context(WriteFileSnafu { path })
}
