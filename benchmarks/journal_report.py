"""Table of the days in journal entries, for the design notes.

python -m benchmarks.journal_report f28071c4 e9a0802e
"""

from collections.abc import Iterator
import dataclasses
import json
import pathlib

import cyclopts

_JOURNAL = pathlib.Path(__file__).resolve().parents[1] / "journal"
_COLUMNS = (
    "entry",
    "site",
    "day",
    "worth",
    "one",
    "served",
    "refused",
    "failed",
    "rules broken",
    "fault",
    "processor s",
    "GB s",
    "store calls",
    "GB zones",
    "GB regions",
    "weakest",
)
# Names of the amounts in a day's prices, in the order of the columns.
_AMOUNTS = (
    "processor seconds",
    "memory, GB x seconds",
    "cloud calls",
    "GB between zones",
    "GB between regions",
)

app = cyclopts.App(help="Print the days of journal entries as a table.")


@dataclasses.dataclass(frozen=True)
class DayRow:
    """One row of the table, as text by column."""

    cells: tuple[str, ...]

    def __str__(self) -> str:
        """Return the row in Markdown."""
        return f"| {' | '.join(self.cells)} |"


def read_rows(entry_id: str, journal: pathlib.Path) -> Iterator[DayRow]:
    """Yield a row for each day of an entry.

    Args:
        entry_id: Id of the entry, the last part of its file's name.
        journal: Folder of the journal.

    Raises:
        FileNotFoundError: No entry has this id.
    """
    paths = sorted(journal.glob(f"*-{entry_id}.json"))
    if not paths:
        raise FileNotFoundError(f"no journal entry {entry_id}")
    entry = json.loads(paths[0].read_text())
    for day in entry["days"]:
        yield _row(entry, day)


def _row(entry: dict, day: dict) -> DayRow:
    prices = {name: (amount, cost) for name, amount, cost in day["prices"]}
    amounts = [prices.get(name, (0.0, 0.0))[0] for name in _AMOUNTS]
    rules = " ".join(f"{name} {n}" for name, n in day["rules"].items())
    return DayRow(
        (
            entry["id"],
            entry["site"],
            day["name"],
            f"{day['G']:.3f}",
            f"{day['top']:.3f}",
            *(f"{day[key]:.3f}" for key in ("served", "refused", "failed")),
            rules or "none",
            (day["fault"] or "none").partition(":")[0],
            *(f"{amount:.3g}" for amount in amounts[:2]),
            f"{amounts[2]:.0f}",
            *(f"{amount:.3f}" for amount in amounts[3:]),
            _weakest(day),
        )
    )


def _weakest(day: dict) -> str:
    """Return the part and the price that cost most."""
    part = max(day["parts"], key=lambda each: each[1] * (1.0 - each[2]))
    price = max(day["prices"], key=lambda each: each[2])
    return f"{part[0]} {part[2]:.3f}; {price[0]} {price[2]:.3f}"


@app.default
def main(*entries: str) -> None:
    """Print the days of some journal entries.

    Args:
        entries: Ids of the entries.
    """
    print(DayRow(_COLUMNS))
    print(DayRow(("---",) * len(_COLUMNS)))
    for entry_id in entries:
        for row in read_rows(entry_id, _JOURNAL):
            print(row)


if __name__ == "__main__":
    app()
