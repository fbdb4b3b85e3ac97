"""Token buckets in integer arithmetic, which every replica computes alike."""

from __future__ import annotations

import msgspec

# One job, in millionths: a rate of one millijob per second adds one millionth
# of a job each millisecond.
JOB = 1_000_000
_MS_PER_S = 1000


class Bucket(msgspec.Struct, frozen=True, gc=False):
    """Tokens of a team at a time, in millionths of a job.

    turned_away counts the refused jobs that have not had their turn: it goes
    down at the agreed rate, so that their retries are spread over time.
    """

    tokens: int
    filled_at: int
    turned_away: int = 0


def capacity(millijobs_per_s: int) -> int:
    """Return the jobs of one second, at least one, in millionths of a job."""
    return max(JOB, millijobs_per_s * _MS_PER_S)


def refill(bucket: Bucket, millijobs_per_s: int, now: int) -> Bucket:
    """Return a bucket with the tokens that were added since it was filled."""
    added = max(0, now - bucket.filled_at) * millijobs_per_s
    return Bucket(
        min(capacity(millijobs_per_s), bucket.tokens + added),
        max(now, bucket.filled_at),
        max(0, bucket.turned_away - added),
    )


def wait_ms(bucket: Bucket, millijobs_per_s: int) -> int:
    """Return in how many ms a job gets a token, after those turned away."""
    missing = max(0, JOB + bucket.turned_away - bucket.tokens)
    return -(-missing // max(1, millijobs_per_s))
