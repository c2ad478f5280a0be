"""Measure the processor time per token of an entry and of its agents.

Run with `python -m tests.token_cost`; each entry and agent is a separate process.
"""

import asyncio
import json
import os
import statistics
import tempfile
from pathlib import Path
from typing import Final

from bramleyport.cli._runtime import install_reactor

STREAMS: Final = 48
TOKENS: Final = 200
ROUNDS: Final = 2
RUNS: Final = 5
ENTRY: Final = "entry-0"


def read_cpu_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    text = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(text[11]) + int(text[12])) / os.sysconf("SC_CLK_TCK")


async def measure() -> list[tuple[float, float]]:
    """Return microseconds per token of the entry and of the agents for each run."""
    from bramleyport.transport import make_http_client
    from tests.process_fleet import run_fleet

    client, _ = make_http_client(persistent=False)
    loop = asyncio.get_running_loop()
    request = {
        "model": "inspections",
        "prompt": "a",
        "max_tokens": TOKENS,
        "stream": True,
    }
    body = json.dumps(request).encode()
    with tempfile.TemporaryDirectory() as directory:
        async with run_fleet(Path(directory)) as fleet:
            url = f"http://127.0.0.1:{fleet.ports[ENTRY]}/v1/completions"
            pids = {name: p.pid for name, p in fleet.processes.items()}

            async def stream() -> int:
                headers = {"X-Rank": ["batch"]}
                response = await client.post(url, data=body, headers=headers).asFuture(
                    loop
                )
                content = await response.content().asFuture(loop)
                assert response.code == 200
                return int(content.count(b"data: ")) - 2

            await asyncio.gather(*[stream() for _ in range(STREAMS)])
            results = []
            for _ in range(RUNS):
                before = {name: read_cpu_s(pid) for name, pid in pids.items()}
                tokens = 0
                for _ in range(ROUNDS):
                    tokens += sum(
                        await asyncio.gather(*[stream() for _ in range(STREAMS)])
                    )
                spent = {
                    name: read_cpu_s(pid) - before[name] for name, pid in pids.items()
                }
                agents = sum(s for name, s in spent.items() if name.startswith("agent"))
                results.append((spent[ENTRY] / tokens * 1e6, agents / tokens * 1e6))
            return results


def main() -> None:
    """Print the cost of each run and the medians."""
    install_reactor()
    results = asyncio.get_event_loop().run_until_complete(measure())
    for entry_us, agents_us in results:
        print(f"entry {entry_us:.0f} us/token, agents {agents_us:.0f} us/token")
    entry = statistics.median(item[0] for item in results)
    agents = statistics.median(item[1] for item in results)
    print(f"median: entry {entry:.0f} us/token, agents {agents:.0f} us/token")


if __name__ == "__main__":
    main()
