"""Configuration as JSON: decoding validates, encoding is deterministic."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated

from pydantic import Field, ValidationError, model_validator
from result import Err, Ok, Result

from fuchsiawell.config.configuration import (
    Configuration,
    Goal,
    IdStyle,
    Kind,
    Service,
    StoreOutage,
)
from fuchsiawell.config.validation import Name, StrictModel, error_lines
from fuchsiawell.core import CellName, ServiceName

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "MAX_SHARD_COUNT",
    "ConfigurationError",
    "decode_configuration",
    "encode_configuration",
]

# Of a cell, over all services: its assignment record must fit into one value of the store.
MAX_SHARD_COUNT = 4_096


@dataclass(frozen=True, slots=True)
class ConfigurationError:
    """All validation errors of one configuration."""

    step: str
    peer: str  # where the configuration came from, such as a file path
    errors: tuple[str, ...]

    def __str__(self) -> str:
        lines = "\n".join(f"  {error}" for error in self.errors)
        return f"{self.step} at {self.peer}:\n{lines}"


class KindModel(StrictModel):
    name: Name
    repeatable: bool
    deadline_s: Annotated[float, Field(gt=0, le=3_600)]
    max_body_bytes: Annotated[int, Field(ge=0)]
    max_answer_bytes: Annotated[int, Field(ge=1)] | None = None
    resend_window_s: Annotated[float, Field(ge=0, le=604_800)]
    store_outage: StoreOutage
    id_style: IdStyle
    coalesce: bool

    @model_validator(mode="after")
    def _reject_conflicts(self) -> KindModel:
        if self.coalesce and not self.repeatable:
            raise ValueError("coalesce is for repeatable kinds only")
        if not self.repeatable and self.resend_window_s < self.deadline_s:
            raise ValueError(
                "resend_window_s of a non-repeatable kind must be at least its deadline_s"
            )
        return self


class ServiceModel(StrictModel):
    name: Name
    shard_count: Annotated[int, Field(ge=1, le=MAX_SHARD_COUNT)]
    slots: Annotated[int, Field(ge=1)]
    max_connections: Annotated[int, Field(ge=2)]
    connect_cost_s: Annotated[float, Field(ge=0, le=10)]
    checks_fence: bool
    checks_deadline: bool
    goal: Goal
    kinds: Annotated[list[KindModel], Field(min_length=1)]

    @model_validator(mode="after")
    def _reject_conflicts(self) -> ServiceModel:
        _reject_duplicates("kind", (kind.name for kind in self.kinds))
        if not self.checks_fence and not self.checks_deadline:
            raise ValueError("servers must check the fence, the deadline, or both")
        if self.max_connections < self.slots:
            raise ValueError("max_connections must be at least slots")
        if not self.checks_fence:
            _reject_continue_without_fence(self.kinds)
        return self


class ConfigurationModel(StrictModel):
    version: Annotated[int, Field(ge=0)]
    cell: Name
    region: Name
    zones: Annotated[list[Name], Field(min_length=1)]
    services: Annotated[list[ServiceModel], Field(min_length=1)]

    @model_validator(mode="after")
    def _reject_conflicts(self) -> ConfigurationModel:
        _reject_duplicates("zone", self.zones)
        _reject_duplicates("service", (service.name for service in self.services))
        if sum(service.shard_count for service in self.services) > MAX_SHARD_COUNT:
            raise ValueError(f"the services have more than {MAX_SHARD_COUNT} shards together")
        return self


def encode_configuration(configuration: Configuration) -> bytes:
    """Return indented JSON; equal configurations encode to equal bytes."""
    model = ConfigurationModel(
        version=configuration.version,
        cell=configuration.cell,
        region=configuration.region,
        zones=list(configuration.zones),
        services=[
            _service_to_model(service)
            for _, service in sorted(configuration.services_by_name.items())
        ],
    )
    return model.model_dump_json(indent=2).encode() + b"\n"


def decode_configuration(value: bytes, peer: str) -> Result[Configuration, ConfigurationError]:
    """Return the configuration in JSON from `peer`, or all its validation errors."""
    try:
        return Ok(_configuration_from_model(ConfigurationModel.model_validate_json(value)))
    except ValidationError as error:
        return Err(ConfigurationError("decode configuration", peer, error_lines(error)))


def _reject_duplicates(noun: str, names: Iterable[str]) -> None:
    duplicates = sorted(name for name, count in Counter(names).items() if count > 1)
    if duplicates:
        raise ValueError(f"{noun} named twice: {', '.join(duplicates)}")


def _reject_continue_without_fence(kinds: list[KindModel]) -> None:
    for kind in kinds:
        needs_store = not kind.repeatable and kind.id_style is IdStyle.FREE_FORM
        if needs_store and kind.store_outage is StoreOutage.CONTINUE:
            raise ValueError(
                f"kind {kind.name}: store_outage can be continue only where servers check the fence"
            )


def _service_to_model(service: Service) -> ServiceModel:
    return ServiceModel(
        name=service.name,
        shard_count=service.shard_count,
        slots=service.slots,
        max_connections=service.max_connections,
        connect_cost_s=service.connect_cost_s,
        checks_fence=service.checks_fence,
        checks_deadline=service.checks_deadline,
        goal=service.goal,
        kinds=[_kind_to_model(kind) for _, kind in sorted(service.kinds_by_name.items())],
    )


def _kind_to_model(kind: Kind) -> KindModel:
    return KindModel(
        name=kind.name,
        repeatable=kind.repeatable,
        deadline_s=kind.deadline_s,
        max_body_bytes=kind.max_body_bytes,
        max_answer_bytes=kind.max_answer_bytes,
        resend_window_s=kind.resend_window_s,
        store_outage=kind.store_outage,
        id_style=kind.id_style,
        coalesce=kind.coalesce,
    )


def _configuration_from_model(model: ConfigurationModel) -> Configuration:
    return Configuration(
        version=model.version,
        cell=CellName(model.cell),
        region=model.region,
        zones=tuple(model.zones),
        services_by_name={
            ServiceName(service.name): _service_from_model(service)
            for service in sorted(model.services, key=lambda service: service.name)
        },
    )


def _service_from_model(model: ServiceModel) -> Service:
    return Service(
        name=ServiceName(model.name),
        shard_count=model.shard_count,
        slots=model.slots,
        checks_fence=model.checks_fence,
        checks_deadline=model.checks_deadline,
        goal=model.goal,
        max_connections=model.max_connections,
        connect_cost_s=model.connect_cost_s,
        kinds_by_name={
            kind.name: Kind(**kind.model_dump())
            for kind in sorted(model.kinds, key=lambda kind: kind.name)
        },
    )
