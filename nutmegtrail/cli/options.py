"""Options shared by several commands."""

import pathlib
import typing

import typer

KeyValue = typing.Annotated[
    str,
    typer.Option(
        help='Address of the key-value service as ip:port.',
        envvar='NUTMEGTRAIL_KEY_VALUE',
    ),
]
HostList = typing.Annotated[
    str,
    typer.Option(
        help='Address of the host list as ip:port.',
        envvar='NUTMEGTRAIL_HOST_LIST',
    ),
]
Token = typing.Annotated[
    str,
    typer.Option(
        help='Operator token.',
        envvar='NUTMEGTRAIL_OPERATOR_TOKEN',
    ),
]
Operator = typing.Annotated[
    str,
    typer.Option(help='Your name, recorded in the history.', envvar='USER'),
]
AsJson = typing.Annotated[
    bool,
    typer.Option('--json', help='Print JSON output.'),
]
DryRun = typing.Annotated[
    bool,
    typer.Option('--dry-run', help='Show the changes without applying them.'),
]
File = typing.Annotated[
    pathlib.Path,
    typer.Argument(help='TOML file.', show_default=False),
]
