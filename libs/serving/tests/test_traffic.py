"""Tests of the counts of control traffic."""

from typing import Any

from loguru import logger

from fireflyhitch_serving.traffic import ControlTraffic


class TestReport:
    def test_a_report_tells_what_came_since_the_last(self) -> None:
        told: list[dict[str, Any]] = []
        sink = logger.add(lambda line: told.append(line.record['extra']))
        traffic = ControlTraffic()
        for _ in range(2):
            traffic.count_call('renewal')
        traffic.record_sent(100)
        traffic.note_received(40)
        traffic.report()
        traffic.report()
        logger.remove(sink)
        assert told[0]['calls'] == {'renewal': 2}
        assert (told[0]['sent'], told[0]['sent_bytes']) == (1, 100)
        assert (told[0]['received'], told[0]['received_bytes']) == (1, 40)
        assert told[1]['calls'] == {}
        assert not told[1]['sent']
