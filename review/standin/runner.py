"""Runs a case: sets up the deployment, plays the case within the time limit, and judges it."""

import asyncio
import os
import signal
import sys

from deployment import ROOT
from deployment import Deployment

TIME_LIMIT_S = 112
BROKEN, HELD, NOT_RUN = 1, 0, 2


async def run_case(folder, play, nodes, workers):
    """Plays a case. `play` gets the deployment and whether the disruption happens, and returns the
    list of what broke the rule, and lines for the end of the record."""
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = Deployment(nodes=nodes, workers=workers)
    breaks, lines, code = [], [], NOT_RUN
    try:
        breaks, lines = await asyncio.wait_for(play(deployment, trouble), TIME_LIMIT_S)
        code = BROKEN if breaks else HELD
    except (Exception, asyncio.CancelledError) as error:  # pylint: disable=broad-except
        lines = [f"the case could not run: {error!r}"]
    finally:
        await deployment.close()
    word = {BROKEN: "rule broken", HELD: "rule held", NOT_RUN: "not run"}[code]
    verdict = f"breaks: {len(breaks)}; verdict: {word}; exit code {code}"
    deployment.write_record(folder / "record.txt", [*lines, *breaks[:20], verdict])
    deployment.folder.cleanup()
    print("\n".join([*lines, *breaks[:3], verdict]))
    return code


def main(folder, play, nodes=3, workers=8):
    """Runs a case and ends the process with the exit code."""
    if not (ROOT / "target/release/clovermountd").exists():
        print("target/release/clovermountd is missing: run the build of the deploy file first")
        sys.exit(NOT_RUN)
    sys.exit(asyncio.run(run_case(folder, play, nodes, workers)))
