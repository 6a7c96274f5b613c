"""Command line of the benchmarks: `script/bench NAME --seed N`."""

import importlib
import pathlib
import typing

import typer

from benchmarks import report

_EXPERIMENTS: typing.Final = (
    'capacity',
    'idle',
    'logging',
    'path',
    'rebalancing',
    'routing',
)


def main(
    name: typing.Annotated[
        str, typer.Argument(help='Name of the experiment.')
    ] = '',
    seed: typing.Annotated[
        int, typer.Option(help='First seed of the random generators.')
    ] = 1,
    output: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help='File to write the table to, as JSON.'),
    ] = None,
) -> None:
    """Run an experiment and print its table; without a name, list all."""
    if name not in _EXPERIMENTS:
        typer.echo('\n'.join(_EXPERIMENTS))
        raise typer.Exit(1 if name else 0)
    experiment = importlib.import_module(f'benchmarks.{name}')
    table = experiment.run(seed)
    typer.echo(report.render(table))
    if output is not None:
        report.write(table, output)


if __name__ == '__main__':
    typer.run(main)
