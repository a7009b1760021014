//! Writer of one configuration change: a pure state machine that stays correct if answers of the store are lost,
//! late or duplicated, and the loop that executes its steps.

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

/// Pause before a failed step is retried, in milliseconds.
const RETRY_PAUSE_MS: u64 = 200;

/// Next step of a change.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteStep {
    /// Read the head.
    Read,
    /// Pause, then read the head.
    ReadLater,
    /// Save the current tables under their version for `undo`, then write the new head by compare-and-swap.
    Swap {
        /// Version whose tables are saved.
        old_version: u64,
        /// Its tables, encoded.
        old_tables: Vec<u8>,
        /// The new head, encoded.
        head: Vec<u8>,
        /// Index that the stored head must still have.
        index: u64,
    },
    /// The change is accepted.
    Done {
        /// Version that the change produced.
        version: u64,
    },
    /// The change is refused and was not made.
    Refused(EditRefusal),
    /// The deadline has passed without a definite answer.
    GaveUp {
        /// Whether a write was attempted, so that the change may have taken effect or may still do so.
        maybe_made: bool,
    },
}

/// Why a change was refused.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum EditRefusal {
    /// The edit breaks a rule or conflicts with the current configuration.
    #[error(transparent)]
    Edit(#[from] EditError),
    /// The stored head can't be read, or the new head can't be written.
    #[error("{0}")]
    Head(String),
}

impl From<HeadError> for EditRefusal {
    fn from(error: HeadError) -> Self {
        Self::Head(error.to_string())
    }
}

/// Result of a step.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteEvent {
    /// The head was read.
    Value(Option<StoreValue>),
    /// The store answered the swap: whether it wrote the head.
    Swapped(bool),
    /// The step failed or has no definite answer.
    Failed,
}

/// State machine that writes one change.
#[derive(Debug, Clone)]
pub struct ChangeWriter {
    request: EditRequest,
    deadline: TimePoint,
    was_attempted: bool,
    new_version: u64,
}

impl ChangeWriter {
    /// Creates a writer that gives up at `deadline`.
    pub fn new(request: EditRequest, deadline: TimePoint) -> Self {
        Self {
            request,
            deadline,
            was_attempted: false,
            new_version: 0,
        }
    }

    /// Returns the next step after an event.
    pub fn handle(&mut self, event: WriteEvent, now: TimePoint) -> WriteStep {
        match event {
            WriteEvent::Swapped(true) => WriteStep::Done {
                version: self.new_version,
            },
            _ if now >= self.deadline => WriteStep::GaveUp {
                maybe_made: self.was_attempted,
            },
            // A negative answer may be the second one to a duplicated swap whose first copy took effect. The next read
            // shows whether the head contains the change.
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
                self.was_attempted = true;
                self.new_version = next.version;
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

/// Error of a change.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum WriteError {
    /// The change was refused and not made.
    #[error(transparent)]
    Refused(#[from] EditRefusal),
    /// The store was down until the deadline; the change was not made.
    #[error(
        "store was unreachable until the deadline; the change was not made, retry when the store is back"
    )]
    NotMade,
    /// The store gave no definite answer before the deadline.
    #[error(
        "store gave no definite answer in time; the change may have been made, check with `fuchsiashore history`"
    )]
    Unclear,
}

/// Writes a change to the store and returns the version that it produced.
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
    let saved = if old_version == 0 {
        Ok(())
    } else {
        save_tables(store, old_version, old_tables).await
    };
    let swapped = match saved {
        Ok(()) => store.swap(HEAD_KEY, head, index).await,
        Err(error) => Err(error),
    };
    swapped.map_or(WriteEvent::Failed, WriteEvent::Swapped)
}

async fn save_tables(store: &impl StoreClient, version: u64, tables: Vec<u8>) -> Result<(), StoreError> {
    store.write(&format!("{HISTORY_PREFIX}/{version}"), tables).await
}
