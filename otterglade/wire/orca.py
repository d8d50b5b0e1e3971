"""Load reports in the ORCA `endpoint-load-metrics` header, text form (published with Envoy and gRPC).

`TEXT cpu_utilization=0.3,rps_fractional=12.5,named_metrics.x0=0.82`: pairs set apart by commas.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

HEADER = b"endpoint-load-metrics"
MOST = 4096  # bytes of a header that is read


def read(value: bytes) -> dict[str, float] | None:
    """The figures by name, the prefix `named_metrics.` left off; None where the header can't be read.

    Figures that are no finite number are left out: one bad figure must not hide the others.
    """
    form, _, rest = value[:MOST].strip().partition(b" ")
    if form.upper() != b"TEXT":
        return None
    figures = {}
    for pair in rest.split(b","):
        name, equals, figure = pair.strip().partition(b"=")
        try:
            number = float(figure)
            text = name.decode("ascii")
        except ValueError:
            continue
        if equals and name and math.isfinite(number):
            figures[text.removeprefix("named_metrics.")] = number
    return figures


def write(named: Mapping[str, float]) -> bytes:
    """The header's value for named figures."""
    return b"TEXT " + b",".join(b"named_metrics.%b=%.6g" % (k.encode(), v) for k, v in named.items())
