"""Run an earlier build and this one beside each other in one installation.

Nodes of both builds share the stand-ins, their settings and the records in the store.
Each round submits jobs through both nodes and kills the owner while they run, so that
the builds take the cell over from each other in turn. Then the command line of each
build reads the log lines of both.

    git worktree add FOLDER COMMIT
    python -m soak.builds --old FOLDER --seed 1 --rounds 4
"""

import json
import os
import random
import re
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import anyio
import click
import httpx

from gypsumring.pipelines import PipelineSpec, StepSpec
from gypsumring.platform.tests.rig import (
    START_LIMIT_S,
    NodeProcess,
    ProgramRig,
    running_programs,
)

__all__ = ["BuildsRun", "main"]

ROOT = Path(__file__).resolve().parent.parent
JOBS_PER_ROUND = 6
# The owner is killed at most this long after the jobs of a round were accepted; a job
# takes at least 0.4 s.
MAX_KILL_DELAY_S = 0.4
OWNS_CELL = re.compile(r"^gypsumring_node_owns_cell 1(\.0)?$", re.MULTILINE)
# Work of the fixed pipeline: four tasks, then two.
STEP_COUNTS = (4, 2)
BODY = json.dumps(
    {
        "spec": "p",
        "pipeline": [
            {"count": STEP_COUNTS[0], "cpu": 500, "memMb": 64, "estRuntimeMs": 200},
            {
                "count": STEP_COUNTS[1],
                "cpu": 500,
                "memMb": 64,
                "estRuntimeMs": 200,
                "dependsOn": [0],
            },
        ],
    }
).encode()
# Lines that each owner writes and by which `trace` and `account` follow a job.
OWNER_MESSAGES = ("job accepted", "attempt started", "attempt ended", "job ended")
READERS = (("trace",), ("account",), ("--json", "account"))


def make_spec(job_id: str) -> PipelineSpec:
    """Return the job that the stand-ins expect for ``BODY``."""
    first, second = STEP_COUNTS
    return PipelineSpec(
        job_id=job_id,
        queue="batch",
        service="svc",
        accepted_ms=0,
        payload="p",
        steps=(
            StepSpec(task_count=first, cpu_millis=500),
            StepSpec(task_count=second, cpu_millis=500, after=(0,)),
        ),
    )


class BuildsRun:
    """Run nodes of two builds and collect what differs from the expectation."""

    __slots__ = ("builds", "folder", "logs", "problems", "random", "takeovers", "total")

    def __init__(self, old: Path, folder: Path, seed: int):
        # Folder of the build that each node runs, by the name of the node.
        self.builds = {"n0": old, "n1": ROOT}
        self.folder = folder
        self.logs = {name: folder / f"{name}.log" for name in self.builds}
        self.random = random.Random(seed)
        self.problems: list[str] = []
        self.takeovers: dict[str, int] = dict.fromkeys(self.builds, 0)
        self.total = 0

    def start(self, node: NodeProcess) -> None:
        """Start a node with its own build and append its output to its log file."""
        content = json.loads(node.settings.read_text())
        content["log_output"] = {"level": "INFO", "json": True}
        node.settings.write_text(json.dumps(content))
        with self.logs[node.name].open("ab") as output:
            node.process = subprocess.Popen(
                [sys.executable, "-m", "gypsumring.node", "--settings", node.settings],
                cwd=self.builds[node.name],
                stdout=output,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONHASHSEED": "0"},
            )

    async def run(self, rounds: int) -> None:
        """Run all rounds, then read the logs with both builds."""
        async with running_programs() as rig:
            for node in rig.nodes:
                node.end(signal.SIGKILL)
                node.process.wait()
            for node in rig.nodes:
                self.start(node)
            try:
                await self.run_rounds(rig, rounds)
                await self.stop(rig)
            except TimeoutError:
                self.problems.append(f"no progress for {START_LIMIT_S} s")
            self.problems.extend(str(each) for each in rig.world.violations)
        self.compare_writers()
        self.compare_readers()

    async def run_rounds(self, rig: ProgramRig, rounds: int) -> None:
        """Let the nodes take over from each other; raise TimeoutError."""
        await rig.wait_ready()
        owner = await self.find_owner(rig)
        for number in range(rounds):
            owner = await self.run_round(rig, number, owner)

    async def stop(self, rig: ProgramRig) -> None:
        """Stop the nodes, which must end with 0; raise TimeoutError."""
        for node in rig.nodes:
            node.end(signal.SIGTERM)
        with anyio.fail_after(START_LIMIT_S):
            while any(node.process.poll() is None for node in rig.nodes):
                await anyio.sleep(0.05)
        for node in rig.nodes:
            if node.process.returncode:
                self.problems.append(
                    f"{node.name} ended with {node.process.returncode}"
                )

    async def run_round(
        self, rig: ProgramRig, number: int, owner: NodeProcess
    ) -> NodeProcess:
        """Submit jobs, kill the owner, and return the next owner."""
        job_ids = [f"{number:08x}{each:08x}" for each in range(JOBS_PER_ROUND)]
        for each, job_id in enumerate(job_ids):
            rig.world.jobs[job_id] = make_spec(job_id)
            node = rig.nodes[each % len(rig.nodes)]
            response = await rig.call(node, "POST", job_id, BODY)
            if response.status_code != 200:
                self.problems.append(f"{job_id} was answered {response.status_code}")
        self.total += len(job_ids)
        await anyio.sleep(self.random.uniform(0.0, MAX_KILL_DELAY_S))
        owner.end(signal.SIGKILL)
        owner.process.wait()
        (other,) = (node for node in rig.nodes if node is not owner)
        for job_id in job_ids:
            await rig.wait_state(other, job_id, "completed")
        next_owner = await self.find_owner(rig)
        if next_owner is not other:
            self.problems.append(f"{other.name} did not take over in round {number}")
        self.takeovers[next_owner.name] += 1
        self.start(owner)
        await rig.wait_ready()
        # The node that has just started finds the owner before it shows a job.
        await rig.wait_state(owner, job_ids[-1], "completed")
        return next_owner

    async def find_owner(self, rig: ProgramRig) -> NodeProcess:
        """Wait until one node reports that it owns the cell, and return it."""
        with anyio.fail_after(START_LIMIT_S):
            while True:
                for node in rig.nodes:
                    if node.process.poll() is None and await owns_cell(
                        rig.client, node
                    ):
                        return node
                await anyio.sleep(0.1)

    def compare_writers(self) -> None:
        """Compare the fields of the lines that both builds have written."""
        fields = [read_fields(path) for path in self.logs.values()]
        for message in OWNER_MESSAGES:
            old, new = (each.get(message) for each in fields)
            if old is None or old != new:
                self.problems.append(f"fields of {message!r} differ: {old}, {new}")

    def compare_readers(self) -> None:
        """Read the logs of each node with the command line of both builds."""
        job_id = f"{0:08x}{0:08x}"
        for reader in READERS:
            arguments = [*reader, job_id] if reader == ("trace",) else list(reader)
            for logs in ([self.logs["n0"]], [self.logs["n1"]], self.logs.values()):
                answers = [
                    self.read_logs(build, [*arguments, *map(str, logs)])
                    for build in self.builds.values()
                ]
                if answers[0] != answers[1] or not answers[0]:
                    names = " ".join(path.name for path in logs)
                    self.problems.append(f"{reader} of {names} differs by build")

    def read_logs(self, build: Path, arguments: list[str]) -> str:
        """Return what the command line of a build prints; empty if it fails."""
        done = subprocess.run(
            [sys.executable, "-c", "from gypsumring.cli.main import main; main()"]
            + arguments,
            cwd=build,
            capture_output=True,
            text=True,
            check=False,
        )
        if done.returncode:
            self.problems.append(f"{arguments[0]} failed: {done.stderr[-200:]}")
        return done.stdout


def read_fields(path: Path) -> dict[str, list[str]]:
    """Return the names of the fields of each message in a log file."""
    fields: dict[str, set[str]] = {}
    for line in path.read_text().splitlines():
        if line.startswith("{"):
            content = json.loads(line)
            fields.setdefault(content["message"], set()).update(content)
    return {message: sorted(names) for message, names in fields.items()}


async def owns_cell(client: httpx.AsyncClient, node: NodeProcess) -> bool:
    """Tell whether a node reports that it owns the cell."""
    try:
        response = await client.get(f"http://{node.ready}/-/metrics")
    except httpx.HTTPError:
        return False
    return OWNS_CELL.search(response.text) is not None


@click.command()
@click.option("--old", required=True, type=click.Path(exists=True, file_okay=False))
@click.option("--seed", default=1, help="Seed of the times at which owners are killed.")
@click.option("--rounds", default=4, help="Number of takeovers.")
@click.option("--keep", type=click.Path(file_okay=False), help="Keep the logs here.")
def main(old: str, seed: int, rounds: int, keep: str | None) -> None:
    """Run both builds and print one JSON object; exit with 1 after any problem."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(keep or temporary)
        folder.mkdir(parents=True, exist_ok=True)
        run = BuildsRun(Path(old).resolve(), folder, seed)
        anyio.run(run.run, rounds)
    result = {
        "seed": seed,
        "rounds": rounds,
        "jobs": run.total,
        "takeovers_by_old": run.takeovers["n0"],
        "takeovers_by_new": run.takeovers["n1"],
        "problems": run.problems,
    }
    print(json.dumps(result))
    if run.problems:
        sys.exit(1)


if __name__ == "__main__":
    main()
