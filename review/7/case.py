"""An upstream that has left gets work again after a restart of the node beside it."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, os.pardir, "common-2"))
sys.dont_write_bytecode = True
import mesh as meshes  # noqa: E402

DRAIN, STABLE = meshes.BOUNDS["drain"], meshes.BOUNDS["stable"]
# Times in seconds after the acknowledgement of the leaving.
KILL_AT, RESTART_AT, LATE_BEAT_AT, EXIT_AT, END_AT = 0.3, 0.8, 2.8, 7.0, 8.0
REQUEST_INTERVAL = 0.05


def load(machine, until, answers):
    while time.monotonic() < until:
        started = time.monotonic()
        answers.append(machine.request("/orders/book", "POST", body=b"one bag"))
        time.sleep(max(0.0, REQUEST_INTERVAL - (time.monotonic() - started)))


def case(mesh):
    record = mesh.record
    for number, (zone, service) in enumerate(
        [("zone-a", "orders"), ("zone-b", "orders"), ("zone-a", "prices"), ("zone-b", "prices")]
    ):
        mesh.add(f"machine-{number + 1}", zone, service)
    mesh.start(meshes.configuration(1, ["orders", "prices"], "non_idempotent"))
    first, entries = mesh.machines[0], mesh.machines[1:]
    leaver = first.upstream

    def is_used():
        for entry in entries:
            entry.request("/orders/warm", "POST", body=b"")
        return len(leaver.runs) >= 3

    mesh.wait("both upstreams of the service are in use", is_used)
    time.sleep(STABLE)

    leaver.beating = False
    late_beat = leaver.message()
    record.write(f"HEARTBEAT seq {leaver.seq} of {leaver.id}, ready, is sent and delayed")
    if not leaver.send("DELETE"):
        raise meshes.CannotRun("the leaving wasn't acknowledged")
    left_at, start = record.now(), time.monotonic()
    record.write(f"LEAVING of {leaver.id} acknowledged by the node of {first.name}")
    leaver.state = "left"

    answers, until = [], start + END_AT
    clients = [threading.Thread(target=load, args=(e, until, answers)) for e in entries]
    for client in clients:
        client.start()
    restarted_at = None
    sleep_to = lambda at: time.sleep(max(0.0, start + at - time.monotonic()))
    if meshes.TROUBLE:
        sleep_to(KILL_AT)
        first.kill()
        sleep_to(RESTART_AT)
        first.start()
        restarted_at = first.started_at
    sleep_to(LATE_BEAT_AT)
    is_acknowledged = leaver.send("PUT", late_beat)
    record.write(f"the late HEARTBEAT of {leaver.id} arrives, acknowledged: {is_acknowledged}")
    sleep_to(EXIT_AT)
    record.write(f"upstream {leaver.id} ends")
    leaver.exit()
    for client in clients:
        client.join()

    # All machines are in touch again `stable` after the start of the process.
    calm_from = left_at if restarted_at is None else restarted_at + STABLE
    sent = {answer["id"]: answer for answer in answers}
    late = [r for r in leaver.runs if r["id"] in sent and r["at"] > max(left_at + DRAIN, calm_from)]
    lost = [r for r in late if sent[r["id"]]["status"] != 200]
    for run in late[:3] + lost:
        record.write(f"BROKEN: {run['id']} reaches {leaver.id} {run['at'] - left_at:.3f} s after the "
                     f"acknowledgement; its client got {sent[run['id']]['status']}")
    print(f"{len(late)} requests reached the upstream later than {DRAIN} s after the acknowledgement, "
          f"from machines in touch; {len(lost)} of them weren't answered by it")
    return not late


meshes.main(FOLDER, case)
