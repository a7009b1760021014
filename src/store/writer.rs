//! Writing of one change: pure steps that make lost, late and doubled answers of the store harmless, and the
//! loop that carries them out.

use {
    super::{HEAD_KEY, HISTORY_PREFIX, StoreClient, StoreError, StoreValue},
    crate::{
        clock::{ProcessClock, TimePoint},
        codec,
        config::{ConfigHead, EditError, EditRequest, HeadEdit, HeadError, apply_edit},
    },
    std::time::Duration,
    thiserror::Error,
};

/// Pause before the store is asked again, in milliseconds.
const RETRY_PAUSE_MS: u64 = 200;

/// What has to be done next for a change.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteStep {
    /// Read the head.
    Read,
    /// Pause, then read the head.
    ReadLater,
    /// Keep the present tables for `undo`, then swap in the new head.
    Swap {
        /// Version whose tables are kept.
        old_version: u64,
        /// Its tables, encoded.
        old_tables: Vec<u8>,
        /// The new head, encoded.
        head: Vec<u8>,
        /// Index that the store must still have.
        index: u64,
    },
    /// The change is accepted.
    Done {
        /// Version that it made.
        version: u64,
    },
    /// The change is refused and not made.
    Refused(EditRefusal),
    /// The deadline has passed without a clear answer.
    GaveUp {
        /// Whether a write was tried, so that the change may still take effect.
        maybe_made: bool,
    },
}

/// Why a change was refused.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum EditRefusal {
    /// The edit does not fit the present configuration.
    #[error(transparent)]
    Edit(#[from] EditError),
    /// The stored or the new head can't be used.
    #[error("{0}")]
    Head(String),
}

impl From<HeadError> for EditRefusal {
    fn from(error: HeadError) -> Self {
        Self::Head(error.to_string())
    }
}

/// What came of a step.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteEvent {
    /// The head was read.
    Value(Option<StoreValue>),
    /// The swap was answered.
    Swapped(bool),
    /// The step failed or has no clear answer.
    Failed,
}

/// The progress of one change.
#[derive(Debug, Clone)]
pub struct ChangeWriter {
    request: EditRequest,
    deadline: TimePoint,
    tried: bool,
    made: u64,
}

impl ChangeWriter {
    /// Starts a change that is given up at `deadline`.
    pub fn new(request: EditRequest, deadline: TimePoint) -> Self {
        Self {
            request,
            deadline,
            tried: false,
            made: 0,
        }
    }

    /// Returns the next step after an event.
    pub fn handle(&mut self, event: WriteEvent, now: TimePoint) -> WriteStep {
        match event {
            WriteEvent::Swapped(true) => WriteStep::Done { version: self.made },
            _ if now >= self.deadline => WriteStep::GaveUp {
                maybe_made: self.tried,
            },
            // A swap answered with no may be the second answer to a write that took effect: read and look.
            WriteEvent::Swapped(false) => WriteStep::Read,
            WriteEvent::Failed => WriteStep::ReadLater,
            WriteEvent::Value(value) => self.plan_swap(value.as_ref()).unwrap_or_else(WriteStep::Refused),
        }
    }

    fn plan_swap(&mut self, value: Option<&StoreValue>) -> Result<WriteStep, EditRefusal> {
        let (head, index) = match value {
            Some(value) => (ConfigHead::open(&value.data)?, value.index),
            None => (ConfigHead::default(), 0),
        };
        match apply_edit(&head, &self.request)? {
            HeadEdit::Present { version } => Ok(WriteStep::Done { version }),
            HeadEdit::Next(edit) => {
                let (next, bytes) = edit.head.seal()?;
                let old_tables = codec::encode(&head.tables()).map_err(HeadError::from)?;
                self.tried = true;
                self.made = next.version;
                Ok(WriteStep::Swap {
                    old_version: head.version,
                    old_tables,
                    head: bytes,
                    index,
                })
            }
        }
    }
}

/// A change that did not end well.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum WriteError {
    /// The change was refused and not made.
    #[error(transparent)]
    Refused(#[from] EditRefusal),
    /// The store was down until the deadline; the change was not made.
    #[error("store could not be reached in time; the change was not made, try again when the store is back")]
    NotMade,
    /// The store gave no clear answer until the deadline.
    #[error(
        "store gave no clear answer in time; the change may have been made, look with `fuchsiashore history`"
    )]
    Unclear,
}

/// Carries out a change and returns the version that it made.
pub async fn write_change(
    store: &impl StoreClient,
    clock: &ProcessClock,
    request: EditRequest,
    deadline: TimePoint,
) -> Result<u64, WriteError> {
    let mut writer = ChangeWriter::new(request, deadline);
    let mut step = WriteStep::Read;
    loop {
        let event = match step {
            WriteStep::Done { version } => return Ok(version),
            WriteStep::Refused(refusal) => return Err(refusal.into()),
            WriteStep::GaveUp { maybe_made: false } => return Err(WriteError::NotMade),
            WriteStep::GaveUp { maybe_made: true } => return Err(WriteError::Unclear),
            WriteStep::Read => read_head(store).await,
            WriteStep::ReadLater => {
                tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
                read_head(store).await
            }
            WriteStep::Swap {
                old_version,
                old_tables,
                head,
                index,
            } => swap_head(store, old_version, old_tables, head, index).await,
        };
        step = writer.handle(event, clock.now());
    }
}

async fn read_head(store: &impl StoreClient) -> WriteEvent {
    store
        .read(HEAD_KEY)
        .await
        .map_or(WriteEvent::Failed, WriteEvent::Value)
}

async fn swap_head(
    store: &impl StoreClient,
    old_version: u64,
    old_tables: Vec<u8>,
    head: Vec<u8>,
    index: u64,
) -> WriteEvent {
    let kept = if old_version == 0 {
        Ok(())
    } else {
        keep_tables(store, old_version, old_tables).await
    };
    let swapped = match kept {
        Ok(()) => store.swap(HEAD_KEY, head, index).await,
        Err(error) => Err(error),
    };
    swapped.map_or(WriteEvent::Failed, WriteEvent::Swapped)
}

async fn keep_tables(store: &impl StoreClient, version: u64, tables: Vec<u8>) -> Result<(), StoreError> {
    store.write(&format!("{HISTORY_PREFIX}/{version}"), tables).await
}
