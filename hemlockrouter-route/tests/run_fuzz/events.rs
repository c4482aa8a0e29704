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
pub(super) enum StoreFate {
    Answered,
    AnswerLost,
    Down,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum UpstreamFate {
    Run,
    RunAndFail,
    RunAndLoseReply,
    Refuse(u32),
    LoseAll,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum MessageFate {
    Deliver,
    DeliverTwice,
    Lose,
}

#[derive(Clone, Debug)]
pub(super) enum Transition {
    Issue(usize),
    Start {
        at: usize,
        request: Request,
        body: u8,
        deadline_ms: u64,
    },
    Claim(usize, StoreFate),
    Message(usize, MessageFate),
    Dispatch(usize, UpstreamFate),
    ReplyAgain(usize),
    Advance(u64),
    /// Replaces an instance with a new one that has no state.
    Replace(usize),
    /// Reports to an instance that all replaced instances are unreachable.
    Gone(usize),
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
        let at = || 0..INSTANCES;
        let pick = any::<usize>;
        let request = prop_oneof![
            any::<usize>().prop_map(Request::Ticket),
            (0..3_u8).prop_map(Request::Key),
        ];
        let store = prop_oneof![
            4 => Just(StoreFate::Answered),
            1 => Just(StoreFate::AnswerLost),
            1 => Just(StoreFate::Down),
        ];
        let upstream = prop_oneof![
            4 => Just(UpstreamFate::Run),
            1 => Just(UpstreamFate::RunAndFail),
            1 => Just(UpstreamFate::RunAndLoseReply),
            3 => (0..100_u32).prop_map(UpstreamFate::Refuse),
            1 => Just(UpstreamFate::LoseAll),
        ];
        let message = prop_oneof![
            4 => Just(MessageFate::Deliver),
            1 => Just(MessageFate::DeliverTwice),
            1 => Just(MessageFate::Lose),
        ];
        let body = prop_oneof![9 => Just(0_u8), 1 => Just(1_u8)];
        prop_oneof![
            2 => at().prop_map(Transition::Issue),
            8 => (at(), request, body, 0..500_u64).prop_map(|(at, request, body, deadline_ms)| {
                Transition::Start { at, request, body, deadline_ms }
            }),
            6 => (pick(), store).prop_map(|(at, fate)| Transition::Claim(at, fate)),
            8 => (pick(), message).prop_map(|(at, fate)| Transition::Message(at, fate)),
            8 => (pick(), upstream).prop_map(|(at, fate)| Transition::Dispatch(at, fate)),
            1 => pick().prop_map(Transition::ReplyAgain),
            4 => (1..120_u64).prop_map(Transition::Advance),
            1 => at().prop_map(Transition::Replace),
            1 => at().prop_map(Transition::Gone),
        ]
        .boxed()
    }

    fn apply(events: Events, _: &Transition) -> Events {
        events
    }
}
