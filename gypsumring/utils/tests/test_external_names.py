"""Names that clients, peers, stored data and operators rely on."""

import json

from gypsumring.utils.testing import make_load_tests
from gypsumring.utils.tests.external_names import LIST_PATH, collect


# A renamed class changes the tag of its message, a renamed attribute a stored field or
# a key of the settings, and other builds and tools no longer understand them.
def test_names_that_leave_the_process_are_those_of_the_list():
    expected = json.loads(LIST_PATH.read_text())
    found = collect()
    assert found.keys() == expected.keys()
    for place, names in expected.items():
        assert found[place] == names, (
            place,
            sorted(set(names) - set(found[place])),
            sorted(set(found[place]) - set(names)),
        )


load_tests = make_load_tests(globals())
