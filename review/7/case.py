"""An acknowledged configuration never comes into force, because of the rank of one route."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, os.pardir, "common-2"))
sys.dont_write_bytecode = True
import mesh as meshes  # noqa: E402

CONFIG_APPLY = meshes.BOUNDS["config_apply"]
KINDS = 20
# Largest rank of the configuration without the trouble.
SMALLEST_RANK = 15
CHECK_S, REQUEST_INTERVAL = 10.0, 0.2


def configuration(version, paths, ranks):
    """Returns a configuration with a route for each path, which has a service and a rank."""
    document = meshes.configuration(version, ["orders", "prices"])
    document["listeners"][0]["rules"] = [{
        "name": f"r-{path}", "kind": "non_idempotent", "slo": "500ms", "priority": rank,
        "public": False, "match": {"path_prefix": f"/{path}/"},
        "action": {"service": service, "timeout": "2s", "attempts": 2},
    } for (path, service), rank in zip(paths.items(), ranks)]
    return document


def case(mesh):
    record = mesh.record
    for number, (zone, service) in enumerate(
        [("a", "orders"), ("b", "orders"), ("a", "prices"), ("b", "prices")]
    ):
        mesh.add(f"machine-{number + 1}", f"zone-{zone}", service)
    kept = {f"kind-{n}": "orders" for n in range(KINDS - 2)}
    first = {**kept, "moved": "orders", "dropped": "orders"}
    second = {**kept, "moved": "prices", "added": "orders"}
    mesh.start(configuration(1, first, [0] * KINDS))
    mesh.wait("the routes are served", lambda: all(
        machine.request(f"/{path}/x", "POST", body=b"")["status"] == 200
        for machine in mesh.machines for path in ["moved", "dropped"]))
    time.sleep(meshes.BOUNDS["stable"])

    # Each kind of request has a rank of its own, where 0 is the highest.
    ranks = range(KINDS) if meshes.TROUBLE else [min(n, SMALLEST_RANK) for n in range(KINDS)]
    mesh.store.write("config", configuration(2, second, ranks))
    acknowledged_at = record.now()
    record.write(f"CONFIGURATION 2 acknowledged, with ranks {list(ranks)}")
    time.sleep(CONFIG_APPLY)
    answers, until = [], time.monotonic() + CHECK_S
    while time.monotonic() < until:
        for machine in mesh.machines:
            for path in ["moved", "dropped", "added"]:
                answers.append((path, machine.request(f"/{path}/x", "POST", body=b"")))
        time.sleep(REQUEST_INTERVAL)

    ran_at = {run["id"]: machine.service for machine in mesh.machines
              for run in machine.upstream.runs}
    by_old = {
        "ran at the old service": [a for path, a in answers
                                   if path == "moved" and ran_at.get(a["id"]) == "orders"],
        "ran on a dropped route": [a for path, a in answers
                                   if path == "dropped" and a["id"] in ran_at],
        "refused with 404 on a new route": [a for path, a in answers
                                            if path == "added" and a["status"] == 404],
    }
    text = ", ".join(f"{len(found)} {what}" for what, found in by_old.items())
    text = f"of {len(answers)} requests sent later than {CONFIG_APPLY} s after the acknowledgement, {text}"
    record.write(text)
    print(text)
    return not any(by_old.values())


meshes.main(FOLDER, case)
