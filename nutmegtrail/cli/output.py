"""Output and exit codes of the commands."""

import typing

import orjson
import typer

from nutmegtrail import errors
from nutmegtrail.cli import const
from nutmegtrail.configuration import errors as configuration_errors


def show(document: object, *, as_json: bool, text: str) -> None:
    """Print a document as JSON, or the given text."""
    if as_json:
        typer.echo(orjson.dumps(document, default=str).decode())
    else:
        typer.echo(text)


def fail(error: errors.NutmegtrailError) -> typing.NoReturn:
    """Print an error and exit with its exit code."""
    typer.echo(f'error: {error}', err=True)
    raise typer.Exit(_exit_code(error))


def _exit_code(error: errors.NutmegtrailError) -> int:
    """Return the exit code of an error."""
    if isinstance(error, configuration_errors.EditConflict):
        return const.EXIT_CONFLICT
    if isinstance(error, configuration_errors.ServiceUnavailable):
        return const.EXIT_UNAVAILABLE
    if isinstance(error, configuration_errors.EditOutcomeUnknown):
        return const.EXIT_UNKNOWN
    return const.EXIT_SETTINGS
