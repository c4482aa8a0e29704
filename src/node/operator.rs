//! Operators' questions to the node.

use std::sync::mpsc::SyncSender;

use crate::edge::tiny::Answer;

/// A question of an operator, with the way back.
pub(crate) struct OperatorCall {
    /// What is asked.
    pub(crate) question: Question,
    /// Takes the answer.
    pub(crate) reply: OperatorReply,
}

/// What operators ask the node.
#[derive(Debug)]
pub(crate) enum Question {
    /// All instances shall tell their configuration numbers.
    Probe,
    /// What the instance knows and does.
    Status,
    /// Where the sub-requests of a search would go now.
    Explain { customer: String, search: String },
    /// An instance shall shut down.
    Drain { instance: String },
}

/// The way back to an operator.
#[derive(Clone)]
pub(crate) struct OperatorReply {
    sender: SyncSender<Answer>,
}

impl OperatorReply {
    /// Makes a way back.
    pub(crate) fn new(sender: SyncSender<Answer>) -> OperatorReply {
        OperatorReply { sender }
    }

    /// Sends the answer.
    pub(crate) fn send(&self, answer: Answer) {
        // The operator may have stopped waiting.
        let _ = self.sender.try_send(answer);
    }
}
