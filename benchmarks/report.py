"""Result tables, rendered as Markdown and written as JSON."""

import json
import pathlib
import typing


class Table(typing.NamedTuple):
    """Table of results."""

    name: str
    headers: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]


def render(table: Table) -> str:
    """Return the table as Markdown."""
    lines = [
        f'| {" | ".join(table.headers)} |',
        f'|{" --- |" * len(table.headers)}',
    ]
    lines.extend(f'| {" | ".join(row)} |' for row in table.rows)
    return '\n'.join(lines)


def write(table: Table, path: pathlib.Path) -> None:
    """Write the column headers and the rows as JSON."""
    rows = [list(row) for row in table.rows]
    path.write_text(
        json.dumps({'heads': table.headers, 'rows': rows}, indent=1)
    )
