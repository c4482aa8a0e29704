//! Random events of the fuzz test.

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

use super::INSTANCES;

/// Identifier of a request in the model: a ticket by its index or an idempotency key by its number.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Request {
    Ticket(usize),
    Key(u8),
}

#[derive(Clone, Copy, Debug)]
pub(super) enum StoreOutcome {
    Answered,
    AnswerLost,
    Down,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum UpstreamOutcome {
    Run,
    RunAndFail,
    RunAndLoseReply,
    Refuse(u32),
    LoseRequest,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum MessageOutcome {
    Deliver,
    DeliverTwice,
    Lose,
}

#[derive(Clone, Debug)]
pub(super) enum Transition {
    Issue(usize),
    Start {
        index: usize,
        request: Request,
        body: u8,
        deadline_ms: u64,
    },
    Claim(usize, StoreOutcome),
    Message(usize, MessageOutcome),
    Dispatch(usize, UpstreamOutcome),
    ReplyAgain(usize),
    Advance(u64),
    /// Replaces an instance with a new one that has no state.
    Replace(usize),
    /// Reports to an instance that all replaced instances are unreachable.
    ReportUnreachable(usize),
}

/// Generator of the events. It keeps no state, since the effect of an event depends on the
/// decisions of the runners.
#[derive(Clone, Debug)]
pub(super) struct Events;

impl ReferenceStateMachine for Events {
    type State = Events;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Events> {
        Just(Events).boxed()
    }

    fn transitions(_: &Events) -> BoxedStrategy<Transition> {
        let index = || 0..INSTANCES;
        let any_index = any::<usize>;
        let request = prop_oneof![
            any::<usize>().prop_map(Request::Ticket),
            (0..3_u8).prop_map(Request::Key),
        ];
        let store = prop_oneof![
            4 => Just(StoreOutcome::Answered),
            1 => Just(StoreOutcome::AnswerLost),
            1 => Just(StoreOutcome::Down),
        ];
        let upstream = prop_oneof![
            4 => Just(UpstreamOutcome::Run),
            1 => Just(UpstreamOutcome::RunAndFail),
            1 => Just(UpstreamOutcome::RunAndLoseReply),
            3 => (0..100_u32).prop_map(UpstreamOutcome::Refuse),
            1 => Just(UpstreamOutcome::LoseRequest),
        ];
        let message = prop_oneof![
            4 => Just(MessageOutcome::Deliver),
            1 => Just(MessageOutcome::DeliverTwice),
            1 => Just(MessageOutcome::Lose),
        ];
        let body = prop_oneof![9 => Just(0_u8), 1 => Just(1_u8)];
        prop_oneof![
            2 => index().prop_map(Transition::Issue),
            8 => (index(), request, body, 0..500_u64).prop_map(|(index, request, body, deadline_ms)| {
                Transition::Start { index, request, body, deadline_ms }
            }),
            6 => (any_index(), store).prop_map(|(index, injected)| {
                Transition::Claim(index, injected)
            }),
            8 => (any_index(), message).prop_map(|(index, injected)| {
                Transition::Message(index, injected)
            }),
            8 => (any_index(), upstream).prop_map(|(index, injected)| {
                Transition::Dispatch(index, injected)
            }),
            1 => any_index().prop_map(Transition::ReplyAgain),
            4 => (1..120_u64).prop_map(Transition::Advance),
            1 => index().prop_map(Transition::Replace),
            1 => index().prop_map(Transition::ReportUnreachable),
        ]
        .boxed()
    }

    fn apply(events: Events, _: &Transition) -> Events {
        events
    }
}
