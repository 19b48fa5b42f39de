"""Linear models of a backend server's latency, learned online.

A curve predicts seconds from a few features, for example calls in flight. Its
coefficients are estimated by recursive least squares (a Kalman filter without
dynamics). It forgets by time instead of by sample: without new samples the estimate
decays to its prior, so that a server avoided for its slowness is tried again.
"""

import math
from collections.abc import Sequence

DECAY_SECONDS = 90.0
DEVIATION_WEIGHT = 0.05
# Errors are clipped to this many deviations, so that one stalled call does not distort
# the curve.
OUTLIER_DEVIATIONS = 6.0
# Minimum deviation, as a fraction of the prediction.
MIN_DEVIATION_SHARE = 0.05

Vector = tuple[float, ...]


class Curve:
    """Coefficients of a linear model and their uncertainty; not thread-safe.

    :param prior: coefficients to start from and to decay to, in seconds per unit of
        each feature; the first belongs to the constant 1.
    :param prior_deviations: standard deviation of each prior coefficient.
    :param noise: initial standard deviation of samples, in seconds.
    :param now: monotonic seconds.
    """

    __slots__ = (
        '_covariance',
        '_prior_deviations',
        '_updated',
        '_variance',
        'coefficients',
        'deviation',
        'prior',
        'samples',
    )

    def __init__(
        self, prior: Vector, prior_deviations: Vector, noise: float, now: float
    ) -> None:
        size = len(prior)
        self.prior = prior
        self.coefficients = prior
        self.samples = 0
        self._prior_deviations = prior_deviations
        # Standard deviation of samples from the curve, in seconds.
        self.deviation = noise
        self._variance = noise * noise
        self._updated = now
        self._covariance = [
            [
                prior_deviations[row] ** 2 if row == column else 0.0
                for column in range(size)
            ]
            for row in range(size)
        ]

    def learn(self, features: Sequence[float], measured: float, now: float) -> None:
        """Update the estimate with one sample.

        :param features: the feature values of the sample; the first is 1.
        :param measured: measured seconds.
        :param now: monotonic seconds.
        """
        self.decay(now)
        gains = [_dot(row, features) for row in self._covariance]
        expected = _dot(self.coefficients, features)
        max_error = OUTLIER_DEVIATIONS * self.deviation
        error = max(-max_error, min(max_error, measured - expected))
        total = _dot(gains, features) + self._variance
        # Latency does not fall with load: a negative coefficient is noise, and would
        # give a busy server a negative cost.
        self.coefficients = tuple(
            max(0.0, coefficient + gain * error / total)
            for coefficient, gain in zip(self.coefficients, gains, strict=True)
        )
        for row, gain in zip(self._covariance, gains, strict=True):
            for column, other in enumerate(gains):
                row[column] -= gain * other / total
        self._learn_deviation(error, expected)
        self.samples += 1

    def decay(self, now: float) -> None:
        """Move the estimate towards its prior for the elapsed time."""
        elapsed = now - self._updated
        if elapsed <= 0:
            return
        self._updated = now
        weight = 1 - math.exp(-elapsed / DECAY_SECONDS)
        self.coefficients = tuple(
            coefficient + (prior - coefficient) * weight
            for coefficient, prior in zip(self.coefficients, self.prior, strict=True)
        )
        for number, row in enumerate(self._covariance):
            for column, entry in enumerate(row):
                prior_entry = (
                    self._prior_deviations[number] ** 2 if column == number else 0.0
                )
                row[column] = entry + (prior_entry - entry) * weight

    def _learn_deviation(self, error: float, expected: float) -> None:
        min_variance = (MIN_DEVIATION_SHARE * expected) ** 2
        squared = max(error * error, min_variance)
        self._variance += DEVIATION_WEIGHT * (squared - self._variance)
        self.deviation = math.sqrt(self._variance)


def _dot(one: Sequence[float], other: Sequence[float]) -> float:
    return sum(left * right for left, right in zip(one, other, strict=True))
