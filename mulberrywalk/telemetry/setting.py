"""Validation of settings from command-line flags and the environment."""

from __future__ import annotations

import dataclasses
import re
import sys
from collections.abc import Callable

_ADDRESS = re.compile(r'^[0-9A-Za-z.:\[\]-]+:\d{1,5}$')
_NAME = re.compile(r'^[A-Za-z0-9._-]{1,64}$')
_DECIMAL = re.compile(r'^\d{1,9}(\.\d{1,3})?$')
_MAX_PORT = 65_535
_PERMILLE = 1000
EXIT_USAGE = 2


@dataclasses.dataclass(slots=True)
class Checker:
    """Validates the settings of a program and collects all errors."""

    errors: list[str] = dataclasses.field(default_factory=list)

    def name(self, flag: str, text: str) -> str:
        """Check a name of letters, digits, dots, dashes and underscores."""
        return self._check(flag, text, is_name, 'is not a valid name')

    def address(self, flag: str, text: str) -> str:
        """Check an address of the form host:port."""
        return self._check(flag, text, is_address, 'is not host:port')

    def addresses(self, flag: str, text: str) -> tuple[str, ...]:
        """Check a comma-separated list of at least one address."""
        addresses = tuple(part.strip() for part in text.split(',') if part)
        if not addresses:
            self.errors.append(f'{flag}: at least one address is needed')
        return tuple(self.address(flag, part) for part in addresses)

    def optional_address(self, flag: str, text: str) -> str:
        """Check an address that may be empty."""
        return self.address(flag, text) if text else ''

    def number(self, flag: str, text: str, low: int, high: int) -> int:
        """Check a whole number from low to high, both inclusive."""
        is_in_range = text.isdecimal() and low <= int(text) <= high
        if is_in_range:
            return int(text)
        self.errors.append(
            f'{flag}: {text!r} is not a whole number from {low} to {high}'
        )
        return low

    def permille(self, flag: str, text: str, low: int, high: int) -> int:
        """Check a decimal number from low to high; return it in permille."""
        permille = 0
        if _DECIMAL.match(text):
            permille = round(float(text) * _PERMILLE)
        if low * _PERMILLE <= permille <= high * _PERMILLE:
            return permille
        self.errors.append(
            f'{flag}: {text!r} is not a number from {low} to {high}'
        )
        return low * _PERMILLE

    def choice(self, flag: str, text: str, choices: frozenset[str]) -> str:
        """Check that a text is one of the choices."""
        if text not in choices:
            valid_choices = ', '.join(sorted(choices))
            self.errors.append(
                f'{flag}: {text!r} is not one of {valid_choices}'
            )
        return text

    def exit_on_errors(self) -> None:
        """Print all errors and exit if there are any; raises SystemExit."""
        if not self.errors:
            return
        sys.stderr.writelines(f'{error}\n' for error in self.errors)
        sys.exit(EXIT_USAGE)

    def _check(
        self,
        flag: str,
        text: str,
        is_valid: Callable[[str], bool],
        message: str,
    ) -> str:
        if not is_valid(text):
            self.errors.append(f'{flag}: {text!r} {message}')
        return text


def is_address(text: str) -> bool:
    """Return whether a text has the form host:port, with a valid port."""
    if not _ADDRESS.match(text):
        return False
    return 0 < int(text.rpartition(':')[2]) <= _MAX_PORT


def is_name(text: str) -> bool:
    """Return whether a text is valid as the name of a process or place."""
    return bool(_NAME.match(text))
