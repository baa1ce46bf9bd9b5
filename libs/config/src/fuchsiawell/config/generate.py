"""The complete configuration from a team's answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from fuchsiawell.config.answers import Answers, AnswersError, Mistake
from fuchsiawell.config.codec import MAX_SHARD_COUNT
from fuchsiawell.config.configuration import Configuration, IdStyle, Kind, Service, StoreOutage
from fuchsiawell.config.conflicts import MINUTE_S
from fuchsiawell.config.questionnaire import IdsFrom
from fuchsiawell.core import CellName, ServiceName

if TYPE_CHECKING:
    from fuchsiawell.config.answers import KindAnswers, ServiceAnswers

__all__ = ["generate"]

MEGABYTE = 1_000_000
MILLISECONDS_IN_SECOND = 1_000
SHARDS_PER_SERVER = 16  # one shard more or less is then about 6% of a server's load
LEAST_SHARDS = 128


def generate(answers: Answers, peer: str) -> Result[Configuration, AnswersError]:
    """Return the configuration that `answers` from `peer` describe; the same each time."""
    services = [_service(service) for service in answers.services]
    if sum(service.shard_count for service in services) > MAX_SHARD_COUNT:
        mistake = Mistake(
            "services",
            "more backend servers than one cell can assign",
            f"about {MAX_SHARD_COUNT // SHARDS_PER_SERVER} backend servers together; "
            "divide the site into two",
        )
        return Err(AnswersError("generate configuration", peer, (mistake,)))
    return Ok(
        Configuration(
            version=answers.revises,
            cell=CellName(answers.site),
            region=answers.region,
            zones=answers.zones,
            services_by_name={service.name: service for service in services},
        )
    )


def _service(answers: ServiceAnswers) -> Service:
    return Service(
        name=ServiceName(answers.name),
        shard_count=_shard_count(answers.backend_servers),
        slots=answers.requests_at_once,
        checks_fence=bool(answers.servers_check_who_orders),
        checks_deadline=bool(answers.servers_stop_at_deadline),
        goal=answers.matters_most,
        max_connections=answers.connections,
        connect_cost_s=answers.new_connection_ms / MILLISECONDS_IN_SECOND,
        kinds_by_name={kind.name: _kind(kind) for kind in answers.kinds},
    )


def _shard_count(servers: int) -> int:
    """Return a power of two, so that a few servers more or less leave it as it is."""
    wanted = servers * SHARDS_PER_SERVER
    return max(LEAST_SHARDS, 1 << (wanted - 1).bit_length())


def _kind(answers: KindAnswers) -> Kind:
    answer_mb = answers.answer_mb
    minted = answers.ids_from is IdsFrom.ROUTER
    # Minted ids need no store, so its outage gives no reason to refuse.
    while_down = StoreOutage.CONTINUE if minted else answers.while_store_is_down
    return Kind(
        name=answers.name,
        repeatable=bool(answers.may_repeat),
        deadline_s=answers.deadline_s,
        max_body_bytes=round(answers.upload_mb * MEGABYTE),
        max_answer_bytes=None if answer_mb is None else max(1, round(answer_mb * MEGABYTE)),
        resend_window_s=(answers.resend_minutes or 0.0) * MINUTE_S,
        store_outage=while_down or StoreOutage.REFUSE,
        id_style=IdStyle.MINTED if minted else IdStyle.FREE_FORM,
        coalesce=bool(answers.share_answers),
    )
