"""Records passed on among the daemons of a cell, so that one of them asks the store for all."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from result import Err, Ok

from fuchsiawell.config import decode_configuration, encode_configuration
from fuchsiawell.daemon.control.wire import ControlKind, ControlMessageError
from fuchsiawell.ownership import decode_assignment, encode_assignment

if TYPE_CHECKING:
    from fuchsiawell.core import DaemonId
    from fuchsiawell.daemon.cell_state import CellState
    from fuchsiawell.daemon.context import Context
    from fuchsiawell.daemon.control.interfaces import ControlLinks
    from fuchsiawell.ownership import Heartbeat

__all__ = ["Distribution"]

ASK_AGAIN_S = 0.2  # least time between two questions for the same news


class Distribution:
    """Push news to every peer, and ask whoever holds newer records than this daemon."""

    def __init__(self, context: Context, state: CellState, peers: ControlLinks) -> None:
        self._context = context
        self._state = state
        self._peers = peers
        self._asked_s = float("-inf")

    def push(self) -> None:
        """Send the records held to all peers; those that hold newer ones ignore them."""
        for id in self._peers.addresses():
            self._send(id, 0, 0)

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Ask for records that the sender holds and this daemon does not."""
        revision, version = self._held()
        behind = heartbeat.revision > revision or heartbeat.configuration_version > version
        now_s = self._context.clock.monotonic()
        if behind and now_s - self._asked_s >= ASK_AGAIN_S:
            self._asked_s = now_s
            self._peers.send_control(heartbeat.sender, ControlKind.WANT, [revision, version])

    def on_want(self, sender: DaemonId, body: Any) -> None:
        """Send what is newer than what the sender holds."""
        match body:
            case [int(revision), int(version)]:
                self._send(sender, revision, version)
            case _:
                raise ControlMessageError("read want", sender, repr(body))

    def on_assignment(self, sender: DaemonId, body: Any) -> None:
        """Take an assignment that a peer holds."""
        match body:
            case [int(revision), bytes(value)]:
                self._state.offer_assignment(decode_assignment(value, revision, sender))
            case _:
                raise ControlMessageError("read assignment", sender, repr(body)[:80])

    def on_configuration(self, sender: DaemonId, body: Any) -> None:
        """Take a configuration that a peer holds."""
        if not isinstance(body, bytes):
            raise ControlMessageError("read configuration", sender, repr(body)[:80])
        match decode_configuration(body, sender):
            case Ok(configuration):
                self._state.offer_configuration(configuration)
            case Err(error):
                raise ControlMessageError("read configuration", sender, str(error))

    def _held(self) -> tuple[int, int]:
        assignment, configuration = self._state.assignment, self._state.configuration
        return (
            0 if assignment is None else assignment.revision,
            0 if configuration is None else configuration.version,
        )

    def _send(self, id: DaemonId, above_revision: int, above_version: int) -> None:
        assignment, configuration = self._state.assignment, self._state.configuration
        if assignment is not None and assignment.revision > above_revision:
            body = [assignment.revision, encode_assignment(assignment)]
            self._peers.send_control(id, ControlKind.ASSIGNMENT, body)
        if configuration is not None and configuration.version > above_version:
            self._peers.send_control(
                id, ControlKind.CONFIGURATION, encode_configuration(configuration)
            )
