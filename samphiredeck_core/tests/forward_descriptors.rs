//! The shares of a node's file descriptors.

use samphiredeck_core::forward::descriptor_shares::DescriptorShares;

/// Guards against connections of others that leave a node too few descriptors for its own.
#[test]
fn connections_of_others_leave_room_for_those_of_the_node() {
    for limit in [128, 1_000, 1_024, 3_075, 4_096, 8_192, 10_250] {
        let shares = DescriptorShares::of(Some(limit));
        let taken = shares.callers + 2 * shares.tunnels + 2 * shares.probes;
        let left = usize::try_from(limit).unwrap() - taken;
        assert!(left >= usize::try_from(limit).unwrap() / 8, "{limit}: {shares:?}");
        assert!(shares.callers >= 64 && shares.tunnels >= 16 && shares.probes >= 4);
    }
    // The counterpart: larger machines have the numbers that they had.
    for limit in [Some(4_096), Some(1_048_576), None] {
        let shares = DescriptorShares::of(limit);
        assert_eq!((shares.callers, shares.tunnels), (1_800, 500), "{limit:?}");
    }
    assert_eq!(DescriptorShares::of(Some(0)).callers, 1);
}
