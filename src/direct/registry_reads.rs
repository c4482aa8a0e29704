//! Reads the registry, directly or from an instance that relays it.

use hemlockrouter_edge::Entry;
use hemlockrouter_edge::HistoryPosition;
use hemlockrouter_edge::Protocol;
use hemlockrouter_edge::RegistryError;
use hemlockrouter_edge::RelayPage;
use hemlockrouter_edge::RestoreGeneration;
use log::info;

use super::registry::CallError;
use super::registry::RegistryClient;
use super::registry::CALL_TIMEOUT_MS;
use super::relay;

/// Maximum size of the changes that a watch returns, in bytes. All entries are smaller than a long
/// series of changes of a large configuration.
const CHANGES_MAX_BYTES: usize = 4 << 20;

/// Age assumed for a read that may be stale, in milliseconds; the true age is not known.
pub(super) const STALE_READ_AGE_MS: u64 = 10_000;

/// Lowest position of an instance that has read the registry.
const FIRST_POSITION: HistoryPosition = HistoryPosition {
    generation: RestoreGeneration(0),
    revision: 1,
};

/// Result of a read of the registry.
pub(super) struct RegistryRead {
    pub(super) entries: Vec<Entry>,
    /// Position from which to follow the registry.
    pub(super) position: HistoryPosition,
    /// Whether `entries` are all entries of the registry, and not only changes.
    pub(super) is_whole: bool,
    /// Minimum age of the state that was read, in milliseconds.
    pub(super) age_ms: u64,
    /// Relays that passed the read on, starting with the instance that read the registry.
    pub(super) path: Vec<String>,
}

/// State that an instance reports to the instance that it follows.
#[derive(Clone, Copy)]
pub(super) struct KnownState {
    /// Position up to which the instance has read the registry; `None` before the first read.
    pub(super) position: Option<HistoryPosition>,
    /// Age of the known state, in milliseconds.
    pub(super) age_ms: u64,
}

/// Reads all pages of the registry. `known_generation` is the latest known generation.
///
/// # Errors
///
/// Returns the error of the first page that can't be read.
pub(super) async fn read_all(
    registry: &mut RegistryClient,
    protocol: &dyn Protocol,
    known_generation: RestoreGeneration,
    allow_stale: bool,
) -> Result<RegistryRead, CallError> {
    let mut entries: Vec<Entry> = Vec::new();
    let mut generation = known_generation;
    let mut revision = u64::MAX;
    let mut next_page: Option<String> = None;
    loop {
        let request = protocol.write_page_request(next_page.as_deref(), allow_stale);
        let answer = registry.call(request, CALL_TIMEOUT_MS).await?;
        let page_generation = registry.generation(protocol, &answer, generation);
        if page_generation != generation && next_page.is_some() {
            // The registry was restored between two pages, so the read starts again.
            (entries, revision, next_page) = (Vec::new(), u64::MAX, None);
            generation = page_generation;
            continue;
        }
        generation = page_generation;
        let page = protocol.read_page(answer.status(), &answer.body);
        let page = page.map_err(CallError::Refused)?;
        entries.extend(page.entries);
        // Pages are no consistent snapshot, so the watch starts at the oldest page's revision and
        // repeats changes made since.
        revision = revision.min(page.revision);
        next_page = page.next;
        if next_page.is_none() {
            return Ok(RegistryRead {
                entries,
                position: HistoryPosition {
                    generation,
                    revision,
                },
                is_whole: true,
                age_ms: if allow_stale { STALE_READ_AGE_MS } else { 0 },
                path: Vec::new(),
            });
        }
    }
}

/// Waits up to `wait_ms` milliseconds for changes after `known_position`. Reads all entries if the
/// registry no longer keeps these changes or was restored, or if the changes are too large or do
/// not arrive whole in time: the same call would return even more the next time.
///
/// # Errors
///
/// Returns an error if there is no answer within `timeout_ms` milliseconds or a full read fails.
pub(super) async fn watch_changes(
    registry: &mut RegistryClient,
    protocol: &dyn Protocol,
    known_position: HistoryPosition,
    wait_ms: u64,
    timeout_ms: u64,
) -> Result<RegistryRead, CallError> {
    let request = protocol.write_watch_request(known_position.revision, wait_ms);
    let answer = registry.call_limited(request, timeout_ms, CHANGES_MAX_BYTES);
    let answer = match answer.await {
        Err(CallError::Incomplete(why)) => {
            info!(target: "belief", revision = known_position.revision, why = why; "the changes did not arrive whole; reading all entries");
            return read_all(registry, protocol, known_position.generation, false).await;
        }
        answer => answer?,
    };
    let generation = registry.generation(protocol, &answer, known_position.generation);
    if generation != known_position.generation {
        // After a restore, the same revisions denote other changes.
        return read_all(registry, protocol, generation, false).await;
    }
    match protocol.read_changes(answer.status(), &answer.body) {
        Ok(page) => Ok(RegistryRead {
            entries: page.entries,
            position: HistoryPosition {
                generation,
                revision: page.revision,
            },
            is_whole: false,
            age_ms: 0,
            path: Vec::new(),
        }),
        Err(RegistryError::HistoryDiscarded) => {
            info!(target: "belief", revision = known_position.revision; "the registry no longer keeps these changes; reading all entries");
            read_all(registry, protocol, generation, false).await
        }
        Err(err) => Err(CallError::Refused(err)),
    }
}

/// Asks another instance for changes after `known_state`, and lets it wait up to `wait_ms`
/// milliseconds for them.
///
/// # Errors
///
/// Returns an error if there is no answer within `timeout_ms` milliseconds, or
/// [`CallError::Outdated`] if the other instance has older data.
pub(super) async fn poll_relay(
    relay: &mut RegistryClient,
    known_state: KnownState,
    wait_ms: u64,
    timeout_ms: u64,
) -> Result<RegistryRead, CallError> {
    let request = relay::build_changes_request(known_state, wait_ms);
    let answer = relay.call(request, timeout_ms).await?;
    let page = relay::decode_page(answer.status(), &answer.body);
    let page: RelayPage = page.map_err(CallError::NoAnswer)?;
    if page.is_whole && page.position < known_state.position.unwrap_or(FIRST_POSITION) {
        let age_ms = page.age_ms;
        return Err(CallError::Outdated { age_ms });
    }
    let entries = page.entries.decode();
    Ok(RegistryRead {
        entries: entries.map_err(|err| CallError::NoAnswer(err.to_string()))?,
        position: page.position,
        is_whole: page.is_whole,
        age_ms: page.age_ms,
        path: page.path,
    })
}
