"""Requests at calm machines stay unanswered past their route's timeout while one machine is frozen."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

from mesh import STABLE_S, Server, configuration, request, run_case

TIMEOUT_S = 1.2
DEADLINE_S = 2.5
ROUTE = {"name": "r-stock", "host": "stock.example", "path": "/stock/", "kind": "idempotent",
         "slo": "400ms", "timeout": "1200ms", "service": "dispatch"}
FREEZE_S = 4.0
REQUESTS_PER_S = 20


async def clients(record, machine, stop):
    """Sends requests at a steady rate, each on a new connection."""
    running = set()
    while not stop.is_set():
        running.add(asyncio.create_task(
            request(record, machine, ROUTE, deadline_ms=int(DEADLINE_S * 1000))))
        running = {task for task in running if not task.done()}
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*running)


async def case(mesh, record, trouble):
    services = ("dispatch", "orders", "orders", "orders")
    zones = ("bole", "akaki", "bole", "akaki")
    machines = [mesh.machine(zone, service) for zone, service in zip(zones, services)]
    await mesh.start(configuration(1, [ROUTE], ["dispatch", "orders"]))
    for machine in machines:
        await Server(mesh, machine, work_s=0.048).start()
    await asyncio.sleep(4)
    stop, frozen = asyncio.Event(), machines[0]
    loads = [asyncio.create_task(clients(record, machine, stop)) for machine in machines[1:]]
    await asyncio.sleep(STABLE_S + 2)
    if trouble:
        frozen.process.send_signal(signal.SIGSTOP)
        record.add("node-frozen", machine=frozen.name)
    await asyncio.sleep(FREEZE_S)
    if trouble:
        frozen.process.send_signal(signal.SIGCONT)
        record.add("node-woken", machine=frozen.name)
    await asyncio.sleep(3)
    stop.set()
    await asyncio.gather(*loads)
    return judge(record)


def judge(record):
    """Compares the requests that were unanswered at the timeout and half a second later."""
    sent = {event["id"]: event["at"] for event in record.of("sent")}
    answers = {event["id"]: event for event in record.of("answered")}
    at_timeout = [i for i in sent if answers[i]["at"] > sent[i] + TIMEOUT_S]
    later = [i for i in at_timeout if answers[i]["at"] > sent[i] + TIMEOUT_S + 0.5]
    never = [i for i in sent if answers[i]["status"] == "closed"]
    summary = [f"sent: {len(sent)}; unanswered at the route's timeout: {len(at_timeout)}; of these "
               f"half a second later: {len(later)}; never answered before the client's deadline: "
               f"{len(never)}"]
    return len(later) * 2 > len(at_timeout), summary


run_case(FOLDER, case)
