from __future__ import annotations

from dataclasses import replace

from fuchsiawell.config import Configuration, Goal, IdStyle, Kind, Service, StoreOutage
from fuchsiawell.core import CellName, ServiceName
from fuchsiawell.daemon.leader.once_windows import outage_windows, runs_unjournaled

NAME = ServiceName("dropline")
DROP = Kind(
    "feed-drop",
    repeatable=False,
    deadline_s=5.0,
    max_body_bytes=100,
    resend_window_s=60.0,
    store_outage=StoreOutage.CONTINUE,
)


def configuration(*kinds: Kind) -> Configuration:
    by_name = {kind.name: kind for kind in kinds}
    service = Service(NAME, 8, 4, True, True, Goal.IMBALANCE, kinds_by_name=by_name)
    return Configuration(1, CellName("c"), "r", ("z",), {NAME: service})


def test_work_that_goes_on_without_a_journal_makes_successors_wait() -> None:
    assert runs_unjournaled(DROP)
    assert outage_windows(configuration(DROP)) == {NAME: 60.0}


def test_issued_ids_need_no_journal_and_make_nobody_wait() -> None:
    issued = replace(DROP, id_style=IdStyle.MINTED)
    refused = replace(DROP, name="drop-plan", store_outage=StoreOutage.REFUSE)
    assert not runs_unjournaled(issued)
    assert outage_windows(configuration(issued, refused)) == {}
