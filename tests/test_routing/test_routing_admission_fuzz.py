"""Admission under arbitrary orders of events."""

from hypothesis import stateful
from hypothesis import strategies

from trefoilwind.routing import admission

SLOTS = 3
_IMPORTANCE = strategies.integers(1, 3)
_SECONDS = strategies.sampled_from([0.01, 0.1, 0.3])


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Submits, ends, expires and withdraws calls."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.state = admission.Admission(SLOTS)
        self.running: list[admission.Ticket] = []
        self.waiting: list[admission.Ticket] = []

    @stateful.rule(importance=_IMPORTANCE, timeout_s=_SECONDS)
    def submit(self, importance, timeout_s):
        deadline = self.now + timeout_s
        ticket = admission.Ticket("lookup", importance, deadline, None)
        ticket.decide = lambda verdict: self._decided(ticket, verdict)
        verdict = self.state.submit(ticket, self.now)
        if verdict is admission.Verdict.ADMITTED:
            self.running.append(ticket)
        elif verdict is admission.Verdict.QUEUED:
            self.waiting.append(ticket)
        elif verdict is admission.Verdict.SHED:
            assert min(t.importance for t in self.waiting) >= importance

    @stateful.rule(latency_s=_SECONDS, overloaded=strategies.booleans())
    @stateful.precondition(lambda self: self.running)
    def end(self, latency_s, overloaded):
        ticket = self.running.pop(0)
        self.state.ended(ticket, latency_s, overloaded, self.now)

    @stateful.rule()
    @stateful.precondition(lambda self: self.waiting)
    def withdraw(self):
        ticket = self.waiting.pop()
        assert self.state.withdraw(ticket)

    @stateful.rule(seconds=_SECONDS)
    def pass_time(self, seconds):
        self.now += seconds
        self.state.expire(self.now)

    @stateful.invariant()
    def is_bounded(self):
        assert self.state.in_flight == len(self.running) <= SLOTS
        assert self.state.queued == len(self.waiting) <= SLOTS

    def _decided(self, ticket, verdict):
        self.waiting.remove(ticket)
        if verdict is admission.Verdict.ADMITTED:
            assert self.now < ticket.deadline
            others = [t.importance for t in self.waiting]
            assert ticket.importance >= max(others, default=0)
            self.running.append(ticket)
        elif verdict is admission.Verdict.SHED:
            least = min((t.importance for t in self.waiting), default=9)
            assert ticket.importance <= least
        else:
            assert verdict is admission.Verdict.EXPIRED
            assert self.now >= ticket.deadline


TestAdmissionFuzz = AdmissionMachine.TestCase
