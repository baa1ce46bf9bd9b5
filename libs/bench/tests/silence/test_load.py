from __future__ import annotations

from fuchsiawell.bench.silence.load import NOT_ANSWERED, Request, ask
from fuchsiawell.bench.silence.suite import _is_disturbed
from fuchsiawell.standins.process import free_port


async def test_a_request_that_nobody_answers_is_kept_as_not_answered() -> None:
    request = await ask(f"127.0.0.1:{free_port()}", "/penwatch/pen-status/pen-1")
    assert request.status == NOT_ANSWERED
    assert _is_disturbed(request)


def test_a_slow_answer_and_a_refusal_are_disturbed_and_a_prompt_answer_is_not() -> None:
    assert not _is_disturbed(Request("/a", 1.0, 1.1, 200, "s"))
    assert _is_disturbed(Request("/a", 1.0, 1.6, 200, "s"))
    assert _is_disturbed(Request("/a", 1.0, 1.1, 503, ""))
