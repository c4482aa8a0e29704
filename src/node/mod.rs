//! The node: the actors that drive the decision packages.
//!
//! Three stakker actors share one thread. [`Entry`](entry::Entry) serves callers' requests,
//! [`Owner`](owner::Owner) dispatches to the upstreams that this instance owns, and
//! [`Control`](control::Control) keeps membership and configuration and routes messages to other
//! instances. Blocking work runs on other threads, which report through the [`Mailbox`].

pub(crate) mod control;
pub(crate) mod entry;
pub(crate) mod event;
pub(crate) mod operator;
pub(crate) mod owner;
pub(crate) mod refusal;
pub(crate) mod shutdown;
pub(crate) mod status;

pub(crate) use event::CallerAnswer;
pub(crate) use event::CallerRequest;
pub(crate) use event::Event;
pub(crate) use event::Mailbox;
pub(crate) use event::RequestIdentifier;
pub(crate) use event::RequestKind;
pub(crate) use event::SearchAnswer;
