"""Fits cost curves of one variable to measurements and validates each against a held-out point."""

from __future__ import annotations

import enum
import math
from collections.abc import Sequence

import msgspec

from thornshelf.errors import CapacityError

MAX_ERROR_RATIO = 0.5  # a steeper curve replaces a flatter one only if it reduces the error below this share
SUFFICIENT_ERROR = 0.03  # a curve with at most this error is kept, so that noise cannot select a steeper one
MIN_FIT_POINTS = 4


class Curve(enum.Enum):
    """The formulas that can be fitted, from the slowest growth to the fastest."""

    CONSTANT = "a"
    LINEAR = "a + b x"
    SQUARE_ROOT = "a + b sqrt(x)"
    LOGARITHMIC = "a + b ln(1 + x)"
    LINEARITHMIC = "a + b x ln(1 + x)"
    QUADRATIC = "a + b x^2"

    def term(self, x: float) -> float:
        """Returns the term that coefficient b multiplies."""
        match self:
            case Curve.CONSTANT:
                return 0.0
            case Curve.LINEAR:
                return x
            case Curve.SQUARE_ROOT:
                return math.sqrt(x)
            case Curve.LOGARITHMIC:
                return math.log1p(x)
            case Curve.LINEARITHMIC:
                return x * math.log1p(x)
            case Curve.QUADRATIC:
                return x * x


# From the flattest to the steepest. Curves of one rank are compared by their error alone.
_CURVE_RANKS = (
    (Curve.CONSTANT,),
    (Curve.LINEAR, Curve.SQUARE_ROOT, Curve.LOGARITHMIC),
    (Curve.LINEARITHMIC,),
    (Curve.QUADRATIC,),
)


class Point(msgspec.Struct, frozen=True, array_like=True):
    """One measurement: the value of the variable and of the quantity."""

    x: float
    y: float


class Slope(msgspec.Struct, frozen=True):
    """The cost curve fitted to the measurements of a quantity; the field names are keys of docs/capacity.json.

    ``name`` is its key in the report. ``floor`` is the resolution of the measurement, in ``unit``: an error is
    relative to the measured value or to the floor, whichever is greater.
    """

    name: str
    quantity: str
    unit: str
    variable: str
    curve: Curve
    a: float
    b: float
    points: list[Point]
    held_out: Point
    fit_error: float
    held_out_error: float
    floor: float

    def at(self, x: float) -> float:
        """Returns the predicted quantity at a value of the variable, at least 0."""
        return max(0.0, self.a + self.b * self.curve.term(x))

    @property
    def text(self) -> str:
        """The formula with its coefficients, for people."""
        if self.curve is Curve.CONSTANT:
            return f"{self.a:.4g}"
        formula = self.curve.value.removeprefix("a + b ")
        return f"{self.a:.4g} {'-' if self.b < 0 else '+'} {abs(self.b):.4g} {formula}"


def relative_error(error: float, value: float, floor: float) -> float:
    """Returns an error as a share of the value or the floor, whichever is greater; 0 if both are 0."""
    scale = max(abs(value), floor)
    return abs(error) / scale if scale > 0.0 else 0.0


def _least_squares(curve: Curve, points: Sequence[Point], floor: float) -> tuple[float, float, float]:
    """Minimizes the squared relative errors; returns coefficients a and b and the root mean square error."""
    import numpy as np  # installed by the extra ``lab``

    weights = np.array([1.0 / max(abs(point.y), floor, 1e-9) for point in points])
    columns = [np.ones(len(points))]
    if curve is not Curve.CONSTANT:
        columns.append(np.array([curve.term(point.x) for point in points]))
    matrix = np.stack(columns, axis=1)
    values = np.array([point.y for point in points])
    coefficients, *_ = np.linalg.lstsq(matrix * weights[:, None], values * weights, rcond=None)
    a, b = float(coefficients[0]), float(coefficients[1]) if len(coefficients) > 1 else 0.0
    errors = [relative_error(a + b * curve.term(point.x) - point.y, point.y, floor) for point in points]
    return a, b, math.sqrt(sum(error * error for error in errors) / len(errors))


def _selection_error(curve: Curve, points: Sequence[Point], floor: float) -> float:
    """Returns the mean of the fit error and of the error at the last point when only the others are fitted."""
    *earlier, last = points
    a, b, _ = _least_squares(curve, earlier, floor)
    predicted = max(0.0, a + b * curve.term(last.x))
    return (_least_squares(curve, points, floor)[2] + relative_error(predicted - last.y, last.y, floor)) / 2.0


def fit(
    name: str, quantity: str, unit: str, variable: str, points: Sequence[Point], floor: float = 0.0
) -> Slope:
    """Fit a curve to all points but the one with the largest x, which is held out to validate the prediction.

    Selects the flattest curve that fits these points and extrapolates from the earlier ones to the last.
    Raises ``CapacityError`` if fewer than four points remain for the fit.
    """
    ordered = sorted(points, key=lambda point: point.x)
    fitted, held_out = ordered[:-1], ordered[-1]
    if len(fitted) < MIN_FIT_POINTS:
        raise CapacityError(f"{name}: {len(fitted)} points to fit, at least {MIN_FIT_POINTS} are required")
    chosen, least_error = Curve.CONSTANT, math.inf
    for rank in _CURVE_RANKS:
        error, curve = min(
            ((_selection_error(candidate, fitted, floor), candidate) for candidate in rank),
            key=lambda pair: pair[0],
        )
        if least_error > SUFFICIENT_ERROR and error < MAX_ERROR_RATIO * least_error:
            chosen, least_error = curve, error
    a, b, error = _least_squares(chosen, fitted, floor)
    predicted = max(0.0, a + b * chosen.term(held_out.x))
    held_out_error = relative_error(predicted - held_out.y, held_out.y, floor)
    return Slope(
        name=name,
        quantity=quantity,
        unit=unit,
        variable=variable,
        curve=chosen,
        a=a,
        b=b,
        points=list(fitted),
        held_out=held_out,
        fit_error=round(error, 4),
        held_out_error=round(held_out_error, 4),
        floor=floor,
    )
