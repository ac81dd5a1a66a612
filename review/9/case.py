"""An order back to the version that carries the traffic sends all traffic to the other one."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, os.pardir, "common-2"))
sys.dont_write_bytecode = True
import mesh as meshes  # noqa: E402

EXPOSE_SHARE, EXPOSE_SLACK = 0.1, 50
DURATION_S, FAILING = 16.0, 0.5
# Times in seconds after the order of the new version.
ORDER_BACK_AT, BAD_FROM, END_AT = 2.0, 3.0, 17.0
CLIENTS, REQUEST_INTERVAL = 3, 0.06


def load(machine, until, answers):
    while not until.is_set():
        started = time.monotonic()
        answers.append(machine.request("/orders/book", "POST", body=b"one bag"))
        until.wait(max(0.0, REQUEST_INTERVAL - (time.monotonic() - started)))


def watch_status(mesh):
    seen = None
    while not mesh.is_stopped.is_set():
        status = mesh.store.read("keyed.status", "rollout/orders")
        state = status and (status["target_version"], status["state"])
        if state != seen:
            mesh.record.write(f"STATUS of the rollout: {state}")
            seen = state
        time.sleep(0.05)


def case(mesh):
    record = mesh.record
    old = [mesh.add(f"machine-{n}", f"zone-{z}", "orders") for n, z in [(1, "a"), (2, "b")]]
    new = [mesh.add(f"machine-{n}", f"zone-{z}", "orders") for n, z in [(3, "a"), (4, "b")]]
    entries = [mesh.add("machine-5", "zone-a", "prices"), mesh.add("machine-6", "zone-b", "prices")]
    mesh.store.write("config", meshes.configuration(1, ["orders", "prices"], "non_idempotent"))
    for machine in mesh.machines:
        machine.start()
    for machine in old + entries:
        machine.upstream = meshes.Upstream(machine, machine.service)
    mesh.wait_ready()
    mesh.wait("the service is served", lambda: all(
        e.request("/orders/warm", "POST", body=b"")["status"] == 200 for e in entries))

    answers, until = [], threading.Event()
    clients = [threading.Thread(target=load, args=(entry, until, answers))
               for entry in entries for _ in range(CLIENTS)]
    for client in clients:
        client.start()
    time.sleep(meshes.BOUNDS["stable"])

    threading.Thread(target=watch_status, args=(mesh,), daemon=True).start()
    order = {"service": "orders", "target_version": "v2", "duration": f"{DURATION_S:.0f}s"}
    mesh.store.write("rollout/orders", order)
    ordered_at, start = record.now(), time.monotonic()
    record.write("ORDER to roll out v2 of orders")
    for machine in new:
        machine.upstream = meshes.Upstream(machine, "orders", "v2")
    sleep_to = lambda at: time.sleep(max(0.0, start + at - time.monotonic()))
    sleep_to(ORDER_BACK_AT)
    if meshes.TROUBLE:
        mesh.store.write("rollout/orders", {**order, "target_version": "v1"})
        record.write("ORDER to roll out v1 of orders")
    sleep_to(BAD_FROM)
    record.write("v2 begins to fail")
    for machine in new:
        machine.upstream.failing = FAILING
    sleep_to(END_AT)
    until.set()
    for client in clients:
        client.join()

    sent = {answer["id"] for answer in answers}
    deadline = ordered_at + DURATION_S
    runs = {name: [r for machine in machines for r in machine.upstream.runs
                   if r["id"] in sent and ordered_at <= r["at"] <= deadline]
            for name, machines in [("old", old), ("new", new)]}
    got, total = len(runs["new"]), len(runs["old"]) + len(runs["new"])
    allowed = EXPOSE_SHARE * total + EXPOSE_SLACK
    failed = sum(run["status"] == 500 for run in runs["new"])
    text = (f"the bad version got {got} of {total} requests in the time of its rollout, {allowed:.0f} "
            f"are allowed; {failed} of them failed")
    record.write(text)
    print(text)
    return got <= allowed


meshes.main(FOLDER, case)
