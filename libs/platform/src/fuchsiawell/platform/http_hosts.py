"""The list of hosts over HTTP; the protocol stands in docs/STANDINS.md."""

from __future__ import annotations

from http import HTTPStatus

from pydantic import BaseModel, ConfigDict, ValidationError
from result import Err, Ok, Result

from fuchsiawell.platform.hosts import Host, HostList, HostState
from fuchsiawell.platform.http_client import PlatformClient
from fuchsiawell.platform.store import AnswerLost, StoreError

__all__ = ["HostModel", "HttpHostList"]

DEFAULT_TIMEOUT_S = 2.0
STEP = "hosts"


class HostModel(BaseModel):
    """Validate one host as the platform describes it."""

    model_config = ConfigDict(extra="ignore")

    id: str
    role: str
    address: str
    zone: str
    state: HostState

    def to_host(self) -> Host:
        """Return the host as the router keeps it."""
        return Host(self.id, self.role, self.address, self.zone, self.state)


class _HostsModel(BaseModel):
    hosts: list[HostModel]


class HttpHostList(HostList):
    """Read the list from the service at one address."""

    def __init__(self, address: str, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        self._client = PlatformClient(address, timeout_s)

    async def hosts(self) -> Result[list[Host], StoreError]:
        """Return all hosts that the platform knows, ordered by id."""
        match await self._client.call(STEP, {}):
            case Ok(answer) if answer.status == HTTPStatus.OK:
                return self._parsed(answer.fields)
            case Ok(answer):
                detail = f"answered {answer.status}"
                return Err(AnswerLost(STEP, self._client.address, detail))
            case Err(error):
                return Err(error)

    async def close(self) -> None:
        """Release connections."""
        await self._client.close()

    def _parsed(self, fields: dict[str, object]) -> Result[list[Host], StoreError]:
        try:
            models = _HostsModel.model_validate(fields).hosts
        except ValidationError as error:
            detail = f"foreign answer: {error.error_count()} errors"
            return Err(AnswerLost(STEP, self._client.address, detail))
        return Ok(sorted((model.to_host() for model in models), key=lambda host: host.id))
