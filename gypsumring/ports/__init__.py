"""Protocol classes of the boundary to the platform and to peers."""

from gypsumring.ports.exceptions import *  # noqa: F403
from gypsumring.ports.exceptions import __all__ as exception_names
from gypsumring.ports.executor import *  # noqa: F403
from gypsumring.ports.executor import __all__ as executor_names
from gypsumring.ports.log import *  # noqa: F403
from gypsumring.ports.log import __all__ as log_names
from gypsumring.ports.peers import *  # noqa: F403
from gypsumring.ports.peers import __all__ as peers_names
from gypsumring.ports.upstreams import *  # noqa: F403
from gypsumring.ports.upstreams import __all__ as upstreams_names
from gypsumring.ports.vm_list import *  # noqa: F403
from gypsumring.ports.vm_list import __all__ as vm_list_names
from gypsumring.ports.worker import *  # noqa: F403
from gypsumring.ports.worker import __all__ as worker_names

__all__ = (
    exception_names
    + executor_names
    + log_names
    + peers_names
    + upstreams_names
    + vm_list_names
    + worker_names
)
