"""Settings from flags and environment, checked together."""

from __future__ import annotations

import dataclasses
import re
import sys
from collections.abc import Callable

import typer

_ADDRESS = re.compile(r'^[0-9A-Za-z.:\[\]-]+:\d{1,5}$')
_NAME = re.compile(r'^[A-Za-z0-9._-]{1,64}$')
_MAX_PORT = 65_535
EXIT_USAGE = 2


@dataclasses.dataclass(slots=True)
class Checker:
    """Collects what is wrong with the settings of a program."""

    errors: list[str] = dataclasses.field(default_factory=list)

    def name(self, flag: str, text: str) -> str:
        """Check a name of letters, digits, dots, dashes, underscores."""
        return self._check(flag, text, is_name, 'is not a name')

    def address(self, flag: str, text: str) -> str:
        """Check an address, host:port."""
        return self._check(flag, text, is_address, 'is not host:port')

    def addresses(self, flag: str, text: str) -> tuple[str, ...]:
        """Check a list of addresses with commas between them."""
        listed = tuple(part.strip() for part in text.split(',') if part)
        if not listed:
            self.errors.append(f'{flag}: at least one address is needed')
        return tuple(self.address(flag, part) for part in listed)

    def optional_address(self, flag: str, text: str) -> str:
        """Check an address that may be empty."""
        return self.address(flag, text) if text else ''

    def number(self, flag: str, text: str, low: int, high: int) -> int:
        """Check a whole number within bounds."""
        is_whole = text.isdecimal() and low <= int(text) <= high
        if is_whole:
            return int(text)
        self.errors.append(
            f'{flag}: {text!r} is not a whole number from {low} to {high}'
        )
        return low

    def choice(self, flag: str, text: str, choices: frozenset[str]) -> str:
        """Check that a text is one of several."""
        if text not in choices:
            listed = ', '.join(sorted(choices))
            self.errors.append(f'{flag}: {text!r} is not one of {listed}')
        return text

    def exit_on_errors(self) -> None:
        """Report all errors and leave the program if there are any."""
        if not self.errors:
            return
        sys.stderr.writelines(f'{error}\n' for error in self.errors)
        raise typer.Exit(EXIT_USAGE)

    def _check(
        self,
        flag: str,
        text: str,
        is_valid: Callable[[str], bool],
        complaint: str,
    ) -> str:
        if not is_valid(text):
            self.errors.append(f'{flag}: {text!r} {complaint}')
        return text


def is_address(text: str) -> bool:
    """Return whether a text is host:port."""
    if not _ADDRESS.match(text):
        return False
    return 0 < int(text.rpartition(':')[2]) <= _MAX_PORT


def is_name(text: str) -> bool:
    """Return whether a text can name a process or a place."""
    return bool(_NAME.match(text))
