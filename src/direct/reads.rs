//! Calls that read the registry, from itself or from an instance that passes it on.

use hemlockrouter_edge::Entry;
use hemlockrouter_edge::Generation;
use hemlockrouter_edge::Position;
use hemlockrouter_edge::Protocol;
use hemlockrouter_edge::RegistryError;
use hemlockrouter_edge::RelayPage;
use log::info;

use super::registry::CallError;
use super::registry::Registry;
use super::registry::CALL_MS;
use super::relay;

/// How old a read may be that may lag, in milliseconds, as far as is known.
pub(super) const LAG_MAX_MS: u64 = 10_000;

/// The least position of an instance that has read the registry.
const FIRST: Position = Position {
    generation: Generation(0),
    revision: 1,
};

/// What was read of the registry.
pub(super) struct Read {
    pub(super) entries: Vec<Entry>,
    /// From where to follow.
    pub(super) position: Position,
    /// Whether the entries are all that the registry holds, and not only what has changed.
    pub(super) is_whole: bool,
    /// How long ago the registry was in that state at least, in milliseconds.
    pub(super) age_ms: u64,
    /// The instances that this came through, the one that read the registry first.
    pub(super) path: Vec<String>,
}

/// What an instance has heard, for the one that it asks.
#[derive(Clone, Copy)]
pub(super) struct Known {
    /// `None` before the first read.
    pub(super) position: Option<Position>,
    /// How long ago the registry was in the state that is known, in milliseconds.
    pub(super) age_ms: u64,
}

/// Reads the whole registry, of which the generation `known` was heard of.
///
/// # Errors
///
/// Returns why a page is missing.
pub(super) async fn whole(
    registry: &mut Registry,
    protocol: &dyn Protocol,
    known: Generation,
    may_lag: bool,
) -> Result<Read, CallError> {
    let mut entries: Vec<Entry> = Vec::new();
    let mut generation = known;
    let mut revision = u64::MAX;
    let mut from: Option<String> = None;
    loop {
        let request = protocol.write_read(from.as_deref(), may_lag);
        let answer = registry.call(request, CALL_MS).await?;
        let of_page = registry.generation(protocol, &answer, generation);
        if of_page != generation && from.is_some() {
            // The registry was restored between two pages.
            (entries, revision, from) = (Vec::new(), u64::MAX, None);
            generation = of_page;
            continue;
        }
        generation = of_page;
        let page = protocol.read_page(answer.status(), &answer.body);
        let page = page.map_err(CallError::Refused)?;
        entries.extend(page.entries);
        // Pages are no snapshot: what changed since the oldest one is read once more.
        revision = revision.min(page.revision);
        from = page.next;
        if from.is_none() {
            return Ok(Read {
                entries,
                position: Position {
                    generation,
                    revision,
                },
                is_whole: true,
                age_ms: if may_lag { LAG_MAX_MS } else { 0 },
                path: Vec::new(),
            });
        }
    }
}

/// Waits up to `wait_ms` for changes after `known`. If the registry has forgotten those or was restored,
/// everything is read.
///
/// # Errors
///
/// Returns why there is no answer within `limit_ms`, or why not everything can be read.
pub(super) async fn watch(
    registry: &mut Registry,
    protocol: &dyn Protocol,
    known: Position,
    wait_ms: u64,
    limit_ms: u64,
) -> Result<Read, CallError> {
    let request = protocol.write_watch(known.revision, wait_ms);
    let answer = registry.call(request, limit_ms).await?;
    let generation = registry.generation(protocol, &answer, known.generation);
    if generation != known.generation {
        // The same revisions stand for other changes now.
        return whole(registry, protocol, generation, false).await;
    }
    match protocol.read_changes(answer.status(), &answer.body) {
        Ok(page) => Ok(Read {
            entries: page.entries,
            position: Position {
                generation,
                revision: page.revision,
            },
            is_whole: false,
            age_ms: 0,
            path: Vec::new(),
        }),
        Err(RegistryError::HistoryGone) => {
            info!(target: "belief", revision = known.revision; "the registry's history is gone; reading again");
            whole(registry, protocol, generation, false).await
        }
        Err(err) => Err(CallError::Refused(err)),
    }
}

/// Asks another instance for what it has heard beyond `known`, and to wait for that up to `wait_ms`.
///
/// # Errors
///
/// Returns why there is no answer within `limit_ms`, or that the other one knows less.
pub(super) async fn ask(
    relay: &mut Registry,
    known: Known,
    wait_ms: u64,
    limit_ms: u64,
) -> Result<Read, CallError> {
    let request = relay::write_call(known, wait_ms);
    let answer = relay.call(request, limit_ms).await?;
    let page = relay::read_page(answer.status(), &answer.body);
    let page: RelayPage = page.map_err(CallError::NoAnswer)?;
    if page.is_whole && page.position < known.position.unwrap_or(FIRST) {
        let age_ms = page.age_ms;
        return Err(CallError::Outdated { age_ms });
    }
    let entries = page.entries.decode();
    Ok(Read {
        entries: entries.map_err(|err| CallError::NoAnswer(err.to_string()))?,
        position: page.position,
        is_whole: page.is_whole,
        age_ms: page.age_ms,
        path: page.path,
    })
}
