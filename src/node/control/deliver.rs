//! Delivers messages to their receivers, and handles those that do not arrive.

use std::collections::BTreeMap;

use hemlockrouter_route::Claim;
use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::run::ForwardedRunEnded;
use hemlockrouter_wire::run::RunMessage;
use hemlockrouter_wire::run::RunOutcome;
use hemlockrouter_wire::CancelSubRequests;
use hemlockrouter_wire::Message;
use hemlockrouter_wire::RunSubRequest;
use hemlockrouter_wire::SearchBatch;
use hemlockrouter_wire::SearchSubRequest;
use hemlockrouter_wire::SubRequestOutcome;
use hemlockrouter_wire::SubRequestReply;
use log::info;
use stakker::call;
use stakker::CX;

use crate::node::control::Control;
use crate::node::refusal::refused_outcome;
use crate::outbound::peers::DeliveryFailure;
use crate::outbound::peers::Undeliverable;

impl Control {
    /// Sends the sub-requests of a search to the owners of their upstreams.
    pub(crate) fn search(&mut self, _: CX![], mut batch: SearchBatch) {
        let mut by_owner: BTreeMap<InstanceId, Vec<SearchSubRequest>> = BTreeMap::new();
        // The sub-requests are moved out first, so that cloning the batch for each owner does not
        // copy all of them.
        for sub in std::mem::take(&mut batch.subs) {
            match self.parts.member.owner_of(sub.upstream) {
                Some(owner) => by_owner.entry(owner).or_default().push(sub),
                None => self.refuse_search(&batch, &sub, RefusalReason::NotOwner),
            }
        }
        for (owner, subs) in by_owner {
            let batch = SearchBatch {
                subs,
                ..batch.clone()
            };
            self.send_to(owner, Message::Search(batch));
        }
    }

    fn refuse_search(&self, batch: &SearchBatch, sub: &SearchSubRequest, reason: RefusalReason) {
        let id = SubRequestId {
            origin: batch.query.origin,
            seq: sub.seq,
        };
        self.reply_locally(id, refused_outcome(reason));
    }

    /// Sends a sub-request that must not be repeated to the owner of its upstream.
    pub(crate) fn run(&mut self, _: CX![], sub: RunSubRequest) {
        match self.parts.member.owner_of(sub.upstream) {
            Some(owner) => self.send_to(owner, Message::Run(sub)),
            None => self.reply_locally(sub.id, refused_outcome(RefusalReason::NotOwner)),
        }
    }

    /// Sends a cancellation to the owner of `upstream`.
    pub(crate) fn cancel(&mut self, _: CX![], upstream: UpstreamKey, cancel: CancelSubRequests) {
        if let Some(owner) = self.parts.member.owner_of(upstream) {
            self.send_to(owner, Message::Cancel(cancel));
        }
    }

    /// Sends the result of a sub-request to the instance that sent it.
    pub(crate) fn reply(&mut self, _: CX![], reply: SubRequestReply) {
        self.send_to(reply.id.origin, Message::Reply(reply));
    }

    /// Sends a message to an instance.
    pub(crate) fn send(&mut self, _: CX![], to: InstanceId, message: Message) {
        self.send_to(to, message);
    }

    /// Queues a claim to be settled in the store.
    pub(crate) fn queue_claim(&mut self, _: CX![], id: QueryId, key: String, claim: Claim) {
        if let Err(unsettled) = self.parts.platform.queue_claim(id, key, claim) {
            call!(
                [self.actor_links().entry],
                handle_claim_result(id, unsettled)
            );
        }
    }

    /// Sends a message to an instance, which may be this one.
    pub(super) fn send_to(&mut self, to: InstanceId, message: Message) {
        if to == self.parts.own_id {
            self.handle_message(self.parts.clock.now(), to, message);
            return;
        }
        let known_address = self.parts.member.peer(to).map(|peer| peer.address);
        let Some(address) = known_address.or_else(|| self.unlisted_addresses.get(&to).copied())
        else {
            self.handle_undelivered(Some(to), message, false);
            return;
        };
        if let Err(message) = self.parts.peers.send(Some(to), address, message) {
            self.handle_undelivered(Some(to), message, false);
        }
    }

    /// Handles messages that did not arrive, or may not have arrived.
    pub(crate) fn handle_undeliverable(&mut self, cx: CX![], lost: Undeliverable) {
        let now = self.parts.clock.now();
        if lost.failure == DeliveryFailure::Refused {
            match lost.to {
                Some(to) => {
                    self.parts
                        .member
                        .record_refused_connection(now, to, &mut self.commands)
                }
                None => self.parts.member.record_refused_address(now, lost.address),
            }
        }
        for message in lost.messages {
            self.handle_undelivered(
                lost.to,
                message,
                lost.failure == DeliveryFailure::Unanswered,
            );
        }
        self.execute_commands(cx, now);
    }

    /// Ends the work that waits for the answer to a message that did not arrive, or may not have
    /// arrived.
    fn handle_undelivered(
        &mut self,
        to: Option<InstanceId>,
        message: Message,
        may_have_arrived: bool,
    ) {
        let outcome = || {
            if may_have_arrived {
                SubRequestOutcome::Failed
            } else {
                refused_outcome(RefusalReason::Unreachable)
            }
        };
        match message {
            Message::Search(batch) => {
                for sub in &batch.subs {
                    let id = SubRequestId {
                        origin: batch.query.origin,
                        seq: sub.seq,
                    };
                    self.reply_locally(id, outcome());
                }
            }
            Message::Run(sub) => self.reply_locally(sub.id, outcome()),
            Message::Forward(RunMessage::Forward(run)) => {
                // An earlier attempt with the same ticket may have run, so the outcome "not run"
                // could be wrong even though this message did not arrive.
                info!(target: "decision", id = run.id.to_string(), to = format!("{to:?}");
                    "the instance that may run the request can't be reached");
                let outcome = RunOutcome::Unknown;
                call!(
                    [self.actor_links().entry],
                    handle_forward_end(run.id, outcome)
                );
            }
            // Answers and control messages are not sent again. Their receivers ask again or time
            // out on their own.
            Message::Reply(_)
            | Message::Cancel(_)
            | Message::Forward(RunMessage::Ended(ForwardedRunEnded { .. }))
            | Message::Member(_)
            | Message::Lease(_)
            | Message::Relay(_)
            | Message::Drain => {}
        }
    }

    /// Reports the result of a sub-request that this instance sent.
    fn reply_locally(&self, id: SubRequestId, outcome: SubRequestOutcome) {
        let reply = SubRequestReply {
            id,
            outcome,
            queued_ms: 0,
            served_ms: 0,
        };
        call!([self.actor_links().entry], handle_reply(reply));
    }
}
