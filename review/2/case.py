"""An upstream leaves while the store is down; then all nodes are killed."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review import standins  # noqa: E402

# TROUBLE=0 plays the case without the disruption.
_HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

_STORE_DOWN_S = 4.5
_LEAVES_AFTER_S = 0.5
_KILLED_AFTER_S = 0.5
_AWAY_S = 2.0
# Seconds for which the upstream serves on after its leaving is acknowledged.
_STAYS_S = 12.0


async def play(world: standins.World, has_trouble: bool) -> int:
    """Take the store down, let an upstream leave, kill all, and judge."""
    world.prepare_orders()
    world.start_clients((7, 9))
    await asyncio.sleep(3.0)
    outage = None
    if has_trouble:
        outage = asyncio.ensure_future(_take_down(world))
    await asyncio.sleep(_LEAVES_AFTER_S)
    await world.upstreams[0].leave()
    await asyncio.sleep(_KILLED_AFTER_S)
    in_touch_from = 0.0
    if has_trouble:
        await asyncio.gather(*(node.kill() for node in world.nodes))
        await asyncio.sleep(_AWAY_S)
        await asyncio.gather(*(node.start() for node in world.nodes))
        in_touch_from = await outage + standins.STABLE_WINDOW_S
    left_at = world.upstreams[0].left_at
    await asyncio.sleep(left_at + _STAYS_S - world.record.now)
    return await standins.judge_drain(world, 0, (7, 9), in_touch_from)


async def _take_down(world: standins.World) -> float:
    """Take the store down; return the time at which it is back."""
    world.store.mode = "silent"
    world.record.write("store: down, silent")
    await asyncio.sleep(_STORE_DOWN_S)
    world.store.mode = "up"
    world.record.write("store: up")
    return world.record.now


if __name__ == "__main__":
    standins.main(__file__, play, _HAS_TROUBLE)
