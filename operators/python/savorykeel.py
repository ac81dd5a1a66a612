"""A library for programs by which operators generate the desired configuration.

It depends on the standard library only. A program builds a Mesh and calls
print(); its output is piped into ``savorykeel publish``:

    from savorykeel import Mesh, Route, Service

    mesh = Mesh()
    mesh.add_service(Service("gate", version="v2", by="2026-12-04T18:00:00Z"))
    mesh.add_route(Route("unlock", service="gate", path="/gate/unlock",
                         methods=["POST"], idempotent=False, urgent=True))
    mesh.print()

The fields are described in docs/CONFIGURATION.md. The library raises
ConfigurationError for the mistakes that it detects;
``savorykeel check --configuration -`` and ``savorykeel publish`` run all checks.
"""

import hashlib
import json
import sys
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any, Optional, Union

FORMAT = 1


class ConfigurationError(ValueError):
    """The configuration is invalid."""


@dataclass(frozen=True)
class Objective:
    """The service-level objective of a service."""

    success: float = 0.999
    """Share of requests that must be answered without a failure, 0 to 1."""
    latency_ms: int = 1_000
    """Time in milliseconds within which an answer counts as fast."""
    fast: float = 0.99
    """Share of requests that must be fast, 0 to 1."""

    def to_json(self) -> dict[str, Any]:
        return {"success": self.success, "latency_ms": self.latency_ms, "fast": self.fast}


@dataclass(frozen=True)
class Service:
    """A service and the version of its backend servers that traffic should go to."""

    name: str
    """Name, unique in the configuration."""
    version: str
    """Version of the backend server's software that all traffic should go to."""
    by: Union[str, datetime, None] = None
    """Time by which all traffic should go to it: RFC 3339 text or a datetime with a time zone."""
    objective: Objective = field(default_factory=Objective)
    """Service-level objective."""

    def to_json(self) -> dict[str, Any]:
        document: dict[str, Any] = {"version": self.version, "objective": self.objective.to_json()}
        if self.by is not None:
            document["by"] = _format_time(self.name, self.by)
        return document


@dataclass(frozen=True)
class Route:
    """A route, which sends matching requests to a service."""

    name: str
    """Name, unique in the configuration."""
    service: str
    """Name of the service that requests are sent to."""
    path: str
    """Path prefix; it matches whole segments only."""
    idempotent: bool
    """Whether a request may safely run more than once."""
    methods: tuple[str, ...] = ()
    """Methods that match; any method when empty."""
    host: Optional[str] = None
    """Host name that matches, without a port; any host when absent."""
    urgent: bool = False
    """Whether requests take precedence over others in queues."""
    public: bool = False
    """Whether requests need no key of an account."""
    large_answers: bool = False
    """Whether answers are usually above 16 KiB, for instance downloads."""
    timeout_ms: int = 5_000
    """Longest time in milliseconds that a request may take."""
    body_limit_bytes: int = 1 << 20
    """Largest request body in bytes."""

    def to_json(self) -> dict[str, Any]:
        match: dict[str, Any] = {"path": self.path, "methods": list(self.methods)}
        if self.host is not None:
            match["host"] = self.host
        return {
            "name": self.name,
            "match": match,
            "service": self.service,
            "idempotent": self.idempotent,
            "urgent": self.urgent,
            "public": self.public,
            "large_answers": self.large_answers,
            "timeout_ms": self.timeout_ms,
            "body_limit_bytes": self.body_limit_bytes,
        }


def key_digest(key: str) -> str:
    """Returns the digest of an account's key, as the configuration lists it."""
    return hashlib.sha256(key.encode()).hexdigest()


@dataclass(frozen=True)
class Account:
    """A client account."""

    name: str
    """Name, unique in the configuration."""
    key_digests: tuple[str, ...] = ()
    """Digests of the account's keys; see key_digest."""
    priority: Optional[int] = None
    """Priority of the account's requests, 0 first; that of the route when absent."""
    requests_per_second: Optional[float] = None
    """Quota over all nodes together; none when absent."""
    burst: Optional[float] = None
    """Requests above the rate that may be sent at once."""

    def to_json(self) -> dict[str, Any]:
        return {
            "name": self.name,
            "key_digests": list(self.key_digests),
            "priority": self.priority,
            "requests_per_second": self.requests_per_second,
            "burst": self.burst,
        }


@dataclass(frozen=True)
class Limits:
    """Limits that apply to the whole mesh."""

    retry_share: float = 0.1
    """Retries allowed as a share of requests, 0 to 1."""
    unproven_share: float = 0.05
    """Largest share of a service's traffic that an unproven version may get, 0 to 1."""
    call_depth: int = 32
    """Largest depth of nested calls."""

    def to_json(self) -> dict[str, Any]:
        return {
            "retry_share": self.retry_share,
            "unproven_share": self.unproven_share,
            "call_depth": self.call_depth,
        }


class Mesh:
    """Builder of the whole desired configuration."""

    def __init__(self, limits: Limits = Limits()) -> None:
        self.limits = limits
        self.services: dict[str, Service] = {}
        self.routes: list[Route] = []
        self.accounts: Optional[list[Account]] = None

    def add_service(self, service: Service) -> None:
        """Adds a service; raises ConfigurationError if one of the same name exists."""
        if service.name in self.services:
            raise ConfigurationError(f"service {service.name!r} was added twice")
        self.services[service.name] = service

    def add_route(self, route: Route) -> None:
        """Appends a route; raises ConfigurationError if one of the same name exists.

        A request is handled by the first route that matches it, so add specific
        routes before general ones.
        """
        if any(other.name == route.name for other in self.routes):
            raise ConfigurationError(f"route {route.name!r} was added twice")
        self.routes.append(route)

    def add_account(self, account: Account) -> None:
        """Adds a client account; raises ConfigurationError if one of the same name exists.

        From the first one on, requests to routes that aren't public need a key.
        """
        self.require_keys()
        if any(other.name == account.name for other in self.accounts or []):
            raise ConfigurationError(f"account {account.name!r} was added twice")
        self.accounts.append(account)

    def require_keys(self) -> None:
        """Requires a key on routes that aren't public, even if no account is added."""
        if self.accounts is None:
            self.accounts = []

    def to_json(self) -> dict[str, Any]:
        """Returns the configuration as the JSON object to publish."""
        for route in self.routes:
            if route.service not in self.services:
                raise ConfigurationError(
                    f"route {route.name!r} names the unknown service {route.service!r}"
                )
        return {
            "format": FORMAT,
            "services": {name: service.to_json() for name, service in self.services.items()},
            "routes": [route.to_json() for route in self.routes],
            "limits": self.limits.to_json(),
            "accounts": None
            if self.accounts is None
            else [account.to_json() for account in self.accounts],
        }

    def print(self, file: Any = None) -> None:
        """Prints the configuration as JSON to ``file``, by default standard output.

        Nothing is printed if the configuration is invalid.
        """
        text = json.dumps(self.to_json(), indent=2)
        print(text, file=file or sys.stdout)


def _format_time(service: str, time: Union[str, datetime]) -> str:
    if isinstance(time, str):
        return time
    if time.tzinfo is None:
        raise ConfigurationError(f"service {service!r}: the time {time} has no time zone")
    return time.isoformat()
