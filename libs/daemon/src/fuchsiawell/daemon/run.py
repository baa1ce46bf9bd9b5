"""Run a daemon in this process until it is told to stop."""

from __future__ import annotations

import asyncio
import logging
import signal
from random import Random
from typing import TYPE_CHECKING

from fuchsiawell.core import LamportClock, RandomIds, SystemClock, open_event_log
from fuchsiawell.daemon.application import Application
from fuchsiawell.daemon.context import Context
from fuchsiawell.daemon.stores import Stores
from fuchsiawell.platform import HttpHostList

if TYPE_CHECKING:
    from fuchsiawell.config import Settings

__all__ = ["serve"]


def serve(settings: Settings) -> int:
    """Run a daemon; SIGTERM and SIGINT stop it gracefully. Return the exit status."""
    return asyncio.run(_serve(settings))


async def _serve(settings: Settings) -> int:
    clock = SystemClock()
    lamport = LamportClock()
    level = getattr(logging, settings.log_level.value.upper())
    log = open_event_log(settings.daemon, clock, lamport, level)
    random = Random()
    context = Context(settings, clock, lamport, log, RandomIds(), random)
    stores = Stores.open(settings.store_url.removeprefix("http://"), clock, random)
    hosts = HttpHostList(settings.host_list_url.removeprefix("http://"))
    application = Application(context, stores, hosts)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, application.request_stop)
    try:
        await application.run()
    except OSError as error:
        log.warning("could not start", step="start", detail=str(error))
        return 1
    return 0
