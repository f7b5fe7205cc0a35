"""Servers that leave get requests from gateways whose own channels work, while another gateway's are reset."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import stand

GATEWAYS = 9
# The bounds of the sheets whose failure domains have that many gateways.
BOUNDS = {**stand.BOUNDS, "config_ms": 3000, "drain_ms": 3000, "repeat_extra": 255}
DRAIN_S = 3.0
# A server that leaves serves on for `drain_ms`, at times for many seconds more.
SERVES_ON_S = 12.0
RESETS = 5
RESET_GAP_S = 1.5


class StoreProxy:
    """A way to the store whose open channels can be reset; new ones work at once."""

    def __init__(self, store):
        self.store = store
        self.pairs = set()
        self.waiting = None
        self.port = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self.server = server

    async def serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.store.server.address)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, far_writer)
        self.pairs.add(pair)

        async def copy(source, sink):
            try:
                while data := await source.read(65536):
                    if source is reader and b"rows-feed?table=servers&" in data:
                        self.waiting = pair
                    elif source is far_reader and self.waiting == pair:
                        self.waiting = None
                    sink.write(data)
                    await sink.drain()
            except OSError:
                pass
            sink.close()

        await asyncio.gather(copy(reader, far_writer), copy(far_reader, writer))
        self.pairs.discard(pair)

    async def reset(self):
        """Resets all channels while a call for changes of the servers' entries waits for them."""
        while self.waiting not in self.pairs:
            await asyncio.sleep(0.01)
        count = len(self.pairs)
        for pair in list(self.pairs):
            for writer in pair:
                writer.transport.abort()
        return count


def find_root(gateways):
    """The gateway of the failure domain that reads the store for the others: it follows none."""
    roots = [gateway for gateway in gateways if not gateway.log_lines('"feed_followed"')]
    return roots[0] if len(roots) == 1 else None


async def case(scratch, record, gateways, with_trouble):
    store = stand.Store(record)
    await store.start()
    store.put("op", "config", stand.manifest(1, [
        stand.route("pay", "/pay/", "non_idempotent", "office"),
        stand.route("look", "/look/", "idempotent", "office"),
    ], ["office"], {"desk": ["key"]}))
    servers = [stand.PlainServer(store, record, f"i-office-{index}", "office") for index in range(4)]
    for server in servers:
        await server.start()
        await asyncio.sleep(0.1)
    proxies = {}
    for index in range(GATEWAYS):
        proxy = StoreProxy(store)
        await proxy.start()
        name = f"front-{index}"
        proxies[name] = proxy
        gateways.append(stand.Gateway(scratch, name, f"127.0.0.1:{proxy.port}", BOUNDS))
        await gateways[-1].start()
    for gateway in gateways:
        await gateway.wait_ready()
    until = stand.now() + 25
    while (root := find_root(gateways)) is None:
        if stand.now() > until:
            raise stand.CouldNotRun("no gateway reads the store for the others")
        await asyncio.sleep(0.2)
    followers = [gateway for gateway in gateways if gateway is not root]
    record.add("root", gateway=root.name)
    client = stand.Client(record)

    async def load():
        while True:
            for gateway in followers:
                stand.spawn(client.call(gateway, "POST", "/pay/fee", "key", "pay"))
            await asyncio.sleep(0.2)

    loading = stand.spawn(load())
    await asyncio.sleep(8)

    async def reset():
        for _ in range(RESETS):
            record.add("reset", gateway=root.name, channels=await proxies[root.name].reset())
            await asyncio.sleep(RESET_GAP_S)

    if with_trouble:
        resetting = stand.spawn(reset())
        await asyncio.sleep(0.4)
    leaving = servers[:2]
    for server in leaving:
        gone_at = server.unlist()
        record.add("removal_confirmed", server=server.name)
    await asyncio.sleep(SERVES_ON_S)
    for server in leaving:
        await server.server.stop()
    await asyncio.sleep(2)
    loading.cancel()
    await asyncio.sleep(2.5)

    due_at = gone_at + DRAIN_S
    late = [at - gone_at for server in leaving for at, _ in server.runs if at > due_at]
    others = sum(1 for server in servers[2:] for at, _ in server.runs if at > due_at)
    if others < 50:
        raise stand.CouldNotRun(f"only {others} requests ran at the other servers")
    text = (f"{len(late)} requests of gateways whose channels were never reset ran at servers that had left, later "
            f"than {DRAIN_S:.0f} s after the store had confirmed it, the last {max(late, default=0):.1f} s "
            f"after; {others} ran at the others meanwhile")
    return not late, text


stand.run_case(Path(__file__).resolve().parent, case)
