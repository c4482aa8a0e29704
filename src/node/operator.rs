//! Requests of operators to the node.

use std::sync::mpsc::SyncSender;

use crate::edge::tiny::HttpAnswer;

/// Operator's request and the channel for its answer.
pub(crate) struct OperatorCall {
    /// Kind of the request and its parameters.
    pub(crate) request: OperatorRequest,
    /// Channel for the answer.
    pub(crate) reply: OperatorReply,
}

/// Operator's request to the node.
#[derive(Debug)]
pub(crate) enum OperatorRequest {
    /// Asks all instances for their configuration numbers.
    Probe,
    /// Asks for the status of the instance.
    Status,
    /// Asks where the sub-requests of a search would be sent now.
    Explain { customer: String, search: String },
    /// Shuts an instance down.
    Drain { instance: String },
}

/// Channel for the answer to an operator.
#[derive(Clone)]
pub(crate) struct OperatorReply {
    sender: SyncSender<HttpAnswer>,
}

impl OperatorReply {
    /// Creates a reply channel that sends to `sender`.
    pub(crate) fn new(sender: SyncSender<HttpAnswer>) -> OperatorReply {
        OperatorReply { sender }
    }

    /// Sends the answer.
    pub(crate) fn send(&self, answer: HttpAnswer) {
        // Sending fails if the operator's connection has ended, which needs no handling.
        let _ = self.sender.try_send(answer);
    }
}
