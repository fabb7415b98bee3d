"""Node programs as separate processes that use the platform's wire format."""

import contextlib
import errno
import functools
import json
import signal
import socket

import anyio
import httpx

from gypsumring.pipelines import PipelineSpec, StepSpec
from gypsumring.platform.tests.crowds import make_head
from gypsumring.platform.tests.rig import NodeProcess, running_programs
from gypsumring.utils.addresses import split_address
from gypsumring.utils.testing import make_load_tests

JOB_ID = "00112233445566aa"
STEPS = [
    {"count": 4, "cpu": 500, "memMb": 64, "estRuntimeMs": 200},
    {"count": 2, "cpu": 500, "memMb": 64, "estRuntimeMs": 200, "dependsOn": [0]},
]
BODY = json.dumps({"spec": "p", "pipeline": STEPS}).encode()


def register_job(world, job_id: str) -> None:
    """Register the job with the stand-ins' consistency checks."""
    world.jobs[job_id] = PipelineSpec(
        job_id=job_id,
        queue="batch",
        service="svc",
        accepted_ms=0,
        payload="p",
        steps=(
            StepSpec(task_count=4, cpu_millis=500),
            StepSpec(task_count=2, cpu_millis=500, after=(0,)),
        ),
    )


def run_in_real_time(function):
    """Run an async test on asyncio in real time, with real sockets and processes."""

    @functools.wraps(function)
    def run() -> None:
        anyio.run(function, backend="asyncio")

    del run.__wrapped__
    return run


@run_in_real_time
async def test_job_is_served_through_any_node():
    async with running_programs() as rig:
        register_job(rig.world, JOB_ID)
        first, second = rig.nodes
        assert (await rig.call(first, "GET", JOB_ID)).status_code == 410
        assert (await rig.call(first, "POST", JOB_ID, BODY)).status_code == 200
        assert (await rig.call(second, "POST", JOB_ID, BODY)).status_code == 200
        await rig.wait_state(second, JOB_ID, "completed")
        pending = await rig.call(second, "GET", "")
        assert pending.json() == {"pending": 0}
        assert (await rig.call(first, "DELETE", JOB_ID)).status_code == 200
        assert rig.world.violations == []
        assert all(count == 1 for count in rig.world.starts.values())


@run_in_real_time
async def test_invalid_requests_are_rejected_without_side_effects():
    async with running_programs(nodes=1) as rig:
        (node,) = rig.nodes
        for path, body in (
            (JOB_ID, b"no json"),
            (JOB_ID, b'{"spec":"s","pipeline":[{"count":-1}]}'),
            (JOB_ID, b'{"spec":"s","pipeline":[{"dependsOn":[3]}]}'),
            (JOB_ID, json.dumps({"spec": "x" * 65536, "pipeline": [{}]}).encode()),
            ("not-an-id", BODY),
        ):
            response = await rig.call(node, "POST", path, body)
            assert response.status_code == 400, response.text
            assert response.json()["error"]
        other = await rig.client.get(f"http://{node.caller}/unknown/x")
        assert other.status_code == 404
        register_job(rig.world, JOB_ID)
        assert (await rig.call(node, "POST", JOB_ID, BODY)).status_code == 200
        await rig.wait_state(node, JOB_ID, "completed")


@run_in_real_time
async def test_sigterm_hands_over_the_cell_and_exits_with_zero():
    async with running_programs(nodes=2) as rig:
        for number in range(4):
            job_id = f"{number:016x}"
            register_job(rig.world, job_id)
            node = rig.nodes[number % 2]
            assert (await rig.call(node, "POST", job_id, BODY)).status_code == 200
        stopping, staying = rig.nodes
        stopping.end(signal.SIGTERM)
        for number in range(4):
            await rig.wait_state(staying, f"{number:016x}", "completed")
        with anyio.fail_after(20):
            while stopping.process.poll() is None:
                await anyio.sleep(0.05)
        assert stopping.process.returncode == 0
        assert rig.world.violations == []


@run_in_real_time
async def test_changed_settings_are_reloaded_and_malformed_settings_ignored():
    # Without a signal handler, SIGHUP would terminate the process.
    async with running_programs(nodes=1) as rig:
        (node,) = rig.nodes
        content = json.loads(node.settings.read_text())
        for text in ("{broken", json.dumps({**content, "task_lease_ms": 4000})):
            node.settings.write_text(text)
            node.end(signal.SIGHUP)
            await anyio.sleep(0.3)
            assert node.process.poll() is None
        register_job(rig.world, JOB_ID)
        assert (await rig.call(node, "POST", JOB_ID, BODY)).status_code == 200
        await rig.wait_state(node, JOB_ID, "completed")


@run_in_real_time
async def test_stopping_node_answers_callers_waiting_for_an_owner():
    # While the store is unavailable and no node owns the cell, callers wait; a stopping
    # node must answer them instead of closing their connections.
    async with running_programs(nodes=2) as rig:
        owner, other = rig.nodes
        rig.refuse_store_requests(owner, other)
        for node in (owner, other):
            node.end(signal.SIGSTOP)
        owner.end(signal.SIGKILL)
        other.end(signal.SIGCONT)
        await anyio.sleep(0.5)
        statuses = []

        async def send_request() -> None:
            response = await rig.call(other, "GET", JOB_ID, limit_ms=20_000)
            statuses.append(response.status_code)

        async with anyio.create_task_group() as group:
            group.start_soon(send_request)
            await anyio.sleep(0.5)
            other.end(signal.SIGTERM)
        assert statuses == [503], statuses


@run_in_real_time
async def test_signals_to_a_stopping_node_do_not_cut_off_its_callers():
    # Guards against a handler of signals that ends with the handover of the cell: the
    # default action of a later signal ended the process with a request in flight.
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        async with running_programs(nodes=2) as rig:
            stopping, other = rig.nodes
            rig.refuse_store_requests(stopping, other)
            other.end(signal.SIGKILL)
            stopping.end(signal.SIGTERM)
            statuses = []

            async def send_requests(rig=rig, node=stopping, statuses=statuses) -> None:
                # The owner answers at once, until it has given up the cell.
                while (
                    response := await rig.call(node, "GET", JOB_ID, limit_ms=20_000)
                ).status_code == 410:
                    pass
                statuses.append(response.status_code)

            async with anyio.create_task_group() as group:
                group.start_soon(send_requests)
                with anyio.fail_after(20):
                    while stopping.process.poll() is None:
                        await anyio.sleep(0.1)
                        stopping.end(number)
            assert statuses == [503], statuses
            assert stopping.process.returncode == 0, number


@run_in_real_time
async def test_node_stops_with_connections_open():
    # Such a node wrote a traceback for each of them; the rig checks standard error.
    head = make_head("POST", f"/batch/{JOB_ID}", f"Content-Length: {len(BODY)}")
    async with running_programs(nodes=1) as rig:
        (node,) = rig.nodes
        ready = make_head("GET", "/-/ready")
        contents = [b"", b"POST /ba", head + BODY[:-1], ready, ready * 2]
        host, port = split_address(node.caller)
        streams = [await anyio.connect_tcp(host, port) for _ in contents]
        for stream, content in zip(streams, contents, strict=True):
            await stream.send(content)
        assert (await streams[3].receive()).startswith(b"HTTP/1.1 200")
        node.end(signal.SIGTERM)
        with anyio.fail_after(20):
            while node.process.poll() is None:
                await anyio.sleep(0.05)
        assert node.process.returncode == 0
        for stream in streams:
            await stream.aclose()


@run_in_real_time
async def test_nodes_refused_by_the_store_stop_with_exit_status_zero():
    # Such nodes ended with CancelledError and status 1: hypercorn's own server had left
    # a request to cancel its caller, and parts of the node took a moment to end.
    async with running_programs(nodes=2) as rig:

        async def send_requests(node: NodeProcess, limit_ms: int) -> None:
            with contextlib.suppress(httpx.HTTPError):
                while True:
                    await rig.call(node, "GET", JOB_ID, limit_ms=limit_ms)

        async with anyio.create_task_group() as group:
            for node in rig.nodes:
                for limit_ms in (300, 2_000, 20_000):
                    group.start_soon(send_requests, node, limit_ms)
            await anyio.sleep(0.3)
            rig.refuse_store_requests(*rig.nodes)
            await anyio.sleep(0.3)
            for node in rig.nodes:
                node.end(signal.SIGTERM)
            with anyio.fail_after(20):
                while any(node.process.poll() is None for node in rig.nodes):
                    await anyio.sleep(0.05)
            group.cancel_scope.cancel()
        assert [node.process.returncode for node in rig.nodes] == [0, 0]


@run_in_real_time
async def test_node_refused_by_the_store_keeps_serving_through_a_peer():
    # Without relayed calls, jobs would be refused until another node takes over.
    for number in range(2):
        async with running_programs(nodes=2) as rig:
            # A node that reports a job has found the owner.
            register_job(rig.world, JOB_ID)
            assert (await rig.call(rig.nodes[0], "POST", JOB_ID, BODY)).is_success
            await rig.wait_state(rig.nodes[1], JOB_ID, "completed")
            rig.refuse_store_requests(rig.nodes[number])
            await anyio.sleep(1.5)
            for other in range(2):
                job_id = f"{number}{other:015x}"
                register_job(rig.world, job_id)
                response = await rig.call(rig.nodes[other], "POST", job_id, BODY)
                assert response.status_code == 200
                await rig.wait_state(rig.nodes[other], job_id, "completed")
            assert rig.world.violations == []


@run_in_real_time
async def test_ports_of_a_node_that_is_down_are_not_free():
    # Guards against tests whose nodes cannot listen again, or that talk to a node of
    # another test, since their ports were only probed.
    async with running_programs(nodes=1) as rig:
        (node,) = rig.nodes
        node.end(signal.SIGKILL)
        node.process.wait()
        for address in (node.caller, node.ready, node.metrics, node.peer):
            with socket.socket() as other:
                try:
                    other.bind(split_address(address))
                except OSError as error:
                    assert error.errno == errno.EADDRINUSE
                else:
                    raise AssertionError(f"{address} is free")
        node.restart()
        await rig.wait_ready()


@run_in_real_time
async def test_accepted_jobs_survive_the_kill_of_all_nodes():
    async with running_programs(nodes=2) as rig:
        for number in range(3):
            job_id = f"{number:016x}"
            register_job(rig.world, job_id)
            response = await rig.call(rig.nodes[0], "POST", job_id, BODY)
            assert response.status_code == 200
        for node in rig.nodes:
            node.end(signal.SIGKILL)
            node.process.wait()
        old_nodes = rig.nodes[:]
        rig.nodes.clear()
        for node in old_nodes:
            rig.nodes.append(node.restart())
        await rig.wait_ready()
        for number in range(3):
            await rig.wait_state(rig.nodes[1], f"{number:016x}", "completed")
        assert rig.world.violations == []


load_tests = make_load_tests(globals())
