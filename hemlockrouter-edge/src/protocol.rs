//! The trait that protocols implement.

use bytes::Bytes;
use hemlockrouter_route::direct::Ending;
use hemlockrouter_route::direct::Notice;
use hemlockrouter_route::direct::Reply;
use hemlockrouter_types::routing::InstanceEntry;
use http::request;
use http::response;
use http::Request;
use http::Response;

use crate::caller::BadRequest;
use crate::caller::CallerRequest;
use crate::generation::Generation;
use crate::registry::Lease;
use crate::registry::Page;
use crate::registry::RegistryError;

/// Translates between the messages of a system and the types of this project.
pub trait Protocol {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn read_request(&self, head: request::Parts) -> Result<CallerRequest, BadRequest>;

    /// Writes the answer that ends a caller's request.
    fn write_ending(&self, request: &CallerRequest, ending: Ending) -> Response<Bytes>;

    /// Writes the request to an upstream, which has `left_ms` milliseconds for it.
    fn write_call(
        &self,
        request: &CallerRequest,
        body: Bytes,
        upstream_id: &str,
        left_ms: u64,
    ) -> Request<Bytes>;

    /// Reads what an upstream says of itself in the head of an answer, whatever becomes of the rest.
    fn read_notice(&self, head: &response::Parts) -> Notice;

    /// Reads an upstream's complete answer; `None` if it belongs to another request.
    fn read_reply(
        &self,
        request: &CallerRequest,
        head: response::Parts,
        body: Bytes,
    ) -> Option<Reply>;

    /// Asks for a page of the registry, from where an earlier page ended. A page that `may_lag` is
    /// cheaper and names an older revision.
    fn write_read(&self, from: Option<&str>, may_lag: bool) -> Request<Bytes>;

    /// Asks for the first page of the list of instances, which may lag.
    fn write_read_instances(&self) -> Request<Bytes>;

    /// Asks for what changes in the registry after a revision, and to wait for it for `wait_ms`.
    fn write_watch(&self, after: u64, wait_ms: u64) -> Request<Bytes>;

    /// Reads the answer to [`Protocol::write_read`] or [`Protocol::write_read_instances`].
    ///
    /// # Errors
    ///
    /// Returns why there is no page.
    fn read_page(&self, status: u16, body: &[u8]) -> Result<Page, RegistryError>;

    /// Reads the answer to [`Protocol::write_watch`].
    ///
    /// # Errors
    ///
    /// Returns why there are no changes.
    fn read_changes(&self, status: u16, body: &[u8]) -> Result<Page, RegistryError>;

    /// Reads from the head of any answer of the registry how often that one was restored; `None` if it does not
    /// say it.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn read_generation(&self, head: &response::Parts) -> Result<Option<Generation>, String>;

    /// Asks for a lease of `ttl_ms` milliseconds.
    fn write_lease(&self, ttl_ms: u64) -> Request<Bytes>;

    /// Reads the answer to [`Protocol::write_lease`].
    ///
    /// # Errors
    ///
    /// Returns why there is no lease.
    fn read_lease(&self, status: u16, body: &[u8]) -> Result<Lease, RegistryError>;

    /// Asks to register instances under a lease and to remove others by their names, all or nothing.
    fn write_instances(
        &self,
        lease: u64,
        instances: &[InstanceEntry],
        removed: &[String],
    ) -> Request<Bytes>;

    /// Asks to renew a lease.
    fn write_renewal(&self, lease: u64) -> Request<Bytes>;

    /// Reads the answer to a call that returns nothing of interest.
    ///
    /// # Errors
    ///
    /// Returns why the call was not done.
    fn read_done(&self, status: u16) -> Result<(), RegistryError>;
}
