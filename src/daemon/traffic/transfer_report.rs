//! Counts of bodies that are not transferred to their end, by what ended them.

use {
    crate::daemon::shared::SharedState,
    std::{
        fmt::{Debug, Formatter},
        sync::Arc,
    },
};

/// What ended the transfer of a body early.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransferFault {
    /// The sender of an answer broke off.
    AnswerCut,
    /// The deadline passed while more of an answer was awaited.
    AnswerLate,
    /// The receiver of an answer left.
    ReceiverLeft,
    /// The deadline passed while the receiver of an answer did not read.
    ReceiverStalled,
    /// The sender of a request broke off.
    RequestCut,
    /// The deadline passed while more of a request was awaited.
    RequestLate,
    /// A request without a declared length passed the limit.
    RequestOverLimit,
}

impl TransferFault {
    /// Returns the fault as a label of the counter.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::AnswerCut => "answer-cut",
            Self::AnswerLate => "answer-late",
            Self::ReceiverLeft => "receiver-left",
            Self::ReceiverStalled => "receiver-stalled",
            Self::RequestCut => "request-cut",
            Self::RequestLate => "request-late",
            Self::RequestOverLimit => "request-over-limit",
        }
    }
}

/// Counts the broken transfers of one listener.
#[derive(Clone)]
pub struct TransferReport {
    shared: Arc<SharedState>,
    listener: &'static str,
}

impl TransferReport {
    /// Creates the report of a listener.
    pub fn new(shared: &Arc<SharedState>, listener: &'static str) -> Self {
        Self {
            shared: Arc::clone(shared),
            listener,
        }
    }

    /// Counts a broken transfer.
    pub fn count(&self, fault: TransferFault) {
        let metrics = &self.shared.metrics;
        metrics.count_broken_transfer(self.listener, fault.as_str());
    }
}

impl Debug for TransferReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TransferReport")
            .field("listener", &self.listener)
            .finish_non_exhaustive()
    }
}
