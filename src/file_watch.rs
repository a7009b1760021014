//! Detects changes of a file by polling its metadata, for settings that are edited without a reload signal.

use std::{
    fs, io,
    path::{Path, PathBuf},
    time::SystemTime,
};

/// Metadata by which a change is detected without reading the file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FileStamp {
    changed_at: SystemTime,
    bytes: u64,
}

/// A file that is polled for changes.
#[derive(Debug)]
pub struct FileWatch {
    path: PathBuf,
    /// Metadata at the last poll that found the file.
    stamp: Option<FileStamp>,
}

impl FileWatch {
    /// Starts from the current state of the file, which counts as no change.
    pub fn new(path: &Path) -> Self {
        Self {
            path: path.to_owned(),
            stamp: read_stamp(path).ok(),
        }
    }

    /// Returns whether the file has changed since the previous poll. A missing file counts as unchanged, since it may
    /// be about to be replaced.
    pub fn has_changed(&mut self) -> bool {
        let stamp = match read_stamp(&self.path) {
            Ok(stamp) => stamp,
            Err(error) => {
                log::debug!("event=file-away path={} error={error:?}", self.path.display());
                return false;
            }
        };
        self.stamp.replace(stamp) != Some(stamp)
    }
}

fn read_stamp(path: &Path) -> io::Result<FileStamp> {
    let metadata = fs::metadata(path)?;
    Ok(FileStamp {
        changed_at: metadata.modified()?,
        bytes: metadata.len(),
    })
}
