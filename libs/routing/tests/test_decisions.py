"""Tests of the pure decision over immutable candidates."""

from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.states import MachineClass
from fireflyhitch_routing.choices import Reason
from fireflyhitch_routing.policy import Candidate, PlacementRequest, decide

REQUEST = PlacementRequest(
    prompt_tokens=500,
    answer_tokens=100,
    first_target=0.92,
    gap_target=0.068,
    confidence=1.645,
)


def make_candidate(name, price=1.0, **changes):
    server = BackendServer(
        name, name, 'm', 'v1', 'd1', '', MachineClass.RECLAIMABLE, price, capacity=8
    )
    candidate = Candidate(
        server=server,
        in_flight=0,
        prompt_work=0,
        cached_tokens=0,
        first_curve=(0.05, 0.0003, 0.01),
        first_deviation=0.05,
        gap_curve=(0.03, 0.001),
        gap_deviation=0.005,
        residence_seconds=4,
        hazard=0,
        max_in_flight=100,
    )
    return candidate._replace(**changes)


def choose(*candidates):
    chosen, reason = decide(REQUEST, candidates)
    return chosen.candidate.server.server_id, reason


class TestDecision:
    """The cheapest server within the target, or else the fastest."""

    def test_cheapest_within_the_target(self):
        chosen = choose(make_candidate('dear', 2.0), make_candidate('cheap', 1.0))
        assert chosen == ('cheap', Reason.CHEAPEST)

    def test_cheap_server_that_would_be_late_is_not_chosen(self):
        late = make_candidate('cheap', 0.1, prompt_work=4000)
        assert choose(late, make_candidate('dear'))[0] == 'dear'

    def test_uncertain_server_is_not_chosen(self):
        uncertain = make_candidate('cheap', 0.1, first_deviation=0.6)
        assert choose(uncertain, make_candidate('dear'))[0] == 'dear'

    def test_fastest_when_none_is_within_the_target(self):
        slow = make_candidate('slow', 0.1, prompt_work=9000)
        less_slow = make_candidate('less slow', 5.0, prompt_work=4000)
        assert choose(slow, less_slow) == ('less slow', Reason.FASTEST)

    def test_queue_of_a_full_server_counts(self):
        full = make_candidate('full', 0.5, in_flight=16, max_in_flight=100)
        assert choose(full, make_candidate('free'))[0] == 'free'

    def test_cached_prompt_outweighs_a_lower_price(self):
        cached = make_candidate('cached', 1.1, cached_tokens=480)
        assert choose(cached, make_candidate('cold'))[0] == 'cached'

    def test_running_batch_is_cheaper_than_an_idle_server(self):
        running = make_candidate('running', in_flight=3, cached_tokens=480)
        idle = make_candidate('idle', cached_tokens=480)
        assert choose(running, idle)[0] == 'running'

    def test_long_answer_avoids_a_server_likely_to_be_reclaimed(self):
        risky = make_candidate('risky', hazard=0.2)
        assert choose(risky, make_candidate('safe', 1.2))[0] == 'safe'

    def test_slow_start_limits_a_cheap_new_server(self):
        new = make_candidate('new', 0.1, in_flight=1, max_in_flight=1)
        assert choose(new, make_candidate('old'))[0] == 'old'
