"""Prints the configuration of Abay Sackworks: prices, orders, payments and dispatch."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from savorykeel import Mesh, Objective, Route, Service  # noqa: E402

HOST = "sacks.abay.example"


def configuration() -> Mesh:
    mesh = Mesh()
    mesh.add_service(Service("pricebook", "v1", objective=Objective(0.999, 300, 0.99)))
    mesh.add_service(Service("orders", "v1", objective=Objective(0.9995, 800, 0.99)))
    mesh.add_service(Service("payments", "v1", objective=Objective(0.9999, 1_000, 0.99)))
    mesh.add_service(Service("dispatch", "v1", objective=Objective(0.999, 800, 0.99)))

    # Services call each other for stock holds and credit status; these calls can't wait in
    # queues behind others.
    mesh.add_route(Route("stock-hold-check", "dispatch", "/dispatch/holds", idempotent=True,
                         methods=("GET",), urgent=True, timeout_ms=500))
    mesh.add_route(Route("stock-hold", "dispatch", "/dispatch/holds", idempotent=False,
                         methods=("POST",), urgent=True, timeout_ms=1_000))
    mesh.add_route(Route("credit-status", "payments", "/payments/credit", idempotent=True,
                         methods=("GET",), urgent=True, timeout_ms=500))

    mesh.add_route(Route("book", "orders", "/orders", idempotent=False, methods=("POST",),
                         host=HOST, timeout_ms=5_000))
    mesh.add_route(Route("order", "orders", "/orders", idempotent=True, methods=("GET",),
                         host=HOST, timeout_ms=3_000))
    mesh.add_route(Route("deposit", "payments", "/payments/deposits", idempotent=False,
                         methods=("POST",), host=HOST, timeout_ms=10_000))
    mesh.add_route(Route("load-lorry", "dispatch", "/dispatch/loads", idempotent=False,
                         methods=("POST",), host=HOST, timeout_ms=5_000))
    mesh.add_route(Route("prices", "pricebook", "/prices", idempotent=True, methods=("GET",),
                         host=HOST, timeout_ms=2_000))
    mesh.add_route(Route("set-price", "pricebook", "/prices", idempotent=True, methods=("PUT",),
                         host=HOST, timeout_ms=5_000))
    return mesh


if __name__ == "__main__":
    configuration().print()
