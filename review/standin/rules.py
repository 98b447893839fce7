"""Checks of the rules on what workers have logged."""


def noted_ends(events):
    """Returns the ends `done` that were taken note of, by task: the worker's acknowledged number has
    reached the end's number, and the worker's lease did not lapse between the two."""
    acknowledged, lapses = {}, {}
    for event in events:
        if event["event"] == "noted":
            acknowledged.setdefault(event["worker"], []).append((event["at"], event["upto"]))
        elif event["event"] == "lease expired":
            lapses.setdefault(event["worker"], []).append(event["at"])
    noted = {}
    for event in events:
        if event["event"] != "end" or event["how"] != "done":
            continue
        times = [at for at, upto in acknowledged.get(event["worker"], []) if upto >= event["number"]]
        if not times:
            continue
        lapsed = any(event["at"] <= at <= times[0] for at in lapses.get(event["worker"], []))
        if not lapsed:
            noted.setdefault(event["task"], event)
    return noted


def starts_after_done(events):
    """TWICE: returns a line for each start of a task after a run of it has ended `done`, if that end
    was taken note of then or later."""
    noted = noted_ends(events)
    lines = []
    for event in events:
        done = noted.get(event.get("task"))
        if event["event"] == "start" and done and event["at"] > done["at"]:
            lines.append(
                f"TWICE: {event['task']} run {done['run']} ended done on {done['worker']} as end"
                f" {done['number']}, and run {event['run']} started {event['at'] - done['at']:.3f} s"
                f" later on {event['worker']}")
    return lines


def parallel_runs(events):
    """TWICE: returns a line for each start of a task while another run of it is running."""
    running, lines = {}, []
    for event in events:
        task = event.get("task")
        if event["event"] == "start":
            others = running.setdefault(task, {})
            if others:
                lines.append(f"TWICE: {task} run {event['run']} started while run(s)"
                             f" {sorted(others.values())} were running")
            others[event["worker"]] = event["run"]
        elif event["event"] == "end":
            running.get(task, {}).pop(event["worker"], None)
    return lines
