"""An upstream leaves while its node starts and the store is down.

Another way to the fault of this folder, with one node that is stopped as
planned; it stands beside `run.sh`, and the exit codes are the same.
"""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review import standins  # noqa: E402

# TROUBLE=0 plays the case without the disruption.
_HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

_STORE_DOWN_S = 4.5
_STOP_BEFORE_OUTAGE_S = 2.0
# Seconds for which the upstream serves on after its leaving is acknowledged.
_STAYS_S = 12.0


async def play(world: standins.World, has_trouble: bool) -> int:
    """Restart node n0 while the store is down, let its upstream leave."""
    world.prepare_orders()
    world.start_clients((7, 9))
    await asyncio.sleep(3.0)
    stop = asyncio.ensure_future(world.nodes[0].terminate())
    await asyncio.sleep(_STOP_BEFORE_OUTAGE_S)
    outage = asyncio.ensure_future(_take_down(world, has_trouble))
    await stop
    # Its node is away: the upstream repeats itself until it is acknowledged.
    leave = asyncio.ensure_future(world.upstreams[0].leave())
    await world.nodes[0].restart()
    await leave
    in_touch_from = await outage + standins.STABLE_WINDOW_S
    left_at = world.upstreams[0].left_at
    await asyncio.sleep(left_at + _STAYS_S - world.record.now)
    return await standins.judge_drain(world, 0, (7, 9), in_touch_from)


async def _take_down(world: standins.World, has_trouble: bool) -> float:
    """Take the store down; return the time at which it is back."""
    if has_trouble:
        world.store.mode = "silent"
        world.record.write("store: down, silent")
    await asyncio.sleep(_STORE_DOWN_S)
    world.store.mode = "up"
    world.record.write("store: up")
    return world.record.now


if __name__ == "__main__":
    standins.main(__file__, play, _HAS_TROUBLE)
