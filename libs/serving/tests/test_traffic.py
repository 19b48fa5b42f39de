"""Tests of the control traffic counters."""

from typing import Any

from loguru import logger

from fireflyhitch_serving.traffic import ControlTraffic


class TestReport:
    def test_report_counts_since_the_last_one(self) -> None:
        reports: list[dict[str, Any]] = []
        sink = logger.add(lambda line: reports.append(line.record['extra']))
        traffic = ControlTraffic()
        for _ in range(2):
            traffic.count_call('renewal')
        traffic.count_sent(100)
        traffic.count_received(40)
        traffic.report()
        traffic.report()
        logger.remove(sink)
        assert reports[0]['calls'] == {'renewal': 2}
        assert (reports[0]['sent'], reports[0]['sent_bytes']) == (1, 100)
        assert (reports[0]['received'], reports[0]['received_bytes']) == (1, 40)
        assert reports[1]['calls'] == {}
        assert not reports[1]['sent']
