"""Tables of measurements, printed as text and written as JSON."""

import json
import pathlib
import typing


class Table(typing.NamedTuple):
    """A named table."""

    name: str
    heads: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]


def render(table: Table) -> str:
    """Return a table in Markdown."""
    lines = [
        f'| {" | ".join(table.heads)} |',
        f'|{" --- |" * len(table.heads)}',
    ]
    lines.extend(f'| {" | ".join(row)} |' for row in table.rows)
    return '\n'.join(lines)


def write(table: Table, path: pathlib.Path) -> None:
    """Write a table as JSON."""
    rows = [list(row) for row in table.rows]
    path.write_text(json.dumps({'heads': table.heads, 'rows': rows}, indent=1))
