"""Limits of a machine that installations state, or do not."""

import math

from gypsumring.platform import read_link_mbps
from gypsumring.utils.testing import make_load_tests


# A template with a placeholder for each limit is no JSON where one of them is missing.
def test_link_is_unknown_where_the_platform_states_no_rate():
    for limits in ({}, {"linkMbps": None}, {"linkMbps": "fast"}, {"linkMbps": True}):
        assert read_link_mbps(limits) == 0
    for value in (0, -1, math.inf, math.nan):
        assert read_link_mbps({"linkMbps": value}) == 0


def test_stated_rate_is_read():
    assert read_link_mbps({"linkMbps": 100.0, "cores": 3}) == 100
    assert read_link_mbps({"linkMbps": 10}) == 10


load_tests = make_load_tests(globals())
