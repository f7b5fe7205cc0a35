"""A manifest that is confirmed after the store came back from a copy never comes into force."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import stand

COPY_AGE_S = 6.0
AWAY_S = 1.0


def version_of(number):
    """Manifests 1 and 2 pay at `old-office` and hold both keys; 3 pays at `new-office` and drops a key."""
    service = "new-office" if number >= 3 else "old-office"
    keys = ["key-kept"] if number >= 3 else ["key-kept", "key-dropped"]
    return stand.manifest(number, [
        stand.route("pay", "/pay/", "non_idempotent", service),
        stand.route("look", "/look/", "idempotent", "old-office"),
    ], ["old-office", "new-office"], {"desk": keys})


async def case(scratch, record, gateways, with_trouble):
    store = stand.Store(record)
    await store.start()
    store.put("op", "config", version_of(1))
    servers = [stand.PlainServer(store, record, f"i-{service}-{index}", service)
               for service in ("old-office", "new-office") for index in range(4)]
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
                stand.spawn(client.call(gateway, "POST", "/pay/fee", "key-kept", "pay"))
                stand.spawn(client.call(gateway, "GET", "/look/1", "key-dropped", "look"))
            await asyncio.sleep(0.25)

    loading = stand.spawn(load())
    await asyncio.sleep(10)
    store.put("op", "config", version_of(2))
    record.add("manifest_confirmed", version=2, row_version=store.version)
    await asyncio.sleep(0.5)
    if with_trouble:
        await store.drill(COPY_AGE_S, AWAY_S)
    await asyncio.sleep(stand.STABILITY_S + 0.2)
    confirmed_at = store.put("op", "config", version_of(3))
    record.add("manifest_confirmed", version=3, row_version=store.version)
    await asyncio.sleep(25)
    loading.cancel()
    await asyncio.sleep(2.5)

    # The bound, and the most by which an unstable store may stretch it.
    due_at = confirmed_at + stand.CONFIG_S + stand.MAX_SKEW_S
    runs = {request: server for server in servers for _, request in server.runs}
    judged = wrong_service = dropped_key = 0
    newest = 0.0
    for request, (sent_at, _, path, key, _) in client.sent.items():
        if sent_at <= due_at:
            continue
        judged += 1
        server = runs.get(request)
        is_old = server is not None and path.startswith("/pay/") and server.service == "old-office"
        is_dropped = server is not None and key == "key-dropped"
        wrong_service += is_old
        dropped_key += is_dropped
        if is_old or is_dropped:
            newest = max(newest, sent_at - confirmed_at)
    record.add("store_calls", count=store.calls)
    if judged < 50:
        raise stand.CouldNotRun(f"only {judged} requests were sent after the bound")
    text = (f"of {judged} requests sent later than {due_at - confirmed_at:.0f} s after manifest 3 was confirmed, "
            f"{wrong_service} payments ran at the old service and {dropped_key} ran with the dropped key, "
            f"the last {newest:.1f} s after it")
    return wrong_service + dropped_key == 0, text


stand.run_case(Path(__file__).resolve().parent, case)
