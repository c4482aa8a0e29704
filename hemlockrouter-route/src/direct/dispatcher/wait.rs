//! Queues parts of requests until an upstream has capacity for them.

use hemlockrouter_types::prelude::*;

use super::Dispatcher;
use super::TimerKind;
use super::DEADLINE_MARGIN_MS;
use crate::direct::event::Command;
use crate::direct::event::RequestId;
use crate::direct::queue::QueuedPart;
use crate::direct::request::Request;
use crate::direct::request::SendReason;
use crate::direct::upstreams::Criteria;

impl Dispatcher {
    /// Returns whether upstreams will have capacity for enough parts of a request before its
    /// deadline. If not, records when the caller should retry, so that the request is refused at
    /// once instead of waiting in vain.
    pub(super) fn has_capacity_in_time(&self, now: Time, request: &mut Request) -> bool {
        let left_ms = request
            .deadline
            .minus_ms(DEADLINE_MARGIN_MS)
            .remaining_ms(now) as f64;
        let waits = self.part_waits_ms(now, request);
        let (in_time_waits, late_waits): (Vec<f64>, Vec<f64>) =
            waits.partition(|capacity_wait_ms| *capacity_wait_ms < left_ms);
        if in_time_waits.len() >= request.needed_parts() {
            return true;
        }
        let shortest_ms = late_waits.into_iter().fold(f64::INFINITY, f64::min);
        request.capacity_wait_ms = Some(shortest_ms as u64);
        false
    }

    /// Returns the time until upstreams have capacity for enough parts of a request, in
    /// milliseconds; `None` if there are too few upstreams.
    pub(super) fn capacity_after_ms(&self, now: Time, request: &Request) -> Option<u64> {
        let waits = self.part_waits_ms(now, request);
        let mut waits: Vec<f64> = waits
            .filter(|capacity_wait_ms| capacity_wait_ms.is_finite())
            .collect();
        waits.sort_by(f64::total_cmp);
        let last_needed = request.needed_parts().saturating_sub(1);
        waits
            .get(last_needed)
            .map(|capacity_wait_ms| *capacity_wait_ms as u64)
    }

    /// Returns the time that each part of a request would wait for capacity, in milliseconds.
    fn part_waits_ms<'d>(
        &'d self,
        now: Time,
        request: &'d Request,
    ) -> impl Iterator<Item = f64> + 'd {
        request.parts.iter().map(move |part| {
            let criteria = Criteria::any_upstream(part.service, &request.route);
            self.upstreams.capacity_wait_ms(now, &criteria)
        })
    }

    /// Queues a part until an upstream has capacity for it. Hedges are not queued, since their
    /// first attempt is still in flight.
    pub(super) fn enqueue(
        &mut self,
        request_id: RequestId,
        request: &mut Request,
        part_index: usize,
        send_reason: SendReason,
    ) {
        if send_reason == SendReason::Hedge {
            return;
        }
        let part = &mut request.parts[part_index];
        part.queued = true;
        request.summary.queued += 1;
        let queued = QueuedPart {
            request_id,
            part_index,
            late_at: request.partial_answer_at,
            send_reason,
        };
        self.queues.push(part.service, queued);
        self.upstreams.service_mut(part.service).waiting_parts += 1;
    }

    /// Sends the queued parts of services for which a call has ended.
    pub(super) fn send_queued(&mut self, now: Time, commands: &mut Vec<Command>) {
        while let Some(service) = self.freed_services.pop() {
            self.send_queued_parts_of(now, service, commands);
        }
    }

    /// Marks all services with queued parts for another attempt although no call has ended, since
    /// upstreams join and leave.
    pub(super) fn retry_all_queues(&mut self) {
        self.freed_services.extend(self.queues.services());
    }

    fn send_queued_parts_of(
        &mut self,
        now: Time,
        service: ServiceKey,
        commands: &mut Vec<Command>,
    ) {
        let queued = self.queues.take(now, service);
        self.upstreams.service_mut(service).waiting_parts = 0;
        for queued_part in queued {
            let is_queued = |request: &Request| request.parts[queued_part.part_index].queued;
            if !self
                .requests
                .get(&queued_part.request_id)
                .is_some_and(is_queued)
            {
                continue;
            }
            let mut request = self
                .requests
                .remove(&queued_part.request_id)
                .expect("the request is known");
            request.parts[queued_part.part_index].queued = false;
            match queued_part.send_reason {
                SendReason::First => self.send_first(
                    now,
                    queued_part.request_id,
                    &mut request,
                    queued_part.part_index,
                    commands,
                ),
                send_reason => self.send(
                    now,
                    queued_part.request_id,
                    &mut request,
                    queued_part.part_index,
                    send_reason,
                    commands,
                ),
            }
            let part = &request.parts[queued_part.part_index];
            let (is_sent, has_failed) = (!part.open_attempts.is_empty(), part.has_failed());
            if is_sent {
                let hedge_delay_ms = self.hedge_delay_ms(&request.route);
                self.timers.set(
                    now + hedge_delay_ms,
                    TimerKind::Hedge(queued_part.request_id),
                );
            }
            self.requests.insert(queued_part.request_id, request);
            if has_failed {
                self.finish_if_settled(now, queued_part.request_id, commands);
            }
        }
    }
}
