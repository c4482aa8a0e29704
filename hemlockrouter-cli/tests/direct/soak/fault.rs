//! The faults of the soak test.

use std::time::Duration;

use hemlockrouter_corporation_lab::Behaviour;
use hemlockrouter_corporation_lab::StoreFault;
use hemlockrouter_lab::link::LinkCondition;
use rand::rngs::StdRng;
use rand::RngExt;

use super::DAEMON_COUNT;
use crate::deployment::Deployment;
use crate::deployment::ZONES;

/// The share of misbehaving upstreams that ask for a cooldown when they reject a request.
const COOLDOWN_SHARE: f64 = 0.25;

/// The cooldown that misbehaving upstreams ask for.
const COOLDOWN: Duration = Duration::from_millis(700);

/// A fault. Most faults are undone at a later step.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    Kill(usize),
    ShutDown(usize),
    Freeze(usize),
    ReloadSettings(usize),
    CutFromStore(usize, LinkCondition),
    Store(StoreFault),
    SlowStore,
    Compact,
    Upstream(usize, Behaviour),
    Replace(usize),
    Drain(usize),
    Evacuate(usize),
    Configure,
}

impl Fault {
    pub(super) fn random(
        rng: &mut StdRng,
        cooldown_rng: &mut StdRng,
        answer_rng: &mut StdRng,
        status_rng: &mut StdRng,
        upstreams: usize,
    ) -> Fault {
        let daemon = rng.random_range(0..DAEMON_COUNT);
        let upstream = rng.random_range(0..upstreams);
        let behaviour = Behaviour {
            work_duration: Duration::from_millis(rng.random_range(1..60)),
            reject_permille: rng.random_range(0..500),
            lost_response_permille: rng.random_range(0..200),
            unsigned_response_permille: answer_rng.random_range(0..200),
            odd_status_permille: status_rng.random_range(0..200),
            never_responds: rng.random_range(0..4) == 0,
            is_leaving: false,
            fails_health_checks: false,
            omits_id_in_rejections: answer_rng.random(),
            retry_after: cooldown_rng.random_bool(COOLDOWN_SHARE).then_some(COOLDOWN),
        };
        let condition = LinkCondition {
            cut: rng.random(),
            half_open: rng.random(),
            delay_ms: rng.random_range(0..50),
            bytes_per_s: 0,
        };
        let down_kinds = [
            StoreFault::Status503,
            StoreFault::ClosesConnections,
            StoreFault::NeverResponds,
        ];
        match rng.random_range(0..13) {
            0 => Fault::Kill(daemon),
            1 => Fault::ShutDown(daemon),
            2 => Fault::Freeze(daemon),
            3 => Fault::ReloadSettings(daemon),
            4 => Fault::CutFromStore(daemon, condition),
            5 => Fault::Store(down_kinds[rng.random_range(0..down_kinds.len())]),
            6 => Fault::SlowStore,
            7 => Fault::Compact,
            8 => Fault::Upstream(upstream, behaviour),
            9 => Fault::Replace(upstream),
            10 => Fault::Drain(upstream),
            11 => Fault::Evacuate(rng.random_range(0..ZONES.len())),
            _ => Fault::Configure,
        }
    }

    pub(super) fn inject(self, deployment: &mut Deployment) {
        match self {
            Fault::Kill(index) => deployment.daemons[index].kill(),
            Fault::ShutDown(index) => deployment.daemons[index].signal("TERM"),
            Fault::Freeze(index) => deployment.daemons[index].signal("STOP"),
            Fault::ReloadSettings(index) => deployment.daemons[index].signal("HUP"),
            Fault::CutFromStore(index, condition) => {
                deployment.daemons[index].link.set_condition(condition)
            }
            Fault::Store(down) => deployment.store.set_fault(down),
            Fault::SlowStore => deployment.store.set_delay(Duration::from_millis(300)),
            Fault::Compact => deployment.store.compact(),
            Fault::Upstream(index, behaviour) => {
                deployment.upstreams[index].set_behaviour(behaviour)
            }
            Fault::Replace(index) => deployment.upstreams[index].unregister(&deployment.store),
            Fault::Drain(index) => deployment.upstreams[index].register(&deployment.store, true),
            Fault::Evacuate(index) => deployment.store.evacuate(ZONES[index], true),
            Fault::Configure => deployment.write_config(|_| {}),
        }
    }

    pub(super) fn undo(self, deployment: &mut Deployment) {
        match self {
            Fault::Kill(index) => deployment.start_daemon(index),
            Fault::ShutDown(index) => {
                // The graceful shutdown may still be running. Killing the daemon here does not
                // count as another fault.
                deployment.daemons[index].kill();
                deployment.start_daemon(index);
            }
            Fault::Freeze(index) => deployment.daemons[index].signal("CONT"),
            Fault::CutFromStore(index, _) => deployment.daemons[index]
                .link
                .set_condition(LinkCondition::default()),
            Fault::Store(_) => deployment.store.set_fault(StoreFault::Available),
            Fault::SlowStore => deployment.store.set_delay(Duration::ZERO),
            Fault::Upstream(index, _) => {
                deployment.upstreams[index].set_behaviour(Behaviour::default())
            }
            Fault::Replace(index) | Fault::Drain(index) => {
                deployment.upstreams[index].register(&deployment.store, false);
            }
            Fault::Evacuate(index) => deployment.store.evacuate(ZONES[index], false),
            Fault::ReloadSettings(_) | Fault::Compact | Fault::Configure => {}
        }
    }
}
