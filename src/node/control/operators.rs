//! Answers requests of operators.

use hemlockrouter_route::ShardChoice;
use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::Message;
use log::info;
use serde_json::json;
use stakker::call;
use stakker::CX;

use crate::edge::tiny::HttpAnswer;
use crate::node::control::Control;
use crate::node::operator::OperatorCall;
use crate::node::operator::OperatorReply;
use crate::node::operator::OperatorRequest;
use crate::node::status::Status;
use crate::node::Event;

impl Control {
    /// Answers a request of an operator, or passes it to the actor that can answer it.
    pub(crate) fn handle_operator(&mut self, cx: CX![], call: OperatorCall) {
        let reply = call.reply;
        match call.request {
            OperatorRequest::Probe => {
                self.probe_all(cx);
                reply.send(HttpAnswer::empty(204));
            }
            OperatorRequest::Status => {
                let now = self.parts.clock.now();
                let status = Status::new(
                    self.parts.own_id,
                    &self.parts.zone,
                    &self.parts.member,
                    &self.catalog,
                    &self.parts.shared,
                    now,
                );
                call!([self.actor_links().owner], add_status(status, reply));
            }
            OperatorRequest::Explain { customer, search } => {
                let customer_key = self.catalog.find_customer(&customer);
                let search_key =
                    customer_key.and_then(|customer| self.catalog.find_search(customer, &search));
                match customer_key.zip(search_key) {
                    Some((customer, search)) => {
                        call!([self.actor_links().entry], explain(customer, search, reply));
                    }
                    None => reply.send(HttpAnswer::text(404, "no such customer or search")),
                }
            }
            OperatorRequest::Drain { instance } => self.drain(cx, &instance, &reply),
        }
    }

    /// Shuts an instance down.
    fn drain(&mut self, _: CX![], instance: &str, reply: &OperatorReply) {
        let id = u64::from_str_radix(instance, 16).map(InstanceId);
        match id {
            Ok(id) if id == self.parts.own_id => self.parts.mailbox.put_or_drop(Event::Shutdown),
            Ok(id) if self.parts.member.peer(id).is_some() => self.send_to(id, Message::Drain),
            _ => {
                reply.send(HttpAnswer::text(
                    404,
                    "no such instance; status lists their ids",
                ));
                return;
            }
        }
        info!(target: "decision", instance = instance; "drain requested by an operator");
        reply.send(HttpAnswer::empty(202));
    }

    /// Adds the owners of the upstreams to the explanation of a search, and sends it to the
    /// operator.
    pub(crate) fn handle_explanation(
        &mut self,
        _: CX![],
        choices: Vec<ShardChoice>,
        reply: OperatorReply,
    ) {
        let name = |key: UpstreamKey| {
            self.catalog
                .upstreams
                .get(key)
                .map(|upstream| upstream.name.as_str())
        };
        let shards: Vec<serde_json::Value> = choices
            .iter()
            .map(|choice| {
                let owner = choice
                    .chosen
                    .and_then(|key| self.parts.member.owner_of(key));
                let passed_over: Vec<serde_json::Value> = choice
                    .passed_over
                    .iter()
                    .map(|other| json!({ "upstream": name(other.upstream), "why": other.why }))
                    .collect();
                json!({
                    "shard": choice.name,
                    "upstream": choice.chosen.and_then(name),
                    "owner": owner.map(|owner| owner.to_string()),
                    "why": choice.why,
                    "passed_over": passed_over,
                })
            })
            .collect();
        let body = json!({ "config": self.catalog.number, "shards": shards });
        reply.send(HttpAnswer::json(200, &body));
    }
}
