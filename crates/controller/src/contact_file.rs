//! Stores a controller's contacts in its data folder.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};

use hollowbarrow_schema::ContactRecord;
use thiserror::Error;

/// Name of the file in the data folder.
const CONTACT_FILE: &str = "contacts.json";

/// Why contacts could not be stored or read.
#[derive(Debug, Error)]
pub enum StoreContactsError {
    /// A file or folder cannot be accessed.
    #[error("cannot {action} {path}: {source}")]
    Access {
        /// What was tried.
        action: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The file holds something else than contacts.
    #[error("{path} does not hold contacts: {source}")]
    Decode {
        /// The file.
        path: PathBuf,
        /// Cause, with the place in the file.
        source: serde_json::Error,
    },
}

/// Reads the contacts in a data folder; returns none if there is no file.
///
/// # Errors
///
/// Fails if the file cannot be read or decoded.
pub fn read_contacts(data: &Path) -> Result<Option<ContactRecord>, StoreContactsError> {
    let path = data.join(CONTACT_FILE);
    let bytes = match std::fs::read(&path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(source) => return Err(StoreContactsError::Access { action: "read", path, source }),
    };
    let record = serde_json::from_slice(&bytes);
    record.map(Some).map_err(|source| StoreContactsError::Decode { path, source })
}

/// Replaces the contacts in a data folder durably.
///
/// # Errors
///
/// Fails if a file cannot be written; the former contacts are kept.
pub fn write_contacts(data: &Path, record: &ContactRecord) -> Result<(), StoreContactsError> {
    let path = data.join(CONTACT_FILE);
    let fresh = path.with_extension("new");
    let text = serde_json::to_vec(record)
        .map_err(|source| StoreContactsError::Decode { path: path.clone(), source })?;
    let mut file = File::create(&fresh).map_err(|e| access("create", &fresh, e))?;
    file.write_all(&text).map_err(|e| access("write", &fresh, e))?;
    file.sync_all().map_err(|e| access("sync", &fresh, e))?;
    std::fs::rename(&fresh, &path).map_err(|e| access("rename", &fresh, e))?;
    File::open(data).and_then(|folder| folder.sync_all()).map_err(|e| access("sync", data, e))
}

fn access(action: &'static str, path: &Path, source: std::io::Error) -> StoreContactsError {
    StoreContactsError::Access { action, path: path.to_owned(), source }
}
