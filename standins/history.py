"""Checks call histories: compares what callers observed with what targets ran."""

import json
from collections import Counter
from collections.abc import Iterable, Sequence

from standins.caller import Record, Seen

KEY_INDEX = 2


def check_history(history: Iterable[Record], runs: Iterable[Sequence[str]]) -> list[str]:
    """Finds violations of the guarantees to callers.

    Args:
      history: Calls as the callers observed them.
      runs: Requests that ran at the targets: method, path, key and attempt id.
    Returns:
      A sentence for each violation: a key that ran more than once, a request that ran although the
      caller was last told that it did not, an answer without a run, an answer to another request,
      or an incomplete answer.
    """
    run_counts = Counter(run[KEY_INDEX] for run in runs if run[KEY_INDEX])
    violations = [f"key {key} ran {count} times" for key, count in run_counts.items() if count > 1]
    last_records: dict[str, Record] = {}
    for record in sorted(history, key=lambda r: r.ended_s):
        if record.key:
            last_records[record.key] = record
        if record.seen is Seen.ANSWERED:
            violations += _check_answer(record)
    for key, record in last_records.items():
        if record.seen is Seen.NOT_RUN and run_counts[key]:
            violations.append(f"key {key} was called not run and ran")
        if record.seen is Seen.ANSWERED and record.status == 200 and not run_counts[key]:
            violations.append(f"key {key} was answered and never ran")
    return violations


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
