"""States and kinds shared by several libraries; the values go over the wire."""

from enum import Enum, IntEnum


class Outcome(Enum):
    """What is known of a request's execution, as told to the caller."""

    NOT_RUN = 'not-run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class MachineClass(Enum):
    """How an instance is paid for and whether the cloud may take it back."""

    RECLAIMABLE = 'reclaimable'
    ON_DEMAND = 'on-demand'


class InstanceRole(Enum):
    """What an instance of the platform's list is there for."""

    ENTRY = 'entry'
    BACKEND = 'backend'


class InstanceState(Enum):
    """The instance list's view, which lags."""

    LIVE = 'live'
    LEAVING = 'leaving'


class FencingSupport(Enum):
    """Whether an engine refuses an order that carries an old fencing number."""

    ENFORCED = 'enforced'
    IGNORED = 'ignored'


class Priority(IntEnum):
    """A caller's priority; a lower number is served first."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2


class Step(Enum):
    """The step of a request or duty at which an error arose."""

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
