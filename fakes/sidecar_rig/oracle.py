"""The oracle: which rules a play broke, by the records of clients and servers."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from fakes.sidecar_rig.records import ClientRecord, Effect, Records, Run

REFUSALS = (429, 503)
ANSWER_SLACK_S = 0.5  # an answer may be this late before its request counts as lost
BEGIN_AFTER_LEAVING_S = 0.1  # an attempt may begin so long after its client has left
MAX_DETAILS = 20
READ_SLACK_S = 0.05  # in which a server of the rig reads what has come


@dataclass(slots=True)
class Verdict:
    """The breaks of each rule, as lines that name the request."""

    breaks: dict[str, list[str]] = field(default_factory=dict)

    @property
    def total(self) -> int:
        """The number of breaks of all rules."""
        return sum(len(lines) for lines in self.breaks.values())

    def summary(self) -> str:
        """One line a rule."""
        return "\n".join(f"  {rule}: {len(lines)}" for rule, lines in self.breaks.items())

    def details(self) -> str:
        """One line a break, up to `MAX_DETAILS` of them."""
        lines = [f"  {rule}: {line}" for rule, lines in self.breaks.items() for line in lines]
        return "\n".join(lines[:MAX_DETAILS])


def wrong_answer(client: ClientRecord, _runs: list[Run]) -> str:
    """A served answer has to be the one that a server made for this request."""
    if client.status == 200 and client.body != client.request_id.encode():
        return f"served {client.body[:40]!r}"
    return ""


def no_answer(client: ClientRecord, _runs: list[Run]) -> str:
    """Each request whose client stays gets an answer, half a second after its deadline at the latest."""
    if client.left:
        return ""
    waited_s = client.ended_s - client.sent_s
    if client.status == 0 or waited_s > client.kind.deadline_s + ANSWER_SLACK_S:
        return f"status {client.status} after {waited_s:.3f} s, errors {client.errors}"
    return ""


def ran_twice(client: ClientRecord, runs: list[Run]) -> str:
    """An unsafe request runs at most once."""
    if client.kind.effect is Effect.UNSAFE and len(runs) > 1:
        return f"ran {len(runs)} times"
    return ""


def ran_outside_group(client: ClientRecord, runs: list[Run]) -> str:
    """A keyed request runs in one group only, within the time for which that knows its key."""
    if client.kind.effect is not Effect.KEYED or len(runs) < 2:
        return ""
    if len({run.group for run in runs}) > 1:
        return f"ran in groups {[run.group for run in runs]}"
    span_s = max(run.began_s for run in runs) - min(run.began_s for run in runs)
    return f"ran again after {span_s:.3f} s" if span_s > client.kind.window_s else ""


def refused_after_run(client: ClientRecord, runs: list[Run]) -> str:
    """A refusal promises that nothing has run, unless the request is safe to repeat."""
    if client.status in REFUSALS and runs and client.kind.effect is not Effect.SAFE:
        return f"refused, and ran at {[run.server for run in runs]}"
    return ""


def began_after_leaving(client: ClientRecord, runs: list[Run]) -> str:
    """No attempt begins long after its client has left."""
    latest_s = client.ended_s + BEGIN_AFTER_LEAVING_S + READ_SLACK_S
    late = [run for run in runs if client.left and run.began_s > latest_s]
    return f"began {late[-1].began_s - client.ended_s:.3f} s after its client left" if late else ""


RULES: dict[str, Callable[[ClientRecord, list[Run]], str]] = {
    "an answer that no server made for the request": wrong_answer,
    "no answer in time": no_answer,
    "an unsafe request ran twice": ran_twice,
    "a keyed request ran outside its group": ran_outside_group,
    "a request that ran was refused": refused_after_run,
    "an attempt began after its client had left": began_after_leaving,
}


def judge(records: Records) -> Verdict:
    """Hold all records of a play to the rules."""
    verdict = Verdict({rule: [] for rule in RULES})
    for rule, line in _breaks(records):
        verdict.breaks[rule].append(line)
    return verdict


def _breaks(records: Records) -> Iterator[tuple[str, str]]:
    for client in records.clients.values():
        runs = records.runs.get(client.request_id, [])
        for rule, check in RULES.items():
            text = check(client, runs)
            if text:
                yield rule, f"{client.request_id} {client.kind.name} sent {client.sent_s:.3f}: {text}"
