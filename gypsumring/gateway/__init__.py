"""Gateway: callers' HTTP requests, jobs and documents."""

from gypsumring.utils.lazy import import_on_use

__all__ = ["GatewayApp", "GatewayNode", "JobCancellation", "JobSubmission"]

__getattr__ = import_on_use(
    __name__,
    {
        "GatewayApp": "app",
        "GatewayNode": "node",
        "JobCancellation": "app",
        "JobSubmission": "app",
    },
)
