"""Servers that leave after the store came back from a copy get requests for as long as they serve."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import stand

COPY_AGE_S = 8.0
AWAY_S = 1.0
# A server that leaves serves on for `drain_ms`, at times for many seconds more.
SERVES_ON_S = 12.0


async def case(scratch, record, gateways, with_trouble):
    store = stand.Store(record)
    await store.start()
    store.put("op", "config", stand.manifest(1, [
        stand.route("pay", "/pay/", "non_idempotent", "office"),
        stand.route("look", "/look/", "idempotent", "office"),
    ], ["office"], {"desk": ["key"]}))
    servers = [stand.PlainServer(store, record, f"i-office-{index}", "office") for index in range(6)]
    for server in servers:
        await server.start()
        await asyncio.sleep(0.1)
    for name, zone in (("front-1", "plateau"), ("front-2", "medina")):
        gateways.append(stand.Gateway(scratch, name, store.text_address, zone=zone))
        await gateways[-1].start()
    for gateway in gateways:
        await gateway.wait_ready()
    client = stand.Client(record)

    async def load():
        while True:
            for gateway in gateways:
                stand.spawn(client.call(gateway, "POST", "/pay/fee", "key", "pay"))
                stand.spawn(client.call(gateway, "GET", "/look/1", "key", "look"))
            await asyncio.sleep(0.1)

    loading = stand.spawn(load())
    await asyncio.sleep(12)
    if with_trouble:
        await store.drill(COPY_AGE_S, AWAY_S)
    await asyncio.sleep(stand.STABILITY_S + 0.2)
    leaving = servers[:3]
    for server in leaving:
        gone_at = server.unlist()
        record.add("removal_confirmed", server=server.name, row_version=store.version)
    await asyncio.sleep(SERVES_ON_S)
    for server in leaving:
        await server.server.stop()
    await asyncio.sleep(3)
    loading.cancel()
    await asyncio.sleep(2.5)

    due_at = gone_at + stand.DRAIN_S
    late = [at - gone_at for server in leaving for at, _ in server.runs if at > due_at]
    others = sum(1 for server in servers[3:] for at, _ in server.runs if at > due_at)
    if others < 50:
        raise stand.CouldNotRun(f"only {others} requests ran at the other servers")
    text = (f"{len(late)} requests ran at servers that had left later than {stand.DRAIN_S:.0f} s after the store "
            f"had confirmed it, the last {max(late, default=0):.1f} s after; {others} ran at the others meanwhile")
    return not late, text


stand.run_case(Path(__file__).resolve().parent, case)
