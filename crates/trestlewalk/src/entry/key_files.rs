//! Loads the keys that the settings give.

use {
    crate::{RunError, run_error::ReadFileSnafu, settings::KeySettings},
    peer::PeerKeys,
    snafu::ResultExt,
    std::{fs, path::PathBuf, sync::Arc},
};

/// Reads the keys from their files, or takes the inline ones of the settings when there are any.
///
/// # Errors
///
/// A file can't be read, or is not UTF-8.
pub fn load_keys(keys: &KeySettings) -> Result<PeerKeys, RunError> {
    if let Some(test) = &keys.test {
        return Ok(PeerKeys {
            authorities: test.authority.clone(),
            certificate: test.certificate.clone(),
            private_key: test.key.clone(),
        });
    }
    Ok(PeerKeys {
        authorities: read_text(&keys.authority)?,
        certificate: read_text(&keys.certificate)?,
        private_key: read_text(&keys.key)?,
    })
}

fn read_text(path: &Option<PathBuf>) -> Result<Arc<str>, RunError> {
    let path = path.clone().unwrap_or_default();
    let text = fs::read_to_string(&path).context(ReadFileSnafu { path })?;
    Ok(Arc::from(text))
}
