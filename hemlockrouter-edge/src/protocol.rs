//! The trait that translates the messages of a deployment.

use bytes::Bytes;
use hemlockrouter_route::direct::Notice;
use hemlockrouter_route::direct::Reply;
use hemlockrouter_route::direct::RequestResult;
use hemlockrouter_types::routing::InstanceEntry;
use http::request;
use http::response;
use http::Request;
use http::Response;

use crate::caller::CallerRequest;
use crate::caller::InvalidRequest;
use crate::generation::RestoreGeneration;
use crate::registry::Page;
use crate::registry::RegistrationLease;
use crate::registry::RegistryError;

/// Complete answer of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamAnswer {
    /// Content of the answer.
    pub reply: Reply,
    /// Whether the answer names the request that it belongs to. A copy of an answer that does not
    /// can't be told from the answer to a later request on the same connection.
    pub names_request: bool,
}

/// Translates between the messages of a system and the types of this project.
pub trait Protocol {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns an [`InvalidRequest`] if the host is missing or the deadline is invalid.
    fn read_request(&self, head: request::Parts) -> Result<CallerRequest, InvalidRequest>;

    /// Builds the final response to a caller's request.
    fn write_response(
        &self,
        request: &CallerRequest,
        request_result: RequestResult,
    ) -> Response<Bytes>;

    /// Builds the request to an upstream, which has `left_ms` milliseconds to answer.
    fn write_upstream_request(
        &self,
        request: &CallerRequest,
        body: Bytes,
        upstream_id: &str,
        left_ms: u64,
    ) -> Request<Bytes>;

    /// Parses what an upstream reports about itself in the head of an answer. The notice is valid
    /// even if the rest of the answer is lost or invalid.
    fn read_upstream_notice(&self, head: &response::Parts) -> Notice;

    /// Parses the complete answer of an upstream. Returns `None` if the answer belongs to another
    /// request, or if it contradicts itself, like a success without a signature. The request may
    /// have run.
    fn read_upstream_answer(
        &self,
        request: &CallerRequest,
        head: response::Parts,
        body: Bytes,
    ) -> Option<UpstreamAnswer>;

    /// Builds the request that asks an upstream for its own health at the service's health `path`.
    /// Returns `None` if the path fits no request.
    fn write_health_request(&self, path: &str) -> Option<Request<Bytes>>;

    /// Returns whether the head of an answer to [`Protocol::write_health_request`] states that it
    /// comes from the upstream `upstream_id`, which is healthy and is not leaving.
    fn is_healthy(&self, head: &response::Parts, upstream_id: &str) -> bool;

    /// Builds the request for a page of the registry that starts at `from`, where an earlier page
    /// ended. A page that `may_lag` is cheaper and may have an older revision.
    fn write_page_request(&self, from: Option<&str>, may_lag: bool) -> Request<Bytes>;

    /// Builds the request for the first page of the list of instances, which may lag.
    fn write_instance_page_request(&self) -> Request<Bytes>;

    /// Builds the request that waits up to `wait_ms` milliseconds for changes to the registry after
    /// a revision.
    fn write_watch_request(&self, after: u64, wait_ms: u64) -> Request<Bytes>;

    /// Parses the answer to [`Protocol::write_page_request`] or
    /// [`Protocol::write_instance_page_request`].
    ///
    /// # Errors
    ///
    /// Returns a [`RegistryError`] if the answer holds no page.
    fn read_page(&self, status: u16, body: &[u8]) -> Result<Page, RegistryError>;

    /// Parses the answer to [`Protocol::write_watch_request`].
    ///
    /// # Errors
    ///
    /// Returns a [`RegistryError`] if the answer holds no changes.
    fn read_changes(&self, status: u16, body: &[u8]) -> Result<Page, RegistryError>;

    /// Parses the generation of the registry, which counts its restores, from the head of any of
    /// its answers. Returns `None` if the answer does not report a generation.
    ///
    /// # Errors
    ///
    /// Returns a description of what is invalid about the reported generation.
    fn read_generation(&self, head: &response::Parts) -> Result<Option<RestoreGeneration>, String>;

    /// Builds the request for a lease of `ttl_ms` milliseconds.
    fn write_lease_request(&self, ttl_ms: u64) -> Request<Bytes>;

    /// Parses the answer to [`Protocol::write_lease_request`].
    ///
    /// # Errors
    ///
    /// Returns a [`RegistryError`] if no lease was granted.
    fn read_lease(&self, status: u16, body: &[u8]) -> Result<RegistrationLease, RegistryError>;

    /// Builds the request that registers instances under a lease and removes others by their names,
    /// in one atomic write.
    fn write_registration(
        &self,
        lease: u64,
        instances: &[InstanceEntry],
        removed: &[String],
    ) -> Request<Bytes>;

    /// Builds the request that renews a lease.
    fn write_lease_renewal(&self, lease: u64) -> Request<Bytes>;

    /// Checks the status of the answer to a call whose answer carries no data.
    ///
    /// # Errors
    ///
    /// Returns a [`RegistryError`] if the call was not carried out.
    fn check_status(&self, status: u16) -> Result<(), RegistryError>;
}
