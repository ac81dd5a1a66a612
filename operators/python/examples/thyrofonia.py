"""Prints the configuration of Thyrofonia Labs.

It serves door panels, residents' phones and fitters' tablets.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from savorykeel import Mesh, Objective, Route, Service  # noqa: E402

HOST = "doors.thyrofonia.example"


def configuration() -> Mesh:
    mesh = Mesh()
    mesh.add_service(Service("history", "v1", objective=Objective(0.995, 400, 0.99)))
    mesh.add_service(Service("enroll", "v1", objective=Objective(0.999, 1_000, 0.99)))
    mesh.add_service(Service("gate", "v1", objective=Objective(0.9999, 250, 0.999)))
    mesh.add_service(Service("ring", "v1", objective=Objective(0.9995, 250, 0.99)))

    mesh.add_route(Route("unlock", "gate", "/gate/unlock", idempotent=False, methods=("POST",),
                         host=HOST, urgent=True, timeout_ms=2_000, body_limit_bytes=16_384))
    mesh.add_route(Route("gate-state", "gate", "/gate", idempotent=True, methods=("GET", "HEAD"),
                         host=HOST, timeout_ms=1_000))
    mesh.add_route(Route("ring", "ring", "/ring", idempotent=False, methods=("POST",),
                         host=HOST, urgent=True, timeout_ms=2_000, body_limit_bytes=65_536))
    mesh.add_route(Route("enroll-panel", "enroll", "/panels", idempotent=False, methods=("POST",),
                         host=HOST, timeout_ms=10_000))
    mesh.add_route(Route("panel", "enroll", "/panels", idempotent=True, methods=("GET", "PUT"),
                         host=HOST, timeout_ms=5_000))
    mesh.add_route(Route("history", "history", "/history", idempotent=True, methods=("GET",),
                         host=HOST, timeout_ms=3_000))
    return mesh


if __name__ == "__main__":
    configuration().print()
