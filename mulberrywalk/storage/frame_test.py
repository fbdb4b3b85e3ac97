"""Tests the detection of torn writes and damage, and how long it takes."""

import random
import time

from . import frame

TORN_PAYLOAD_BYTES = 300_000
# The limit on the time that unpack adds to the start of a replica.
MAX_UNPACK_S = 0.7


def test_unpack_detects_a_large_torn_write_quickly():
    intact = frame.pack(b'first')
    torn = frame.pack(random.Random(1).randbytes(TORN_PAYLOAD_BYTES))[:-1]
    started_at = time.process_time()
    frames = frame.unpack(intact + torn)
    assert time.process_time() - started_at < MAX_UNPACK_S
    assert frames.payloads == [b'first']
    assert not frames.is_damaged


def test_unpack_reports_damage_before_an_intact_frame():
    blob = bytearray(frame.pack(b'first') + frame.pack(b'second'))
    blob[len(frame.pack(b'first')) - 1] ^= 1
    assert frame.unpack(bytes(blob)).is_damaged
