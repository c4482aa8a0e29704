//! Dispatches requests from an instance directly to upstreams.
//!
//! A [`Dispatcher`] sends each request to one upstream of a service, or to one upstream of each of
//! many shards, and merges their answers. No owner process stands between the instance and the
//! upstream: bounds that must hold over all instances are kept by dividing each bound between the
//! instances (see `budget` and `cold`). Routes arrive as complete versioned documents, and
//! upstreams register themselves.
//!
//! The state machine is sans-IO: it receives events and the current [`Time`], and emits
//! [`Command`]s. The driver carries the request bodies, connects to upstreams, and calls
//! [`Dispatcher::tick`] at [`Dispatcher::next_wake`].
//!
//! # Modules
//!
//! - `dispatcher`: the [`Dispatcher`], which handles each event.
//! - `request`: the state of one request and its parts.
//! - `groups`: assigns each group of shards to the instance of a zone that collects it and may
//!   spend its repeat allowance.
//! - `peers`: tracks and chooses the other instances that collect parts of a search.
//! - `event`: the dispatcher's inputs and outputs.
//! - `table`: looks up the route of a request.
//! - `upstreams`: the registered upstreams, and the choice among them.
//! - `notices`: remembers which upstreams have announced a shutdown or asked for a pause.
//! - `record`: the latency and failure statistics of one upstream.
//! - `concurrency`: the adaptive limit on requests in flight to one upstream.
//! - `queue`: the parts of requests that wait for capacity at an upstream.
//! - `budget`: the number of repeats (retries and hedges) that this instance may send.
//! - `instances`: the number of instances among which a bound is divided.
//! - `readers`: decides which instances read the registry and which instances the others follow.
//! - `cold`: this instance's share of the rate limit of a recently started (cold) upstream.
//! - `merge`: merges the answers of a search's shards.
//! - `status`: reports the dispatcher's state and routing decisions to operators.
//!
//! [`Time`]: hemlockrouter_types::Time

mod budget;
mod cold;
mod concurrency;
mod config;
mod dispatcher;
mod event;
mod groups;
mod instances;
mod merge;
mod notices;
mod peers;
mod queue;
mod readers;
mod record;
mod request;
mod status;
mod table;
mod upstreams;

pub use self::budget::RepeatBound;
pub use self::config::Config;
pub use self::config::SearchDivision;
pub use self::dispatcher::Dispatcher;
pub use self::event::BatchOutcome;
pub use self::event::BatchReport;
pub use self::event::CallFault;
pub use self::event::CallId;
pub use self::event::CallOutcome;
pub use self::event::Command;
pub use self::event::FailedCall;
pub use self::event::GiveUpReason;
pub use self::event::Notice;
pub use self::event::PeerNotice;
pub use self::event::Reply;
pub use self::event::ReplyKind;
pub use self::event::RequestId;
pub use self::event::RequestResult;
pub use self::event::Summary;
pub use self::instances::Instances;
pub use self::merge::merge;
pub use self::status::Explanation;
pub use self::status::InstanceStatus;
pub use self::status::PartExplanation;
pub use self::status::Status;
pub use self::status::UpstreamState;
pub use self::status::UpstreamStatus;
pub use self::table::Route;
pub use self::table::RouteTable;
pub use self::table::RouteTarget;
pub use self::upstreams::RegistrationChange;
pub use self::upstreams::Upstream;
pub use self::upstreams::Upstreams;
