//! Notices that a file was changed, also without a signal.

use std::{
    fs, io,
    path::{Path, PathBuf},
    time::SystemTime,
};

/// What tells two states of a file apart without reading it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FileStamp {
    changed_at: SystemTime,
    bytes: u64,
}

/// A file whose state is looked at now and then.
#[derive(Debug)]
pub struct FileWatch {
    path: PathBuf,
    /// State at the last look at which the file was there.
    stamp: Option<FileStamp>,
}

impl FileWatch {
    /// Takes the present state of a file as known.
    pub fn new(path: &Path) -> Self {
        Self {
            path: path.to_owned(),
            stamp: read_stamp(path).ok(),
        }
    }

    /// Tells whether the file was changed since the last look. A file that is away, as while it is replaced, has not
    /// changed.
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
