"""Program `trefoilwind-standin-caller`: a caller for tests."""

import sys
import time

import cyclopts

from trefoilwind.cmd import common
from trefoilwind.standins import caller

app = cyclopts.App(help="Stand-in for a caller.")

_MAX_SECONDS = 600.0


@app.default
def run(
    path: str,
    *entry: str,
    seconds: float = 10.0,
    method: str = "GET",
) -> None:
    """Call entry nodes in turn; exit with 1 if an answer was lost.

    Args:
        path: Path to call, such as /catalogue/proofs/7.
        entry: URLs of the entry nodes, at their caller_address.
        seconds: Duration in seconds.
        method: HTTP method.
    """
    if not entry:
        common.fail("no URL of an entry node given")
    for url in entry:
        common.check_url("entry", url)
    if not 0 < seconds <= _MAX_SECONDS:
        common.fail(f"--seconds: expected above 0 and at most {_MAX_SECONDS}")
    user = caller.Caller(entry, (caller.Call(method, path),))
    user.start()
    print(f"calling {path} for {seconds:g} s", flush=True)
    time.sleep(seconds)
    user.stop()
    print(f"{user.answered} answered, {user.failed} failed, {user.lost} lost")
    if user.lost:
        sys.exit(common.EXIT_FAILED)


def main() -> None:
    """Run the program."""
    common.run(app)


if __name__ == "__main__":
    main()
