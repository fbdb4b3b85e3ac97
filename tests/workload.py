"""Callers and operators that send requests to a cell during faults."""

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
    """The number of clients and the kind of requests they send.

    cancel_share is the fraction of requests cancelled right after acceptance.
    If is_balanced is set, clients use only entries that report ready.
    """

    callers: int = 6
    run_ms: int = 60
    cancel_share: float = 0
    is_balanced: bool = False
    operators: int = 2


class Workload:
    """Runs callers and operators in threads and records their history."""

    def __init__(self, running: cell.Cell, mix: Mix, seed: int) -> None:
        """Prepare the workload without starting it."""
        self.history = history.History()
        self.errors: list[str] = []
        self._cell = running
        self._mix = mix
        self._seed = seed
        self._is_stopping = threading.Event()
        self._ready_entries = list(running.entry_addresses)
        self._threads: list[threading.Thread] = []
        self._request_numbers = itertools.count(1)

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
        """Wait for all requests in progress and return the history."""
        self._is_stopping.set()
        for thread in self._threads:
            thread.join(_DEADLINE_S + REQUEST_TIMEOUT_S)
            if thread.is_alive():
                self.errors.append('a caller or operator thread did not stop')
        return self.history

    def _spawn(self, target: Any, *arguments: Any) -> None:
        thread = threading.Thread(target=target, args=arguments, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _run_caller(self, rng: random.Random) -> None:
        with httpx.Client(timeout=REQUEST_TIMEOUT_S) as client:
            while not self._is_stopping.is_set():
                self._submit(client, rng)

    def _submit(self, client: httpx.Client, rng: random.Random) -> None:
        request_id = f'r{next(self._request_numbers)}'
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
            'tasks': [self._build_task(request_id) for _ in range(count)],
        }
        response, is_interrupted = self._submit_until_final(
            client, rng, body, is_cancelled=is_cancelled
        )
        self.history.submissions.append(
            history.Submission(
                request_id,
                is_idempotent,
                is_cancelled,
                _get_outcome(response),
                response.get('job', ''),
                response,
                is_interrupted,
            )
        )

    def _build_task(self, request_id: str) -> dict[str, Any]:
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
        """Resend with the same request id until the final outcome is known."""
        deadline = time.monotonic() + _DEADLINE_S
        response: dict[str, Any] = {'outcome': 'unknown'}
        is_interrupted = False
        while time.monotonic() < deadline:
            address = rng.choice(
                self._ready_entries or self._cell.entry_addresses
            )
            try:
                response = self._submit_once(
                    client, address, body, is_cancelled
                )
            except (httpx.TransportError, ValueError) as error:
                # A refused connection has not carried any request.
                is_interrupted |= not isinstance(error, httpx.ConnectError)
                response = {'outcome': 'unknown'}
            is_known = response['outcome'] == 'job' and response['ended_at']
            is_refused = response['outcome'] == 'not_run'
            if is_known or is_refused:
                break
            time.sleep(_RETRY_S)
        return response, is_interrupted

    def _submit_once(
        self,
        client: httpx.Client,
        address: str,
        body: dict[str, Any],
        is_cancelled: bool,
    ) -> dict[str, Any]:
        url = f'http://{address}/v1/jobs'
        response = client.post(url, json=body).json()
        if 'job' not in response:
            return dict(response)
        job = response['job']
        if is_cancelled:
            client.delete(f'{url}/{job}')
        return dict(client.get(f'{url}/{job}?wait=10').json())

    def _run_operator(self, rng: random.Random) -> None:
        with httpx.Client(timeout=REQUEST_TIMEOUT_S) as client:
            while not self._is_stopping.is_set():
                try:
                    self._patch_configuration(client, rng)
                except (httpx.TransportError, ValueError, KeyError):
                    # Without a response there is nothing to record.
                    time.sleep(_RETRY_S)
                time.sleep(_RETRY_S)

    def _patch_configuration(
        self, client: httpx.Client, rng: random.Random
    ) -> None:
        base_version = self._read_version(client, rng)
        request_id = f'p{next(self._request_numbers)}'
        body = {
            'request_id': request_id,
            'version': base_version,
            'changes': {'teams': {request_id: {'weight': 100}}},
        }
        # The immediate repetition must get the same response.
        responses = [self._send_patch(client, rng, body) for _ in range(2)]
        if len({(one.outcome, one.version) for one in responses}) > 1:
            self.errors.append(
                f'{request_id} got two different responses: {responses}'
            )
        self.history.patches.extend(responses[:1])

    def _read_version(self, client: httpx.Client, rng: random.Random) -> int:
        began_at = time.monotonic()
        address = rng.choice(self._ready_entries or self._cell.entry_addresses)
        configuration = client.get(f'http://{address}/v1/configuration').json()
        version = int(configuration['version'])
        self.history.reads.append(
            history.ConfigurationRead(version, began_at, time.monotonic())
        )
        return version

    def _send_patch(
        self, client: httpx.Client, rng: random.Random, body: dict[str, Any]
    ) -> history.Patch:
        began_at = time.monotonic()
        while True:
            address = rng.choice(
                self._ready_entries or self._cell.entry_addresses
            )
            try:
                response = client.patch(
                    f'http://{address}/v1/configuration', json=body
                ).json()
            except (httpx.TransportError, ValueError):
                response = {'outcome': 'unknown'}
            if response['outcome'] in {'patch_accepted', 'patch_refused'}:
                break
            if time.monotonic() > began_at + _DEADLINE_S:
                raise ValueError('no response to a patch')
            time.sleep(_RETRY_S)
        # A refusal has no version of its own; the current one may advance.
        version = response.get('version', 0)
        return history.Patch(
            body['request_id'],
            body['version'],
            response['outcome'],
            version,
            began_at,
            time.monotonic(),
        )

    def _watch_readiness(self) -> None:
        """Track the ready entries as the platform's load balancer does."""
        with httpx.Client(timeout=1) as client:
            while not self._is_stopping.is_set():
                self._ready_entries = [
                    address
                    for address in self._cell.entry_addresses
                    if _is_ready(client, address)
                ]
                time.sleep(_READY_POLL_S)


def _is_ready(client: httpx.Client, address: str) -> bool:
    try:
        response = client.get(f'http://{address}/v1/ready')
    except httpx.TransportError:
        return False
    return response.status_code == httpx.codes.OK


def _get_outcome(response: dict[str, Any]) -> str:
    if response['outcome'] == 'job':
        return str(response['state'])
    return str(response['outcome'])
