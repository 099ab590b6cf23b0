"""Measures the time to encode and decode member updates of several sizes.

Run with `python -m benchmarks.message_codec`.
"""

import timeit

from trefoilwind import codec
from trefoilwind.membership import messages
from trefoilwind.model import addresses
from trefoilwind.model import members

REPEATS = 20
SIZES = (1, 10, 100, 1000)


def _update(size: int) -> messages.MemberUpdate:
    leased_members = tuple(
        messages.LeasedMember(
            members.Member(
                node_id=f"node-{index}",
                incarnation=1_700_000_000_000,
                sequence=index,
                data_centre="perth-a",
                peer_address=addresses.Address("127.0.0.1", 7000),
                service="catalogue",
                version="v1",
                slots=20,
            ),
            remaining_s=10.0,
        )
        for index in range(size)
    )
    return messages.MemberUpdate(leased_members)


def main() -> None:
    """Print one line per size."""
    print("entries  bytes/entry  encode us/entry  decode us/entry")
    for size in SIZES:
        update = _update(size)
        data = codec.encode(update)
        rounds = max(1, 2000 // size)

        def best_us(function, size=size, rounds=rounds) -> float:
            times = timeit.repeat(function, number=rounds, repeat=REPEATS)
            return min(times) / rounds / size * 1e6

        encode_us = best_us(lambda update=update: codec.encode(update))
        decode_us = best_us(lambda data=data: codec.decode(data, "benchmark"))
        print(
            f"{size:7d}  {len(data) / size:11.1f}  {encode_us:15.2f}"
            f"  {decode_us:15.2f}"
        )


if __name__ == "__main__":
    main()
