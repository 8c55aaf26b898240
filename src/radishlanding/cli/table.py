"""Output of commands as a table or as JSON."""

import json


def print_table(columns, rows):
    """Print rows in aligned columns.

    :param columns: Names of the columns.
    :param rows: Sequences of values, one value for each column.
    """
    texts = [list(columns), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    for row in texts:
        cells = (
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        print("  ".join(cells).rstrip())


def print_json(value):
    """Print a value as indented JSON."""
    print(json.dumps(value, indent=2))
