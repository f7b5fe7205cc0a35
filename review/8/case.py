"""A server fails part of the payments that it runs, with a status of its own that promises that nothing has run."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
from stand import (
    BROKEN, CANNOT_RUN, HELD, TROUBLE, Gateway, Server, Store, configuration, encode_response, read_response,
    request_bytes, run_case, signed,
)

PAYMENTS = 60
WORK_S = 0.015
FAILED_OF_TEN = 4


def make_server(record, book):
    """A server of payments. Once it has entered a payment into the book, part of its answers are failures."""

    async def pay(server, request, _reader, writer):
        request_id = request.header("X-Request-Id")
        await asyncio.sleep(WORK_S)
        book.append((request.body.decode(), request_id))
        server.runs.append(request_id)
        is_grey = TROUBLE and server.name == "s0" and len(server.runs) % 10 < FAILED_OF_TEN
        status, body = (503, b"the printer does not respond") if is_grey else (200, b"paid")
        record.say(f"{request_id}: {server.name} ran the payment {request.body.decode()!r} and answers {status}, signed")
        writer.write(encode_response(status, signed(server, request), body))
        return True

    return pay


async def pay_once(gateway, payment, record):
    """A requester: it sends a payment, and once more under another id after a promise that it has not run."""
    refused = []
    for attempt in ("a", "b"):
        request_id = f"{payment}{attempt}"
        reader, writer = await asyncio.open_connection(*gateway.address)
        writer.write(request_bytes("POST", "/pay/1", request_id, payment.encode(), deadline_ms=4000))
        answer = await asyncio.wait_for(read_response(reader), 5.0)
        writer.close()
        status = answer.start.split(" ")[1]
        record.say(f"{request_id}: POST /pay/1 was answered {status}")
        if status not in ("429", "503", "408", "421"):
            return refused
        refused.append(request_id)
        await asyncio.sleep(float(answer.header("Retry-After") or 0.05))
    return refused


async def case(record, folder, gateways):
    store = Store()
    await store.start()
    await store.put("op", "config", configuration())
    book = []
    pay = make_server(record, book)
    for name in ("s0", "s1", "s2"):
        await Server(store, name, pay).start()
    gateway = Gateway(store, folder)
    gateways.append(gateway)
    gateway.start()
    if not await gateway.wait_ready():
        record.say("the process did not become ready")
        return CANNOT_RUN
    await asyncio.sleep(6.0)
    refused = []
    for number in range(PAYMENTS):
        refused += await pay_once(gateway, f"p{number:03x}", record)
        await asyncio.sleep(0.08)
    ran = {request_id for _, request_id in book}
    broken = [request_id for request_id in refused if request_id in ran]
    payments = [payment for payment, _ in book]
    doubled = sorted({payment for payment in payments if payments.count(payment) > 1})
    for request_id in broken:
        record.say(f"REFUSED: {request_id} has run, and its requester was told that it has not and never will")
    record.say(f"{PAYMENTS} payments, {len(broken)} attempts were refused that had run, {len(doubled)} payments ran twice")
    return BROKEN if broken else HELD


run_case(HERE, case)
