"""Judges histories: what callers saw against what targets ran."""

import json
from collections import Counter
from collections.abc import Iterable, Sequence

from standins.caller import Record, Seen

KEY_INDEX = 2


def check_history(history: Iterable[Record], runs: Iterable[Sequence[str]]) -> list[str]:
    """Finds violations of what must always hold for callers.

    Args:
      history: Calls as the callers saw them.
      runs: What ran at the targets: method, path, key and attempt id.
    Returns:
      A sentence for each violation: a key that ran twice, a request that ran and was last called
      not run, an answer to another request, an answer that is not whole.
    """
    counts = Counter(run[KEY_INDEX] for run in runs if run[KEY_INDEX])
    faults = [f"key {key} ran {count} times" for key, count in counts.items() if count > 1]
    last: dict[str, Record] = {}
    for record in sorted(history, key=lambda r: r.ended):
        if record.key:
            last[record.key] = record
        if record.seen is Seen.ANSWERED:
            faults += _check_answer(record)
    for key, record in last.items():
        if record.seen is Seen.NOT_RUN and counts[key]:
            faults.append(f"key {key} was called not run and ran")
        if record.seen is Seen.ANSWERED and record.status == 200 and not counts[key]:
            faults.append(f"key {key} was answered and never ran")
    return faults


def _check_answer(record: Record) -> list[str]:
    if record.status != 200:
        return []
    try:
        answer = json.loads(record.body)
    except ValueError:
        return [f"the answer to {record.path} is not whole"]
    path, _, query = record.path.partition("?")
    if (answer["path"], answer["query"], answer["key"]) != (path, query, record.key):
        return [f"the answer to {record.path} belongs to {answer['path']}"]
    return []
