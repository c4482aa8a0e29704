//! The model of one simulated upstream: slots, queue, cold start and snapshots.
//!
//! [`UpstreamModel`] does no I/O and reads no clock. It returns [`Command`]s that its driver carries out.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use hemlockrouter_types::Time;
use rand::rngs::SmallRng;
use rand::RngExt;
use rand::SeedableRng;
use serde::Deserialize;
use serde_json::json;
use serde_json::Value;

use super::counts::UpstreamCounts;
use super::spec::UpstreamBehaviour;
use super::spec::UpstreamSpec;

/// Retry delay in the answer to a shed request, in milliseconds.
const SHED_RETRY_AFTER_MS: u64 = 20;

/// The body of a search or run request.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct RequestBody {
    pub(super) id: Value,
    #[serde(default)]
    pub(super) shard: String,
    pub(super) snapshot: Option<u64>,
    pub(super) map: Option<u32>,
    #[serde(default)]
    pub(super) deadline_ms: Option<u64>,
    #[serde(default)]
    pub(super) query: Value,
    pub(super) run_id: Option<String>,
    #[serde(default)]
    pub(super) request: Value,
    #[serde(default)]
    pub(super) operation: String,
}

/// Grace period before the cold limit is enforced, in milliseconds.
///
/// An answer or a broken exchange tells the router that the upstream is cold. Requests that were
/// sent before the router processed this signal may still arrive within the period.
const COLD_LIMIT_GRACE_MS: u64 = 50;

/// Answers after which the router can detect a cold upstream that did not restart.
///
/// A single slow answer may as well be a straggler.
const COLD_DETECTION_ANSWERS: u64 = 8;

/// Maximum number of overloads described in the counts; further overloads are only counted.
const MAX_DESCRIBED_OVERLOADS: usize = 5;

/// The number that identifies a request within one upstream.
pub(super) type Ticket = u64;

/// An action that the model asks its driver to carry out.
#[derive(Clone, Debug)]
pub(super) enum Command {
    /// Calls [`UpstreamModel::finish`] with this ticket after `after_ms`.
    Finish { ticket: Ticket, after_ms: u64 },
    /// Sends the answer to this request.
    Answer {
        ticket: Ticket,
        status: u16,
        body: Value,
    },
    /// Breaks off the exchange of this request without an answer.
    BreakOff { ticket: Ticket },
}

struct InFlight {
    request_body: RequestBody,
    /// Connection setup time added to the service time, in milliseconds.
    setup_ms: u64,
    snapshot: u64,
    arrived: Time,
    deadline: Option<Time>,
    started: bool,
}

/// The state of one upstream.
pub(super) struct UpstreamModel {
    spec: UpstreamSpec,
    pub(super) behaviour: UpstreamBehaviour,
    pub(super) counts: UpstreamCounts,
    rng: SmallRng,
    start_id: u64,
    next_ticket: Ticket,
    in_flight: BTreeMap<Ticket, InFlight>,
    waiting: VecDeque<Ticket>,
    running_count: usize,
    cold: Option<ColdState>,
    failing_until: Time,
    leaving_since: Option<Time>,
    answers: u64,
}

struct ColdState {
    since: Time,
    answers: u64,
    /// Answers after which the router can detect the cold state.
    detectable_after_answers: u64,
    /// Time from which exceeding the cold limit makes the upstream fail every request; `None` until
    /// the router can detect the cold state.
    enforced_from: Option<Time>,
}

impl ColdState {
    fn new(since: Time, detectable_after_answers: u64) -> ColdState {
        ColdState {
            since,
            answers: 0,
            detectable_after_answers,
            enforced_from: None,
        }
    }
}

impl UpstreamModel {
    pub(super) fn new(
        spec: UpstreamSpec,
        behaviour: UpstreamBehaviour,
        now: Time,
    ) -> UpstreamModel {
        let mut rng = SmallRng::seed_from_u64(spec.seed);
        let mut model = UpstreamModel {
            start_id: rng.random(),
            rng,
            behaviour,
            counts: UpstreamCounts::default(),
            next_ticket: 0,
            in_flight: BTreeMap::new(),
            waiting: VecDeque::new(),
            running_count: 0,
            cold: None,
            failing_until: Time::ZERO,
            leaving_since: None,
            answers: 0,
            spec,
        };
        if !model.spec.warm {
            // No client has seen this upstream warm, so the cold limit applies at once.
            model.cold = Some(ColdState::new(now, 0));
            model.enforce_cold_limit(now);
        }
        model
    }

    /// Returns the id of the current start, which every answer carries.
    pub(super) fn start_id(&self) -> String {
        format!("{:016x}", self.start_id)
    }

    /// Returns the number of requests in flight divided by the number of slots.
    pub(super) fn load(&self) -> f64 {
        self.in_flight.len() as f64 / self.spec.slots.max(1) as f64
    }

    pub(super) fn is_cold(&self) -> bool {
        self.cold.is_some()
    }

    /// Makes the upstream cold without a restart.
    pub(super) fn turn_cold(&mut self, now: Time) {
        self.cold = Some(ColdState::new(now, COLD_DETECTION_ANSWERS));
    }

    /// Returns whether the upstream is cold and the router can know that.
    pub(super) fn is_known_cold(&self, now: Time) -> bool {
        let enforced_from = self.cold.as_ref().and_then(|cold| cold.enforced_from);
        enforced_from.is_some_and(|from| from <= now)
    }

    /// Records that the router can detect the cold start or the restart from `now` on.
    pub(super) fn reveal_cold_state(&mut self, now: Time) {
        self.enforce_cold_limit(now + COLD_LIMIT_GRACE_MS);
    }

    fn enforce_cold_limit(&mut self, from: Time) {
        if let Some(cold) = &mut self.cold {
            cold.enforced_from = cold.enforced_from.or(Some(from));
        }
    }

    /// Restarts the upstream cold and breaks off all requests in flight.
    pub(super) fn restart(&mut self, now: Time, commands: &mut Vec<Command>) {
        self.start_id = self.rng.random();
        let had_in_flight = !self.in_flight.is_empty();
        let tickets = std::mem::take(&mut self.in_flight).into_keys();
        commands.extend(tickets.map(|ticket| Command::BreakOff { ticket }));
        self.waiting.clear();
        self.running_count = 0;
        // The first answer carries the new start id, which reveals the restart.
        self.cold = Some(ColdState::new(now, 1));
        if had_in_flight {
            self.reveal_cold_state(now);
        }
    }

    /// Replaces the behaviour of the upstream.
    pub(super) fn set_behaviour(&mut self, behaviour: UpstreamBehaviour, now: Time) {
        self.leaving_since = match behaviour.leaving {
            true => self.leaving_since.or(Some(now)),
            false => None,
        };
        self.behaviour = behaviour;
    }

    /// Handles a request and returns its ticket, under which the driver keeps the exchange open.
    pub(super) fn handle_arrival(
        &mut self,
        request_body: RequestBody,
        setup_ms: u64,
        now: Time,
        commands: &mut Vec<Command>,
    ) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.counts.arrived += 1;
        if let Some(since) = self.leaving_since {
            self.counts.work_after_leaving += 1;
            self.counts.last_after_leaving_ms = now.ms_since(since);
        }
        if self.behaviour.down {
            commands.push(Command::BreakOff { ticket });
        } else if let Some((status, body)) = self.refusal(&request_body, now) {
            commands.push(Command::Answer {
                ticket,
                status,
                body,
            });
        } else {
            self.accept(ticket, request_body, setup_ms, now, commands);
        }
        ticket
    }

    fn refusal(&mut self, request_body: &RequestBody, now: Time) -> Option<(u16, Value)> {
        let start_id = self.start_id();
        if now < self.failing_until {
            self.counts.failed += 1;
            return Some((500, json!({"code": "failed", "start": start_id})));
        }
        if self.behaviour.leaving && self.behaviour.refuse_when_leaving {
            return Some((503, json!({"code": "leaving", "start": start_id})));
        }
        let mismatch = self.version_mismatch(request_body);
        if mismatch.is_some() {
            self.counts.wrong_version += 1;
            return mismatch.map(|body| (409, body));
        }
        if self.in_flight.len() >= self.spec.slots + self.spec.queue {
            return Some(self.shed());
        }
        None
    }

    /// Counts a request as shed and returns the answer to it.
    pub(super) fn shed(&mut self) -> (u16, Value) {
        self.counts.shed += 1;
        let body = json!({"code": "shed", "retry_after_ms": SHED_RETRY_AFTER_MS, "start": self.start_id()});
        (503, body)
    }

    fn version_mismatch(&self, request_body: &RequestBody) -> Option<Value> {
        if request_body.run_id.is_some() {
            return None;
        }
        let (oldest, newest) = self.snapshots();
        if request_body
            .snapshot
            .is_some_and(|snapshot| snapshot < oldest || snapshot > newest)
        {
            return Some(json!({
                "code": "wrong_snapshot",
                "oldest": oldest,
                "newest": newest,
                "start": self.start_id(),
            }));
        }
        match (request_body.map, self.behaviour.map) {
            (Some(asked), Some(map)) if asked != map => {
                Some(json!({"code": "wrong_map", "map": map, "start": self.start_id()}))
            }
            _ => None,
        }
    }

    /// Returns the oldest and the newest snapshot that the upstream can serve.
    fn snapshots(&self) -> (u64, u64) {
        let newest = self.behaviour.snapshot;
        let oldest = (newest + 1).saturating_sub(self.spec.snapshots_kept);
        (oldest.max(1), newest)
    }

    fn accept(
        &mut self,
        ticket: Ticket,
        request_body: RequestBody,
        setup_ms: u64,
        now: Time,
        commands: &mut Vec<Command>,
    ) {
        let in_flight = InFlight {
            setup_ms,
            snapshot: request_body.snapshot.unwrap_or(self.behaviour.snapshot),
            arrived: now,
            deadline: request_body.deadline_ms.map(|ms| now + ms),
            request_body,
            started: false,
        };
        self.in_flight.insert(ticket, in_flight);
        let count = self.in_flight.len();
        self.counts.peak_in_flight = self.counts.peak_in_flight.max(count);
        if self.is_cold() {
            self.counts.peak_cold_in_flight = self.counts.peak_cold_in_flight.max(count);
            if count > self.spec.cold_slots && self.is_known_cold(now) {
                self.fail_after_overload(now, commands);
                return;
            }
        }
        self.waiting.push_back(ticket);
        self.start_waiting(now, commands);
    }

    /// Fails all requests in flight after an overload of the cold upstream, and fails new requests for
    /// `fall_ms`. The upstream is cold again after that time.
    fn fail_after_overload(&mut self, now: Time, commands: &mut Vec<Command>) {
        self.counts.cold_bound_passed += 1;
        if self.counts.overloads.len() < MAX_DESCRIBED_OVERLOADS {
            let in_flight = self.in_flight.values();
            let descriptions = in_flight.map(|entry| {
                let age_ms = now.ms_since(entry.arrived);
                format!("{} {age_ms} ms ago", entry.request_body.id)
            });
            let descriptions: Vec<String> = descriptions.collect();
            self.counts.overloads.push(descriptions.join(", "));
        }
        self.counts.failed += self.in_flight.len() as u64;
        self.failing_until = now + self.spec.fall_ms;
        let body = json!({"code": "failed", "start": self.start_id()});
        for ticket in std::mem::take(&mut self.in_flight).into_keys() {
            commands.push(Command::Answer {
                ticket,
                status: 500,
                body: body.clone(),
            });
        }
        self.waiting.clear();
        self.running_count = 0;
        self.cold = Some(ColdState::new(self.failing_until, 0));
        self.enforce_cold_limit(self.failing_until);
    }

    fn start_waiting(&mut self, now: Time, commands: &mut Vec<Command>) {
        while self.running_count < self.spec.slots {
            let Some(ticket) = self.waiting.pop_front() else {
                return;
            };
            let (expired, setup_ms) = match self.in_flight.get(&ticket) {
                Some(waiting) => (
                    waiting.deadline.is_some_and(|deadline| deadline <= now),
                    waiting.setup_ms,
                ),
                None => continue,
            };
            if expired {
                // The request did not start, so a refusal is correct for a run as well.
                let (status, body) = self.shed();
                self.in_flight.remove(&ticket);
                commands.push(Command::Answer {
                    ticket,
                    status,
                    body,
                });
                continue;
            }
            let after_ms = self.draw_service_ms() + setup_ms;
            let started_entry = self.in_flight.get_mut(&ticket);
            let started_entry = started_entry.expect("the ticket was just found");
            started_entry.started = true;
            self.running_count += 1;
            if let Some(run) = &started_entry.request_body.run_id {
                *self.counts.runs.entry(run.clone()).or_default() += 1;
                if let Some(request) = started_entry.request_body.request["id"].as_str() {
                    let requests = &mut self.counts.requests;
                    *requests.entry(request.to_owned()).or_default() += 1;
                }
            }
            commands.push(Command::Finish { ticket, after_ms });
        }
    }

    fn draw_service_ms(&mut self) -> u64 {
        let mean_ms = match self.cold {
            Some(_) => self.spec.cold_ms,
            None => self.spec.serve_ms,
        };
        let half_ms = mean_ms / 2;
        let service_ms = mean_ms - half_ms + self.rng.random_range(0..=2 * half_ms);
        if self.rng.random_range(0..1_000) < self.behaviour.straggle_per_mille {
            return service_ms * self.behaviour.straggle_times;
        }
        service_ms
    }

    /// Completes a request whose service time has elapsed, and starts queued requests.
    pub(super) fn finish(&mut self, ticket: Ticket, now: Time, commands: &mut Vec<Command>) {
        let Some(completed) = self.in_flight.remove(&ticket) else {
            return;
        };
        self.running_count -= 1;
        self.counts.served += 1;
        self.warm_up(now);
        self.answers += 1;
        let loss_interval = self.behaviour.lose_answers_every;
        if loss_interval > 0 && self.answers % loss_interval == 0 {
            self.counts.answers_lost += 1;
            commands.push(Command::BreakOff { ticket });
        } else if self.rng.random_range(0..1_000) < self.behaviour.fail_per_mille {
            self.counts.failed += 1;
            commands.push(Command::Answer {
                ticket,
                status: 500,
                body: json!({"code": "failed", "start": self.start_id()}),
            });
        } else {
            let body = self.result(&completed);
            self.counts.answers_stating_leaving += u64::from(body["leaving"] == true);
            commands.push(Command::Answer {
                ticket,
                status: 200,
                body,
            });
        }
        self.start_waiting(now, commands);
    }

    fn warm_up(&mut self, now: Time) {
        if let Some(cold) = &mut self.cold {
            cold.answers += 1;
            if cold.answers >= cold.detectable_after_answers {
                cold.enforced_from = cold.enforced_from.or(Some(now + COLD_LIMIT_GRACE_MS));
            }
            let warm = cold.answers >= self.spec.warm_answers
                && now.ms_since(cold.since) >= self.spec.warm_ms;
            if warm {
                self.cold = None;
            }
        }
    }

    fn result(&self, completed: &InFlight) -> Value {
        let request_body = &completed.request_body;
        if let Some(run) = &request_body.run_id {
            return json!({
                "start": self.start_id(),
                "result": {
                    "operation": request_body.operation,
                    "run_id": run,
                    "upstream": self.spec.name,
                    "for": request_body.request.get("id"),
                },
            });
        }
        let (oldest, newest) = self.snapshots();
        json!({
            "start": self.start_id(),
            "snapshot": completed.snapshot,
            "map": request_body.map.or(self.behaviour.map).unwrap_or(0),
            "oldest": oldest,
            "newest": newest,
            "leaving": self.behaviour.leaving,
            "results": [{
                "shard": request_body.shard,
                "snapshot": completed.snapshot,
                "upstream": self.spec.name,
                "for": request_body.query.get("id"),
            }],
        })
    }

    /// Cancels a request. A run that has started continues, since a run can't be undone.
    pub(super) fn cancel(&mut self, id: &Value, now: Time, commands: &mut Vec<Command>) {
        let mut entries = self.in_flight.iter();
        let found = entries.find(|(_, entry)| {
            entry.request_body.id == *id && (entry.request_body.run_id.is_none() || !entry.started)
        });
        let Some((&ticket, entry)) = found else {
            return;
        };
        if entry.started {
            self.running_count -= 1;
        }
        self.in_flight.remove(&ticket);
        self.counts.cancelled += 1;
        commands.push(Command::Answer {
            ticket,
            status: 503,
            body: json!({"code": "cancelled", "start": self.start_id()}),
        });
        self.start_waiting(now, commands);
    }
}
