"""Frames are found and told from arbitrary bytes, quickly."""

import random
import time

from . import frame

TORN_BYTES = 300_000
# A replica that comes back is waited for.
LONGEST_S = 0.7


def test_a_large_torn_end_is_told_quickly():
    intact = frame.pack(b'first')
    torn = frame.pack(random.Random(1).randbytes(TORN_BYTES))[:-1]
    began_at = time.process_time()
    found = frame.unpack(intact + torn)
    assert time.process_time() - began_at < LONGEST_S
    assert found.payloads == [b'first']
    assert not found.is_damaged


def test_a_frame_behind_a_bad_one_tells_damage():
    blob = bytearray(frame.pack(b'first') + frame.pack(b'second'))
    blob[len(frame.pack(b'first')) - 1] ^= 1
    assert frame.unpack(bytes(blob)).is_damaged
