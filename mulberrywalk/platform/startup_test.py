"""Starting a program of the platform imports only what it uses."""

import subprocess
import sys

import pytest

# Imports a module and prints all modules that are loaded then.
LIST_MODULES = 'import sys, {module}; print(*sys.modules)'


def list_modules(module):
    command = [sys.executable, '-c', LIST_MODULES.format(module=module)]
    printed = subprocess.run(command, capture_output=True, check=True)
    return set(printed.stdout.decode().split())


@pytest.mark.parametrize('role', ['entry', 'replica'])
def test_start_imports_no_command_line(role):
    loaded = list_modules(f'mulberrywalk.platform.{role}')
    assert f'mulberrywalk.{role}.program' in loaded
    assert 'typer' not in loaded


def test_start_of_an_entry_imports_no_replica():
    loaded = list_modules('mulberrywalk.platform.entry')
    unused = ('mulberrywalk.replica', 'mulberrywalk.consensus.node')
    assert not loaded.intersection(unused)
