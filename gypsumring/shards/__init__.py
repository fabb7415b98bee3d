"""Interface between a scheduler process and the services of its shards."""

from gypsumring.shards.context import ShardContext, ShardService

__all__ = ["ShardContext", "ShardService"]
