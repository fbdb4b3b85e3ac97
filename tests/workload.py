"""Callers and operators that work against a cell while it suffers."""

from __future__ import annotations

import dataclasses
import itertools
import json
import random
import threading
import time
from typing import Any

import httpx

from demo import cell
from tests import history

MEMORY_BYTES = 1_073_741_824
REQUEST_TIMEOUT_S = 30
_RETRY_S = 0.2
_READY_POLL_S = 0.3
_DEADLINE_S = 60.0


@dataclasses.dataclass(frozen=True)
class Mix:
    """What the callers submit.

    cancel_share is the part of requests that are cancelled at once.
    """

    callers: int = 6
    run_ms: int = 60
    cancel_share: float = 0
    is_balanced: bool = False
    operators: int = 2


class Workload:
    """Runs callers and operators in threads and records what they see."""

    def __init__(self, running: cell.Cell, mix: Mix, seed: int) -> None:
        """Prepare; start begins."""
        self.history = history.History()
        self.errors: list[str] = []
        self._cell = running
        self._mix = mix
        self._seed = seed
        self._is_over = threading.Event()
        self._ready = list(running.entry_addresses)
        self._threads: list[threading.Thread] = []
        self._numbers = itertools.count(1)

    def start(self) -> None:
        """Start all callers and operators."""
        if self._mix.is_balanced:
            self._spawn(self._watch_readiness)
        for number in range(self._mix.callers):
            self._spawn(
                self._run_caller, random.Random(self._seed * 100 + number)
            )
        for number in range(self._mix.operators):
            self._spawn(
                self._run_operator,
                random.Random(self._seed * 100 + 50 + number),
            )

    def stop(self) -> history.History:
        """Let everything in progress end and return the history."""
        self._is_over.set()
        for thread in self._threads:
            thread.join(_DEADLINE_S + REQUEST_TIMEOUT_S)
            if thread.is_alive():
                self.errors.append('a caller has not come to an end')
        return self.history

    def _spawn(self, target: Any, *arguments: Any) -> None:
        thread = threading.Thread(target=target, args=arguments, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _run_caller(self, rng: random.Random) -> None:
        with httpx.Client(timeout=REQUEST_TIMEOUT_S) as client:
            while not self._is_over.is_set():
                self._submit(client, rng)

    def _submit(self, client: httpx.Client, rng: random.Random) -> None:
        request_id = f'r{next(self._numbers)}'
        is_idempotent = rng.random() < 0.7
        is_cancelled = rng.random() < self._mix.cancel_share
        kind = rng.choice(['request', 'request', 'batch', 'gang'])
        count = rng.randint(2, 4)
        if kind == 'request' or not is_idempotent:
            count = 1
        body = {
            'request_id': request_id,
            'team': rng.choice(['counter', 'night']),
            'kind': kind,
            'urgency': rng.choice(['critical', 'normal', 'low']),
            'idempotent': is_idempotent,
            'tasks': [self._task(request_id) for _ in range(count)],
        }
        answered, is_interrupted = self._submit_until_final(
            client, rng, body, is_cancelled=is_cancelled
        )
        self.history.submissions.append(
            history.Submission(
                request_id,
                is_idempotent,
                is_cancelled,
                _get_outcome(answered),
                answered.get('job', ''),
                answered,
                is_interrupted,
            )
        )

    def _task(self, request_id: str) -> dict[str, Any]:
        payload = {'run_ms': self._mix.run_ms, 'label': request_id}
        return {
            'millicores': 3000,
            'memory_bytes': MEMORY_BYTES,
            'estimate_ms': self._mix.run_ms,
            'payload': json.dumps(payload),
        }

    def _submit_until_final(
        self,
        client: httpx.Client,
        rng: random.Random,
        body: dict[str, Any],
        *,
        is_cancelled: bool,
    ) -> tuple[dict[str, Any], bool]:
        """Resend under the same id until the end is known."""
        deadline = time.monotonic() + _DEADLINE_S
        answered: dict[str, Any] = {'outcome': 'unknown'}
        is_interrupted = False
        while time.monotonic() < deadline:
            address = rng.choice(self._ready or self._cell.entry_addresses)
            try:
                answered = self._submit_once(
                    client, address, body, is_cancelled
                )
            except (httpx.TransportError, ValueError) as error:
                # A connection that was refused carried no request.
                is_interrupted |= not isinstance(error, httpx.ConnectError)
                answered = {'outcome': 'unknown'}
            is_known = answered['outcome'] == 'job' and answered['ended_at']
            is_refused = answered['outcome'] == 'not_run'
            if is_known or is_refused:
                break
            time.sleep(_RETRY_S)
        return answered, is_interrupted

    def _submit_once(
        self,
        client: httpx.Client,
        address: str,
        body: dict[str, Any],
        is_cancelled: bool,
    ) -> dict[str, Any]:
        url = f'http://{address}/v1/jobs'
        answered = client.post(url, json=body).json()
        if 'job' not in answered:
            return dict(answered)
        job = answered['job']
        if is_cancelled:
            client.delete(f'{url}/{job}')
        return dict(client.get(f'{url}/{job}?wait=10').json())

    def _run_operator(self, rng: random.Random) -> None:
        with httpx.Client(timeout=REQUEST_TIMEOUT_S) as client:
            while not self._is_over.is_set():
                try:
                    self._patch(client, rng)
                except (httpx.TransportError, ValueError, KeyError):
                    # Nothing was told: the record would say nothing.
                    time.sleep(_RETRY_S)
                time.sleep(_RETRY_S)

    def _patch(self, client: httpx.Client, rng: random.Random) -> None:
        base_version = self._read(client, rng)
        request_id = f'p{next(self._numbers)}'
        body = {
            'request_id': request_id,
            'version': base_version,
            'changes': {'teams': {request_id: {'weight': 100}}},
        }
        # Resent at once: the second answer must be the first one.
        answers = [self._send_patch(client, rng, body) for _ in range(2)]
        if len({(one.outcome, one.version) for one in answers}) > 1:
            self.errors.append(f'{request_id} got two answers: {answers}')
        self.history.patches.extend(answers[:1])

    def _read(self, client: httpx.Client, rng: random.Random) -> int:
        began_at = time.monotonic()
        address = rng.choice(self._ready or self._cell.entry_addresses)
        shown = client.get(f'http://{address}/v1/configuration').json()
        version = int(shown['version'])
        self.history.reads.append(
            history.ConfigurationRead(version, began_at, time.monotonic())
        )
        return version

    def _send_patch(
        self, client: httpx.Client, rng: random.Random, body: dict[str, Any]
    ) -> history.Patch:
        began_at = time.monotonic()
        while True:
            address = rng.choice(self._ready or self._cell.entry_addresses)
            try:
                answered = client.patch(
                    f'http://{address}/v1/configuration', json=body
                ).json()
            except (httpx.TransportError, ValueError):
                answered = {'outcome': 'unknown'}
            if answered['outcome'] in {'patch_accepted', 'patch_refused'}:
                break
            if time.monotonic() > began_at + _DEADLINE_S:
                raise ValueError('no answer to a patch')
            time.sleep(_RETRY_S)
        # What is refused names no version of its own: current ones move on.
        version = answered.get('version', 0)
        return history.Patch(
            body['request_id'],
            body['version'],
            answered['outcome'],
            version,
            began_at,
            time.monotonic(),
        )

    def _watch_readiness(self) -> None:
        """Do as the platform's balancer does."""
        with httpx.Client(timeout=1) as client:
            while not self._is_over.is_set():
                self._ready = [
                    address
                    for address in self._cell.entry_addresses
                    if _is_ready(client, address)
                ]
                time.sleep(_READY_POLL_S)


def _is_ready(client: httpx.Client, address: str) -> bool:
    try:
        answered = client.get(f'http://{address}/v1/ready')
    except httpx.TransportError:
        return False
    return answered.status_code == httpx.codes.OK


def _get_outcome(answered: dict[str, Any]) -> str:
    if answered['outcome'] == 'job':
        return str(answered['state'])
    return str(answered['outcome'])
