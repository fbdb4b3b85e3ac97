"""A process ends for a broken invariant only, and tells which."""

import contextlib
import socket
import subprocess
import sys
import time
from types import MappingProxyType

import anyio
import pytest
from anyio.to_thread import run_sync

from demo import cell
from mulberrywalk.consensus import message
from mulberrywalk.storage import disk as storage
from mulberrywalk.transport import channel

DEADLINE_S = 20

# Runs the program with an engine that finds a broken invariant.
BROKEN_PROGRAM = """
import sys
from mulberrywalk.replica import command, engine

async def fail(self):
    raise AssertionError('committed entry 7 would be replaced')

engine.Engine.run = fail
command.main()
"""


REPLICA = ('-m', 'mulberrywalk.replica.command', 'run')
ENTRY = ('-m', 'mulberrywalk.entry.command')


class ProgramProcess:
    """A process of one of the programs, with its log."""

    def __init__(self, folder, address, script):
        self.log = folder / 'process.log'
        options = {
            'name': 'a',
            'data-centre': 'dc',
            'listen': address,
            'replicas': address,
        }
        if script != ENTRY:
            options['data'] = folder / 'data'
        flags = [f'--{name}={text}' for name, text in options.items()]
        with self.log.open('wb') as output:
            self.running = subprocess.Popen(
                [sys.executable, *script, *flags], stdout=output, stderr=output
            )

    def wait_for(self, text):
        """Wait until the log holds a text; fails if the process ends."""
        deadline = time.monotonic() + DEADLINE_S
        while text not in self.log.read_text():
            assert self.running.poll() is None, self.log.read_text()
            assert time.monotonic() < deadline, self.log.read_text()
            time.sleep(0.05)


@pytest.fixture
def start_process(tmp_path):
    with contextlib.ExitStack() as stack:

        def start(address, script=REPLICA):
            process = ProgramProcess(tmp_path, address, script)
            stack.callback(process.running.wait)
            stack.callback(process.running.kill)
            return process

        yield start


def free_address():
    port = cell.free_ports(1)[0]
    return f'127.0.0.1:{port}'


def test_reason_for_the_end_is_the_last_log_line(start_process):
    replica = start_process(free_address(), ('-c', BROKEN_PROGRAM, 'run'))
    assert replica.running.wait(DEADLINE_S) == 1
    text = replica.log.read_text()
    lines = text.strip().splitlines()
    reason = 'AssertionError: committed entry 7 would be replaced'
    assert lines[-1] == reason, lines[-9:]
    assert 'Event loop is closed' not in text


@pytest.mark.parametrize('program', [REPLICA, ENTRY])
def test_address_in_use_ends_no_process(start_process, program):
    address = free_address()
    host, port = address.split(':')
    with socket.create_server((host, int(port))):
        process = start_process(address, program)
        process.wait_for('listen: refused, trying again')
    deadline = time.monotonic() + DEADLINE_S
    while not is_listening(host, int(port)):
        assert process.running.poll() is None
        assert time.monotonic() < deadline
        time.sleep(0.05)


def is_listening(host, port):
    with contextlib.suppress(OSError):
        socket.create_connection((host, port), 1).close()
        return True
    return False


def test_refused_data_folder_ends_no_process(start_process, tmp_path):
    folder = tmp_path / 'data'
    folder.write_text('a file stands where the folder belongs')
    replica = start_process(free_address())
    replica.wait_for('data folder: refused, trying again')
    folder.unlink()
    replica.wait_for('replica running')


def test_silent_peer_ends_no_process(start_process, tmp_path):
    """The replica asks for votes; the other one accepts and never answers."""
    address = free_address()
    other = free_address()
    founders = message.Membership(
        (
            message.Member(message.ReplicaId('a'), address, 'dc', voter=True),
            message.Member(message.ReplicaId('b'), other, 'dc', voter=True),
        )
    )
    storage.create_identity(tmp_path / 'data', founders, 'a')

    async def run():
        server = channel.Server(other)
        await server.start(
            MappingProxyType({channel.PEER: never_answer}),
            MappingProxyType({channel.JOIN: never_answer}),
        )
        replica = start_process(address)
        await run_sync(replica.wait_for, 'role pre_candidate')
        await anyio.sleep(4 * channel.TIMEOUT_S)
        await server.stop()
        return replica

    assert anyio.run(run).running.poll() is None


async def never_answer(_):
    await anyio.sleep_forever()
