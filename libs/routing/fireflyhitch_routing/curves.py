"""Learned straight-line curves of a backend server's latency.

A curve predicts seconds from a few features, for example calls in flight. Its
coefficients are estimated by recursive least squares (a Kalman filter without
dynamics) that forgets in time instead of by samples: without news the estimate
goes back to its prior, so that a server avoided for its slowness is tried again.
"""

import math
from collections.abc import Sequence

FORGET_SECONDS = 90.0
DEVIATION_WEIGHT = 0.05
# A sample this many deviations away is cut down to it, so that one stalled call
# does not bend the curve.
OUTLIER_DEVIATIONS = 6.0
# Least deviation, as a share of the prediction.
LEAST_SPREAD = 0.05

Vector = tuple[float, ...]


class Curve:
    """Coefficients of one curve with their uncertainty; not thread-safe.

    :param prior: coefficients to start from and to go back to, in seconds per
        unit of each feature; the first is for the constant 1.
    :param spread: standard deviation of each prior coefficient.
    :param noise: expected deviation of a sample, in seconds.
    :param now: monotonic seconds.
    """

    __slots__ = (
        '_covariance',
        '_spread',
        '_updated',
        '_variance',
        'coefficients',
        'deviation',
        'prior',
        'samples',
    )

    def __init__(self, prior: Vector, spread: Vector, noise: float, now: float) -> None:
        size = len(prior)
        self.prior = prior
        self.coefficients = prior
        self.samples = 0
        self._spread = spread
        # Standard deviation of samples from the curve, in seconds.
        self.deviation = noise
        self._variance = noise * noise
        self._updated = now
        self._covariance = [
            [spread[row] ** 2 if row == column else 0.0 for column in range(size)]
            for row in range(size)
        ]

    def learn(self, features: Sequence[float], measured: float, now: float) -> None:
        """Take in one sample.

        :param features: the values that the sample was taken at, 1 first.
        :param measured: seconds.
        :param now: monotonic seconds.
        """
        self.forget(now)
        gains = [_dot(row, features) for row in self._covariance]
        expected = _dot(self.coefficients, features)
        reach = OUTLIER_DEVIATIONS * self.deviation
        error = max(-reach, min(reach, measured - expected))
        total = _dot(gains, features) + self._variance
        # Latency never falls with load: a coefficient below zero is noise, and
        # would make a busy server look cheaper than free.
        self.coefficients = tuple(
            max(0.0, coefficient + gain * error / total)
            for coefficient, gain in zip(self.coefficients, gains, strict=True)
        )
        for row, gain in zip(self._covariance, gains, strict=True):
            for column, other in enumerate(gains):
                row[column] -= gain * other / total
        self._learn_deviation(error, expected)
        self.samples += 1

    def forget(self, now: float) -> None:
        """Let the estimate go back towards its prior for the time passed."""
        elapsed = now - self._updated
        if elapsed <= 0:
            return
        self._updated = now
        lost = 1 - math.exp(-elapsed / FORGET_SECONDS)
        self.coefficients = tuple(
            coefficient + (prior - coefficient) * lost
            for coefficient, prior in zip(self.coefficients, self.prior, strict=True)
        )
        for number, row in enumerate(self._covariance):
            for column, entry in enumerate(row):
                goal = self._spread[number] ** 2 if column == number else 0.0
                row[column] = entry + (goal - entry) * lost

    def _learn_deviation(self, error: float, expected: float) -> None:
        least = (LEAST_SPREAD * expected) ** 2
        squared = max(error * error, least)
        self._variance += DEVIATION_WEIGHT * (squared - self._variance)
        self.deviation = math.sqrt(self._variance)


def _dot(one: Sequence[float], other: Sequence[float]) -> float:
    return sum(left * right for left, right in zip(one, other, strict=True))
