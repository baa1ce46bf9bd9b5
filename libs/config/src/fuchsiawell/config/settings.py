"""Settings of one daemon: who it is, where it listens, where the platform is."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum, unique
from ipaddress import ip_address
from typing import TYPE_CHECKING, Annotated

from pydantic import AfterValidator, Field, ValidationError, model_validator
from result import Err, Ok, Result

from fuchsiawell.config.border import BorderModel, Name, mistakes_of
from fuchsiawell.core import CellName, DaemonId

if TYPE_CHECKING:
    from pathlib import Path

__all__ = [
    "Address",
    "DaemonSettings",
    "Limits",
    "LogLevel",
    "Settings",
    "SettingsError",
    "address_in",
    "load_settings",
    "parse_address",
    "parse_settings",
]

MAX_PORT = 65_535


@unique
class LogLevel(StrEnum):
    """Name the least severe events that are logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """Hold an IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return `host:port`, with brackets around an IPv6 number."""
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Limits:
    """Bound what callers may make a daemon hold."""

    max_connections: int = 4_000  # open connections of callers
    max_requests_in_flight: int = 2_000
    max_header_bytes: int = 16_384
    header_timeout_s: float = 10.0  # from the first byte of a request to the end of its headers
    body_idle_timeout_s: float = 30.0  # without a byte of the body
    idle_timeout_s: float = 75.0  # a keep-alive connection without a request
    stop_timeout_s: float = 120.0  # a graceful stop waits so long for requests in flight


@dataclass(frozen=True, slots=True)
class Settings:
    """Hold the validated settings of a daemon."""

    daemon: DaemonId
    cell: CellName
    region: str
    zone: str
    caller_address: Address
    peer_address: Address
    operator_address: Address  # metrics, status, /live and /ready
    store_url: str
    host_list_url: str
    log_level: LogLevel = LogLevel.INFO
    limits: Limits = Limits()
    balancers: tuple[str, ...] = ()  # IP numbers whose X-Forwarded-For names the caller


@dataclass(frozen=True, slots=True)
class SettingsError:
    """List every mistake of a settings file."""

    step: str
    peer: str  # the file
    mistakes: tuple[str, ...]

    def __str__(self) -> str:
        """Return the mistakes, one a line."""
        lines = "\n".join(f"  {mistake}" for mistake in self.mistakes)
        return f"{self.step} at {self.peer}:\n{lines}"


def parse_address(text: str) -> Address:
    """Return the address written as `IP:port`, or raise `ValueError`."""
    host, colon, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not colon or not port.isascii() or not port.isdigit():
        raise ValueError(f"{text!r} is not an IP number and a port, as in 127.0.0.1:8080")
    try:
        ip_address(host)
    except ValueError:
        raise ValueError(f"{host!r} is not an IP number") from None
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"port {port} is not between 1 and {MAX_PORT}")
    return Address(host, int(port))


def address_in(url: str) -> str:
    """Return the address of an `http://IP:port` URL, or raise `ValueError`."""
    scheme, separator, rest = url.partition("://")
    if scheme != "http" or not separator:
        raise ValueError(f"{url!r} is not a URL, as in http://127.0.0.1:2379")
    return str(parse_address(rest.partition("/")[0]))


def _checked_address(text: str) -> str:
    parse_address(text)
    return text


def _checked_url(text: str) -> str:
    address_in(text)
    return text.rstrip("/")


def _checked_ip(text: str) -> str:
    try:
        return str(ip_address(text))
    except ValueError:
        raise ValueError(f"{text!r} is not an IP number") from None


IpText = Annotated[str, AfterValidator(_checked_ip)]
AddressText = Annotated[str, AfterValidator(_checked_address)]
UrlText = Annotated[str, AfterValidator(_checked_url)]
Count = Annotated[int, Field(ge=1)]
Seconds = Annotated[float, Field(gt=0)]


class LimitsModel(BorderModel):
    """Validate the limits of a settings file."""

    max_connections: Count = Limits().max_connections
    max_requests_in_flight: Count = Limits().max_requests_in_flight
    max_header_bytes: Annotated[int, Field(ge=1_024)] = Limits().max_header_bytes
    header_timeout_s: Seconds = Limits().header_timeout_s
    body_idle_timeout_s: Seconds = Limits().body_idle_timeout_s
    idle_timeout_s: Seconds = Limits().idle_timeout_s
    stop_timeout_s: Seconds = Limits().stop_timeout_s

    def to_limits(self) -> Limits:
        """Return the data class used inside."""
        return Limits(**self.model_dump())


class DaemonSettings(BorderModel):
    """Validate a settings file; addresses are `IP:port`, URLs are http."""

    daemon: Name
    cell: Name
    region: Name
    zone: Name
    caller_address: AddressText
    peer_address: AddressText
    operator_address: AddressText
    store_url: UrlText
    host_list_url: UrlText
    log_level: LogLevel = LogLevel.INFO
    limits: LimitsModel = LimitsModel()
    balancers: tuple[IpText, ...] = ()

    @model_validator(mode="after")
    def _addresses_differ(self) -> DaemonSettings:
        addresses = (self.caller_address, self.peer_address, self.operator_address)
        if len(set(addresses)) < len(addresses):
            raise ValueError("caller_address, peer_address and operator_address must differ")
        return self

    def to_settings(self) -> Settings:
        """Return the data class used inside."""
        return Settings(
            daemon=DaemonId(self.daemon),
            cell=CellName(self.cell),
            region=self.region,
            zone=self.zone,
            caller_address=parse_address(self.caller_address),
            peer_address=parse_address(self.peer_address),
            operator_address=parse_address(self.operator_address),
            store_url=self.store_url,
            host_list_url=self.host_list_url,
            log_level=self.log_level,
            limits=self.limits.to_limits(),
            balancers=self.balancers,
        )


def load_settings(path: Path) -> Result[Settings, SettingsError]:
    """Read a settings file; an error lists all mistakes at once."""
    try:
        text = path.read_bytes()
    except OSError as error:
        reason = error.strerror or str(error)
        return Err(SettingsError("read settings", str(path), (reason,)))
    return parse_settings(text, str(path))


def parse_settings(text: bytes | str, peer: str) -> Result[Settings, SettingsError]:
    """Read settings from JSON that came from `peer`."""
    try:
        return Ok(DaemonSettings.model_validate_json(text).to_settings())
    except ValidationError as error:
        return Err(SettingsError("read settings", peer, mistakes_of(error)))
