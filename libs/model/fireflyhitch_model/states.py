"""Enums shared by several libraries; their values are part of the wire format."""

from enum import Enum, IntEnum


class Outcome(Enum):
    """Whether a request was executed, as reported to the caller."""

    NOT_RUN = 'not-run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class MachineClass(Enum):
    """Pricing model of an instance, and whether the cloud may reclaim it."""

    RECLAIMABLE = 'reclaimable'
    ON_DEMAND = 'on-demand'


class InstanceRole(Enum):
    """The purpose of an instance in the platform's list."""

    ENTRY = 'entry'
    BACKEND = 'backend'


class InstanceState(Enum):
    """State of an instance according to the instance list, which lags."""

    LIVE = 'live'
    LEAVING = 'leaving'


class FencingSupport(Enum):
    """Whether an engine rejects orders with an outdated fencing number."""

    ENFORCED = 'enforced'
    IGNORED = 'ignored'


class Priority(IntEnum):
    """A caller's priority; a lower number is served first."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2


class Step(Enum):
    """The step of a request or duty at which an error occurred."""

    PARSE = 'parse'
    AUTHENTICATE = 'authenticate'
    ADMIT = 'admit'
    ROUTE = 'route'
    CLAIM = 'claim'
    CONNECT = 'connect'
    SEND = 'send'
    FIRST_BYTE = 'first-byte'
    RELAY = 'relay'
    RECORD = 'record'
    ANSWER = 'answer'
    RESUME = 'resume'
    HAND_OVER = 'hand-over'
    CONFIGURE = 'configure'
    STORE_READ = 'store-read'
    STORE_WRITE = 'store-write'
    STORE_WATCH = 'store-watch'
    STORE_LEASE = 'store-lease'
    LIST_INSTANCES = 'list-instances'
    CLOUD = 'cloud'
    WEIGHTS = 'weights'
    PEER = 'peer'
    ORDER = 'order'
    PLAN = 'plan'
    JUDGE = 'judge'
    REPORT = 'report'
