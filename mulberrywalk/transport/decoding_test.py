"""Tests that each kind of malformed message raises the same error type.

Readers of messages catch that type only.
"""

import msgspec
import pytest

from . import decoding

DEEPLY_NESTED = b'[' * 100_000 + b']' * 100_000


@pytest.mark.parametrize(
    'encoded', [b'{', b'"\xff"', b'1e400', DEEPLY_NESTED, b'', b'}']
)
def test_undecodable_bytes_raise_malformed_message_error(encoded):
    with (
        pytest.raises(decoding.MalformedMessageError),
        decoding.translate_errors(),
    ):
        msgspec.json.decode(encoded)


def test_number_out_of_range_raises_given_error_type():
    with (
        pytest.raises(ConnectionError),
        decoding.translate_errors(ConnectionError),
    ):
        round(float('inf'))


def test_error_text_does_not_quote_whole_message():
    with (
        pytest.raises(decoding.MalformedMessageError) as raised,
        decoding.translate_errors(),
    ):
        raise ValueError('x' * 100_000)
    assert len(str(raised.value)) == decoding.MAX_ERROR_LENGTH


def test_programming_error_is_not_translated():
    with pytest.raises(TypeError), decoding.translate_errors():
        raise TypeError


def nest(depth):
    nested = 1
    for _ in range(depth):
        nested = {'a': [nested]}
    return nested


@pytest.mark.parametrize(
    ('json_data', 'is_encodable'),
    [
        ({'a': [1, 'x', None, 1.5, True]}, True),
        (nest(7), True),
        (nest(8), False),
        (nest(100_000), False),
        ([2**63 - 1, 1 - 2**63], True),
        ({'a': {'b': [2**63]}}, False),
        (-(10**40), False),
    ],
)
def test_find_encoding_error_detects_unencodable_data(json_data, is_encodable):
    assert bool(decoding.find_encoding_error(json_data)) is not is_encodable
