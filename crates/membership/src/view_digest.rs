//! The digest of a member's view.

use crate::datagram::DIGEST_BUCKETS;
use crate::member_table::Micros;

/// The digest of a view. Two views with the same live members, states and facts have equal digests.
pub(crate) struct ViewDigest {
    pub(crate) value: u64,
    /// How many times the digest has changed.
    pub(crate) version: u64,
    pub(crate) changed_at: Micros,
}

impl ViewDigest {
    pub(crate) fn new(now: Micros) -> ViewDigest {
        ViewDigest {
            value: 0,
            version: 0,
            changed_at: now,
        }
    }

    /// Recomputes the digest from the digest sums of all buckets.
    pub(crate) fn update(&mut self, now: Micros, bucket_sums: &[u64; DIGEST_BUCKETS]) {
        let value = bucket_sums.iter().fold(0_u64, |digest, sum| {
            digest.rotate_left(7) ^ sum.wrapping_mul(0x9e37_79b9_7f4a_7c15)
        });
        if value != self.value {
            self.value = value;
            self.changed_at = now;
            self.version += 1;
        }
    }
}

/// The digests of the buckets, as sent in messages.
pub(crate) fn bucket_digests(bucket_sums: &[u64; DIGEST_BUCKETS]) -> Vec<u32> {
    bucket_sums
        .iter()
        .map(|sum| (sum ^ (sum >> 32)) as u32)
        .collect()
}
