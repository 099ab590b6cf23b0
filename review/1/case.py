"""An upstream leaves while the node beside it is stopping as planned."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review import standins  # noqa: E402

# TROUBLE=0 plays the case without the disruption.
_HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

_LEAVES_AFTER_S = 1.0
# Seconds for which the upstream serves on after its leaving is acknowledged.
_STAYS_S = 10.0


async def play(world: standins.World, has_trouble: bool) -> int:
    """Stop node n0, let its upstream leave, start n0 again, and judge."""
    world.prepare_orders()
    world.start_clients((7, 9))
    await asyncio.sleep(3.0)
    stop = None
    if has_trouble:
        stop = asyncio.ensure_future(_roll(world.nodes[0]))
    await asyncio.sleep(_LEAVES_AFTER_S)
    await world.upstreams[0].leave()
    if stop is not None:
        await stop
    left_at = world.upstreams[0].left_at
    await asyncio.sleep(left_at + _STAYS_S - world.record.now)
    in_touch_from = world.nodes[0].started_at + standins.STABLE_WINDOW_S
    return await standins.judge_drain(world, 0, (7, 9), in_touch_from)


async def _roll(node: standins.Node) -> None:
    await node.terminate()
    await node.restart()


if __name__ == "__main__":
    standins.main(__file__, play, _HAS_TROUBLE)
