"""Whatever is wrong with a message, its reader has to expect one error."""

import msgspec
import pytest

from . import decoding

DEEP = b'[' * 100_000 + b']' * 100_000


@pytest.mark.parametrize(
    'encoded', [b'{', b'"\xff"', b'1e400', DEEP, b'', b'}']
)
def test_bytes_that_cannot_be_read_raise_one_error(encoded):
    with (
        pytest.raises(decoding.MalformedMessageError),
        decoding.translate_errors(),
    ):
        msgspec.json.decode(encoded)


def test_number_that_is_too_large_raises_the_error_of_the_reader():
    with (
        pytest.raises(ConnectionError),
        decoding.translate_errors(ConnectionError),
    ):
        round(float('inf'))


def test_error_does_not_quote_a_whole_message():
    with (
        pytest.raises(decoding.MalformedMessageError) as told,
        decoding.translate_errors(),
    ):
        raise ValueError('x' * 100_000)
    assert len(str(told.value)) == decoding.MAX_ERROR_LENGTH


def test_fault_of_the_program_is_not_taken_for_one_of_the_message():
    with pytest.raises(TypeError), decoding.translate_errors():
        raise TypeError


def nest(depth):
    nested = 1
    for _ in range(depth):
        nested = {'a': [nested]}
    return nested


@pytest.mark.parametrize(
    ('said', 'is_fine'),
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
def test_data_that_no_message_can_carry_has_a_fault(said, is_fine):
    assert bool(decoding.find_encoding_error(said)) is not is_fine
