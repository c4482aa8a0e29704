//! Tests of the per-customer limits.

use hemlockrouter_limit::Admission;
use hemlockrouter_types::prelude::*;
use proptest::prelude::*;

use crate::common::catalog;
use crate::common::ms;

fn customer(index: u32) -> CustomerKey {
    CustomerKey::from_raw(index)
}

fn admission(max_in_flight: u32, max_per_second: u32) -> Admission {
    let mut catalog = catalog(0, 1, 1, 2);
    for index in 0..2 {
        let entry = catalog.customers.get_mut(customer(index));
        let entry = entry.expect("the catalogue has two customers");
        entry.max_in_flight = max_in_flight;
        entry.max_per_second = max_per_second;
    }
    let mut admission = Admission::new();
    admission.configure(Time::ZERO, &catalog);
    admission
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Any span of time admits at most one burst plus the rate times the span. A refused request is
    /// admitted after exactly the announced retry delay and not a millisecond earlier. Another
    /// customer is not affected.
    #[test]
    fn rate_limit_and_retry_delay_are_exact(
        max_per_second in 1_u32..2_000,
        gaps_ms in proptest::collection::vec(0_u64..400, 1..300),
    ) {
        let mut admission = admission(u32::MAX, max_per_second);
        let mut now = Time::ZERO;
        let mut admitted = Vec::new();
        for gap_ms in gaps_ms {
            now = now + gap_ms;
            for _ in 0..max_per_second.min(50) {
                match admission.admit(now, customer(0)) {
                    Ok(()) => admitted.push(now),
                    Err(refusal) => {
                        let retry_ms = u64::from(refusal.retry_after_ms);
                        prop_assert!(admission.admit(now + (retry_ms - 1), customer(0)).is_err());
                        now = now + retry_ms;
                        prop_assert!(admission.admit(now, customer(0)).is_ok());
                        admitted.push(now);
                        break;
                    }
                }
            }
        }
        let rate = u64::from(max_per_second);
        for (nth, &from) in admitted.iter().enumerate() {
            let last = *admitted.last().expect("something was admitted");
            let count = (admitted.len() - nth) as u64;
            prop_assert!(count <= rate + rate * last.ms_since(from) / 1_000 + 1);
        }
        prop_assert!(admission.admit(now, customer(1)).is_ok());
    }
}

#[test]
fn in_flight_count_is_bounded_and_kept_on_reconfiguration() {
    let mut admission = admission(2, 1_000);
    admission.admit(ms(0), customer(0)).unwrap();
    admission.admit(ms(0), customer(0)).unwrap();
    let refusal = admission.admit(ms(0), customer(0)).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::CustomerLimit);
    let mut catalog = catalog(0, 1, 1, 2);
    let entry = catalog.customers.get_mut(customer(0)).unwrap();
    entry.max_in_flight = 2;
    admission.configure(ms(1), &catalog);
    assert_eq!(admission.in_flight(customer(0)), 2);
    admission.finish(customer(0));
    assert!(admission.admit(ms(2), customer(0)).is_ok());
}
