"""Upstreams that say in their answers that they leave, or want nothing for a while."""

import time
from dataclasses import replace
from typing import Any

import curio
import pytest

from tests.platform.test_gateway import play
from tests.platform.upstreams import Scene, events, reply, says, stream

OK = reply(200, b"ok")
LEAVING = reply(200, b"ok", Server_Leaving="1")


def turned_away(retry_after: str, **headers: str) -> bytes:
    return reply(503, X_Bluebellrun_Not_Run="1", Retry_After=retry_after, **headers)


async def ask_often(scene: Scene, path: str = "/ask/a", times: int = 12) -> set[int]:
    return {(await scene.ask(path, "POST", b"x")).status for _ in range(times)}


@pytest.mark.parametrize("answer", [LEAVING, turned_away("0", Server_Leaving="1")])
@pytest.mark.parametrize("path", ["/ask/a", "/once/a"])
def test_an_upstream_that_says_that_it_leaves_gets_no_other_request(path, answer):
    async def check(scene: Scene) -> None:
        await scene.ask(path, "POST", b"x")
        assert (await scene.ask(path, "POST", b"x")).status == 503
        await scene.add("stays", says(OK))
        assert await ask_often(scene, path) == {200}

    scene = play(check, ("leaves", says(answer)))
    assert scene.names() == ["leaves", *["stays"] * 12]


def test_older_news_that_an_upstream_is_there_do_not_undo_what_it_said():
    async def check(scene: Scene) -> None:
        registered = scene.directory.find("leaves")
        assert registered is not None
        assert (await scene.ask("/ask/a")).status == 200
        scene.directory.put(registered)
        scene.directory.replace_all({"leaves": registered}, 0.0, store_outage=False)
        assert (await scene.ask("/ask/a")).status == 503
        scene.directory.put(replace(registered, started_ms=registered.started_ms + 1))
        assert (await scene.ask("/ask/a")).status == 200

    assert len(play(check, ("leaves", says(LEAVING))).arrivals) == 2


def test_a_late_answer_of_a_former_process_does_not_bind_the_one_that_took_its_name():
    release = curio.Event()

    async def answers_late(sock: Any, arrival: Any) -> None:
        await release.wait()
        await sock.sendall(LEAVING)

    async def check(scene: Scene) -> None:
        waiting = await curio.spawn(scene.ask, "/ask/a")
        while not scene.arrivals:
            await curio.sleep(0.01)
        former = scene.directory.find("one")
        assert former is not None
        scene.directory.put(replace(former, started_ms=former.started_ms + 1))
        await release.set()
        await waiting.join()
        assert (await scene.ask("/ask/a")).status == 200

    assert len(play(check, ("one", answers_late)).arrivals) == 2


def test_a_stream_that_breaks_is_not_resumed_at_one_that_leaves():
    async def once_then_cuts(sock: Any, arrival: Any) -> None:
        await sock.sendall(stream(1, ended=False))
        await sock.close()

    async def check(scene: Scene) -> None:
        leaving = scene.directory.find("leaves")
        assert leaving is not None
        scene.fleet.mark_leaving(leaving.incarnation, 0.0)
        answer = await scene.ask("/talk/a", "POST", b"x")
        assert not answer.whole
        assert answer.body == events(1)

    scene = play(check, ("cuts", once_then_cuts), ("leaves", says(stream(2))))
    assert set(scene.names()) == {"cuts"}


@pytest.mark.parametrize("asked", ["0.4", "1"])
def test_an_upstream_gets_nothing_for_as_long_as_its_refusal_asks(asked):
    async def check(scene: Scene) -> None:
        assert await ask_often(scene) == {200}
        await curio.sleep(float(asked))
        before = scene.names().count("busy")
        assert await ask_often(scene) == {200}
        assert scene.names().count("busy") > before

    scene = play(check, ("busy", says(turned_away(asked))), ("free", says(OK)))
    assert scene.names().count("busy") <= 2


def test_where_all_want_nothing_the_caller_is_told_the_soonest_return():
    async def check(scene: Scene) -> None:
        told = [await scene.ask("/ask/a") for _ in range(8)]
        assert {answer.status for answer in told} == {503}
        times = [float(answer.headers["retry-after"]) for answer in told[2:]]
        assert all(2.9 <= seconds <= 4.5 for seconds in times)
        assert len(set(times)) > 1

    scene = play(check, ("u1", says(turned_away("3"))), ("u2", says(turned_away("5"))))
    assert sorted(scene.names()) == ["u1", "u2"]


@pytest.mark.parametrize("asked", ["soon", "-1", "nan", "inf", "Fri, 04 Dec 2026 12:00:00 GMT", ""])
def test_a_time_that_cannot_be_read_binds_nobody(asked):
    async def check(scene: Scene) -> None:
        await ask_often(scene, times=4)

    scene = play(check, ("busy", says(turned_away(asked))))
    assert len(scene.arrivals) >= 3


def test_one_that_came_back_is_sent_again_when_its_upstream_takes_requests_again():
    async def check(scene: Scene) -> None:
        for _ in range(20):
            scene.gateway._retry_detector.is_retry("ask", 8.0, 0.9)
        assert (await scene.ask("/ask/a", deadline="8000")).status == 503
        began = time.monotonic()
        assert (await scene.ask("/ask/a", deadline="5000")).status == 200
        assert time.monotonic() - began < 0.8

    async def is_full_at_first(sock: Any, arrival: Any) -> None:
        full = time.monotonic() < first_asked[0] + 0.3 if first_asked else True
        if not first_asked:
            first_asked.append(time.monotonic())
        await sock.sendall(reply(503, X_Bluebellrun_Not_Run="1") if full else OK)

    first_asked: list[float] = []
    play(check, ("u1", is_full_at_first))
