"""The command line of the replica program, with its flags and variables."""

from __future__ import annotations

import pathlib
from typing import Annotated

import typer

from ..consensus import message
from ..storage import disk as storage
from ..telemetry import journal, setting
from ..transport import region
from . import membership, program

_LOG_FORMATS = frozenset(('text', 'json'))
_MAX_DURATION_MS = 86_400_000
_MAX_ENTRIES = 10_000_000
_MAX_REMOTE_FACTOR = 100

application = typer.Typer(add_completion=False, no_args_is_help=True)


@application.command()
def init(
    folder: Annotated[str, typer.Option('--data', envvar='MULBERRYWALK_DATA')],
    name: Annotated[str, typer.Option(envvar='MULBERRYWALK_NAME')],
    founders: Annotated[str, typer.Option(envvar='MULBERRYWALK_FOUNDERS')],
) -> None:
    """Write the identity of a founding voter into an empty data folder.

    Founders are NAME=HOST:PORT@DATA_CENTRE with commas between them, the
    same list on each. Run it once, when a cell is first set up, and never
    to replace a lost disk.
    """
    checker = setting.Checker()
    members = tuple(
        parse_founder(checker, part.strip()) for part in founders.split(',')
    )
    if name not in {member.identity for member in members}:
        checker.errors.append(f'--name: {name!r} is not among the founders')
    checker.exit_on_errors()
    try:
        storage.create_identity(
            pathlib.Path(folder), message.Membership(members), name
        )
    except storage.StorageError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(program.EXIT_STORAGE) from error


@application.command()
def run(
    folder: Annotated[
        str, typer.Option('--data', envvar='MULBERRYWALK_DATA')
    ] = '',
    name: Annotated[str, typer.Option(envvar='MULBERRYWALK_NAME')] = '',
    data_centre: Annotated[
        str, typer.Option(envvar='MULBERRYWALK_DATA_CENTRE')
    ] = '',
    listen: Annotated[str, typer.Option(envvar='MULBERRYWALK_LISTEN')] = '',
    advertise: Annotated[
        str, typer.Option(envvar='MULBERRYWALK_ADVERTISE')
    ] = '',
    replicas: Annotated[str, typer.Option(envvar='MULBERRYWALK_REPLICAS')] = '',
    statsd: Annotated[str, typer.Option(envvar='MULBERRYWALK_STATSD')] = '',
    log_format: Annotated[
        str, typer.Option(envvar='MULBERRYWALK_LOG_FORMAT')
    ] = 'text',
    voters: Annotated[str, typer.Option(envvar='MULBERRYWALK_VOTERS')] = '3',
    repair_after_ms: Annotated[
        str, typer.Option(envvar='MULBERRYWALK_REPAIR_AFTER_MS')
    ] = '30000',
    snapshot_entries: Annotated[
        str, typer.Option(envvar='MULBERRYWALK_SNAPSHOT_ENTRIES')
    ] = '20000',
    regions: Annotated[str, typer.Option(envvar='MULBERRYWALK_REGIONS')] = '',
    remote_factor: Annotated[
        str, typer.Option(envvar='MULBERRYWALK_REMOTE_FACTOR')
    ] = '1',
) -> None:
    """Run the replica of a data folder; an empty folder joins as a spare.

    Regions are DATA_CENTRE=REGION with commas between them, the same list on
    each replica.
    """
    checker = setting.Checker()
    if not folder:
        checker.errors.append('--data: a folder is needed')
    settings = program.Settings(
        name=checker.name('--name', name),
        data_centre=checker.name('--data-centre', data_centre),
        listen=checker.address('--listen', listen),
        advertise=checker.address('--advertise', advertise or listen),
        folder=pathlib.Path(folder),
        replicas=checker.addresses('--replicas', replicas),
        statsd=checker.optional_address('--statsd', statsd),
        log_format=checker.choice('--log-format', log_format, _LOG_FORMATS),
        policy=membership.Policy(
            checker.number('--voters', voters, 1, 9),
            checker.number(
                '--repair-after-ms', repair_after_ms, 1000, _MAX_DURATION_MS
            ),
        ),
        snapshot_entries=checker.number(
            '--snapshot-entries', snapshot_entries, 10, _MAX_ENTRIES
        ),
        regions=parse_regions(checker, regions),
        remote_permille=checker.permille(
            '--remote-factor', remote_factor, 1, _MAX_REMOTE_FACTOR
        ),
    )
    checker.exit_on_errors()
    journal.open_log(is_json=settings.log_format == 'json')
    program.run_to_end(settings)


def parse_founder(checker: setting.Checker, text: str) -> message.Member:
    """Parse NAME=HOST:PORT@DATA_CENTRE; errors are added to the checker."""
    name, _, rest = text.partition('=')
    address, _, data_centre = rest.partition('@')
    return message.Member(
        identity=message.ReplicaId(checker.name('--founders', name)),
        address=checker.address('--founders', address),
        data_centre=checker.name('--founders', data_centre),
        voter=True,
    )


def parse_regions(checker: setting.Checker, text: str) -> region.Regions:
    """Parse DATA_CENTRE=REGION lists; errors are added to the checker."""
    pairs = (part.strip().partition('=') for part in text.split(',') if part)
    return region.create(
        {
            checker.name('--regions', data_centre): checker.name(
                '--regions', name
            )
            for data_centre, _, name in pairs
        }
    )


def main() -> None:
    """Run the command line."""
    application()


if __name__ == '__main__':
    main()
