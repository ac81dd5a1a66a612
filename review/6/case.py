"""A machine that is cut off reports a bad version as rolled out, and the others follow."""

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
# Times in seconds after the order.
CUT_AT, HEAL_AT, END_AT = 0.5, 10.5, 18.0
CLIENTS, REQUEST_INTERVAL = 3, 0.06


def load(machine, until, answers):
    while not until.is_set():
        started = time.monotonic()
        answers.append(machine.request("/orders/book", "POST", body=b"one bag"))
        until.wait(max(0.0, REQUEST_INTERVAL - (time.monotonic() - started)))


def watch_status(mesh, old):
    """Stops the old upstreams once the system says that the rollout is complete."""
    seen = None
    while not mesh.is_stopped.is_set():
        status = mesh.store.read("keyed.status", "rollout/orders")
        state = status and status["state"]
        if state != seen:
            mesh.record.write(f"STATUS of the rollout: {state}")
            seen = state
            if state == "complete":
                for machine in old:
                    mesh.record.write(f"upstream {machine.upstream.id} at {machine.name} is stopped")
                    machine.upstream.exit()
        time.sleep(0.05)


def case(mesh):
    record = mesh.record
    old = [mesh.add("machine-1", "zone-a", "orders"), mesh.add("machine-2", "zone-b", "orders")]
    entries = [*old, mesh.add("machine-3", "zone-a", "prices")]
    for machine in entries:
        machine.link = meshes.Link(machine)
        machine.write_settings()
    mesh.start(meshes.configuration(1, ["orders", "prices"], "non_idempotent"))
    mesh.wait("the service is served", lambda: all(
        e.request("/orders/warm", "POST", body=b"")["status"] == 200 for e in entries))
    new = mesh.add("machine-4", "zone-c", "orders", with_link=True)
    new.start()
    mesh.wait_ready()

    answers, until = [], threading.Event()
    clients = [threading.Thread(target=load, args=(entry, until, answers))
               for entry in entries for _ in range(CLIENTS)]
    for client in clients:
        client.start()
    time.sleep(meshes.BOUNDS["stable"])

    threading.Thread(target=watch_status, args=(mesh, old), daemon=True).start()
    order = {"service": "orders", "target_version": "v2", "duration": f"{DURATION_S:.0f}s"}
    mesh.store.write("rollout/orders", order)
    ordered_at, start = record.now(), time.monotonic()
    record.write("ORDER to roll out v2 of orders")
    new.upstream = meshes.Upstream(new, "orders", "v2")
    new.upstream.failing = FAILING
    sleep_to = lambda at: time.sleep(max(0.0, start + at - time.monotonic()))
    if meshes.TROUBLE:
        sleep_to(CUT_AT)
        record.write(f"{new.name} is cut off from the other machines")
        new.link.set_cut({machine.ip for machine in entries})
        for machine in entries:
            machine.link.set_cut({new.ip})
        sleep_to(HEAL_AT)
        for machine in mesh.machines:
            machine.link.set_cut(set())
        record.write(f"the cut of {new.name} has healed")
    sleep_to(END_AT)
    until.set()
    for client in clients:
        client.join()

    sent = {a["id"]: a for a in answers}
    deadline = ordered_at + DURATION_S
    runs = {name: [r for machine in machines for r in machine.upstream.runs
                   if r["id"] in sent and ordered_at <= r["at"] <= deadline]
            for name, machines in [("old", old), ("new", [new])]}
    got, total = len(runs["new"]), len(runs["old"]) + len(runs["new"])
    allowed = EXPOSE_SHARE * total + EXPOSE_SLACK
    cut = [r for r in runs["old"] if r["ended"] is None]
    text = (f"the bad version got {got} of {total} requests in the time of its rollout, {allowed:.0f} "
            f"are allowed; {len(cut)} runs of the old version were cut")
    record.write(text)
    print(text)
    return got <= allowed


meshes.main(FOLDER, case)
