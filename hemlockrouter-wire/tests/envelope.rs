//! Tests that malformed envelopes and those of other versions are refused.

use hemlockrouter_types::prelude::*;
use hemlockrouter_wire::CancelSubRequests;
use hemlockrouter_wire::DecodeError;
use hemlockrouter_wire::Envelope;
use hemlockrouter_wire::Message;
use proptest::prelude::*;

fn cancel_envelope(seq: u64) -> Envelope {
    let origin = InstanceId(3);
    let ids = vec![SubRequestId { origin, seq }];
    Envelope::new(origin, vec![Message::Cancel(CancelSubRequests { ids })])
}

#[test]
fn envelope_of_another_version_is_refused() {
    let mut bytes = cancel_envelope(1).encode();
    // The first byte opens the array of fields, the second is the version.
    bytes[1] = 99;
    let error = Envelope::decode(&bytes).unwrap_err();
    assert!(matches!(error, DecodeError::Version { version: 99 }));
}

proptest! {
    #[test]
    fn decoding_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let _ = Envelope::decode(&bytes);
    }

    #[test]
    fn truncated_envelopes_are_refused(seq in any::<u64>(), cut in 1usize..8) {
        let bytes = cancel_envelope(seq).encode();
        let truncated = &bytes[..bytes.len() - cut];
        prop_assert!(Envelope::decode(truncated).is_err());
    }
}
