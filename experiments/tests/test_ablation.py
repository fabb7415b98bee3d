"""Tests of the ablation: mechanisms exist, are switched off and restored."""

from experiments.ablation import (
    MECHANISMS,
    Mechanism,
    find_attribute,
    measure,
    switched_off,
)
from gypsumring.cell import commands
from gypsumring.utils.testing import make_load_tests


def test_each_mechanism_is_switched_off_and_restored():
    for mechanism in MECHANISMS:
        places = [find_attribute(target) for target in mechanism.off_values]
        originals = [getattr(owner, name) for owner, name in places]
        with switched_off(mechanism):
            for (owner, name), value in zip(
                places, mechanism.off_values.values(), strict=True
            ):
                assert getattr(owner, name) is value
        assert [getattr(owner, name) for owner, name in places] == originals


def test_missing_target_is_named_and_nothing_stays_switched_off():
    mechanism = Mechanism(
        "missing",
        **{
            "gypsumring.cell.commands:STORE_WAIT_SHARE": 0.0,
            "gypsumring.cell.commands:NO_SUCH": 0.0,
        },
    )
    share = commands.STORE_WAIT_SHARE
    try:
        with switched_off(mechanism):
            raise AssertionError("a missing target was accepted")
    except ValueError as error:
        assert "NO_SUCH" in str(error)
    assert share == commands.STORE_WAIT_SHARE


def test_measurement_repeats_for_a_seed():
    first, second = (measure(range(3, 4), 8.0, 1.0) for _ in range(2))
    assert first == second
    assert 0.0 < first[0] <= 1.0


load_tests = make_load_tests(globals())
