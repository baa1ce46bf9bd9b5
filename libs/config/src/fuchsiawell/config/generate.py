"""Generate the complete configuration from a team's answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from fuchsiawell.config.answers import Answers, AnswersError, InvalidAnswer
from fuchsiawell.config.codec import MAX_SHARD_COUNT
from fuchsiawell.config.configuration import Configuration, IdStyle, Kind, Service, StoreOutage
from fuchsiawell.config.conflicts import SECONDS_PER_MINUTE
from fuchsiawell.config.questionnaire import IdsFrom
from fuchsiawell.core import CellName, ServiceName

if TYPE_CHECKING:
    from fuchsiawell.config.answers import KindAnswers, ServiceAnswers

__all__ = ["generate"]

BYTES_PER_MB = 1_000_000
MS_PER_SECOND = 1_000
SHARDS_PER_SERVER = 16  # one shard more or less is then about 6% of a server's load
MIN_SHARD_COUNT = 128


def generate(answers: Answers, peer: str) -> Result[Configuration, AnswersError]:
    """Return the configuration for `answers` from `peer`; deterministic."""
    services = [_service(service) for service in answers.services]
    if sum(service.shard_count for service in services) > MAX_SHARD_COUNT:
        invalid = InvalidAnswer(
            "services",
            "more backend servers than one cell can assign",
            f"about {MAX_SHARD_COUNT // SHARDS_PER_SERVER} backend servers together; "
            "divide the site into two",
        )
        return Err(AnswersError("generate configuration", peer, (invalid,)))
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
        connect_cost_s=answers.new_connection_ms / MS_PER_SECOND,
        kinds_by_name={kind.name: _kind(kind) for kind in answers.kinds},
    )


def _shard_count(servers: int) -> int:
    """Return a power of two, so that a few servers more or less do not change it."""
    min_shards = servers * SHARDS_PER_SERVER
    return max(MIN_SHARD_COUNT, 1 << (min_shards - 1).bit_length())


def _kind(answers: KindAnswers) -> Kind:
    answer_mb = answers.answer_mb
    minted = answers.ids_from is IdsFrom.ROUTER
    # Requests with minted ids need no store, so a store outage is no reason to refuse them.
    store_outage = StoreOutage.CONTINUE if minted else answers.while_store_is_down
    return Kind(
        name=answers.name,
        repeatable=bool(answers.may_repeat),
        deadline_s=answers.deadline_s,
        max_body_bytes=round(answers.upload_mb * BYTES_PER_MB),
        max_answer_bytes=None if answer_mb is None else max(1, round(answer_mb * BYTES_PER_MB)),
        resend_window_s=(answers.resend_minutes or 0.0) * SECONDS_PER_MINUTE,
        store_outage=store_outage or StoreOutage.REFUSE,
        id_style=IdStyle.MINTED if minted else IdStyle.FREE_FORM,
        coalesce=bool(answers.share_answers),
    )
