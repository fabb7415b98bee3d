"""Lookups of queues in a desired state."""

from gypsumring.pipelines import DesiredState, Queue
from gypsumring.utils.testing import make_load_tests


# With thousands of queues each request was compared with all of them.
def test_queue_of_the_longest_prefix_of_a_path_matches():
    names = ("/", "/a/", "/a/b/", "/a/", "")
    queues = [
        Queue(name=f"{number}", host="h", path_prefix=prefix, service="svc")
        for number, prefix in enumerate(names)
    ]
    queues.append(Queue(name="0", host="other", path_prefix="/a/b/c/", service="svc"))
    desired = DesiredState(version=1, queues=tuple(queues))
    for path, name in (
        ("/a/b/c/x", "2"),
        ("/a/b/", "2"),
        ("/a/b", "1"),
        ("/a", "0"),
        ("x", "4"),
        ("", "4"),
    ):
        assert desired.match_queue("h", path).name == name, path
    assert desired.match_queue("other", "/a/b/c/x") is queues[-1]
    assert desired.match_queue("other", "/a/b/") is None
    assert desired.match_queue("third", "/") is None
    assert desired.find_queue("0") is queues[0]
    assert desired.find_queue("9") is None


load_tests = make_load_tests(globals())
