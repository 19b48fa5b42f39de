"""Mutual authentication of a new link by a shared key.

The acceptor sends a nonce. The opener sends its identity, its own nonce and an HMAC
over both nonces; the acceptor responds with its own HMAC. A recorded HMAC cannot be
replayed on another link, since the nonces differ. Later frames are not signed: on a
network where others can inject data into a TCP connection, use mutual TLS.
"""

import hashlib
import hmac
import secrets
from typing import Any, ClassVar, Protocol, TypeVar

from fireflyhitch_membership.messages import MemberRecord
from fireflyhitch_membership.wire import decode, encode, read_message
from fireflyhitch_model.errors import PeerError
from fireflyhitch_model.peers import PeerMessage
from fireflyhitch_model.states import Step

NONCE_BYTES = 16

Expected = TypeVar('Expected', bound=PeerMessage)


class Socket(Protocol):
    """The websocket methods that the handshake uses."""

    async def send(self, message: bytes) -> None:
        """Send one message."""

    async def recv(self) -> Any:
        """Return the next message."""


class Challenge(PeerMessage):
    """The acceptor's nonce."""

    kind: ClassVar[str] = 'challenge'

    nonce: bytes


class Proof(PeerMessage):
    """The opener's identity, nonce and HMAC."""

    kind: ClassVar[str] = 'proof'

    me: MemberRecord
    nonce: bytes
    proof: bytes


class Welcome(PeerMessage):
    """The acceptor's identity and HMAC."""

    kind: ClassVar[str] = 'welcome'

    me: MemberRecord
    proof: bytes


async def open_handshake(
    socket: Socket, key: str, own: MemberRecord, address: str
) -> MemberRecord:
    """Run the opener's side of the handshake.

    :returns: the acceptor's record.
    :raises PeerError: if the acceptor does not know the key.
    """
    challenge = await _receive(socket, Challenge, address)
    nonce = secrets.token_bytes(NONCE_BYTES)
    proof = _prove(key, 'open', challenge.nonce, nonce, own)
    await socket.send(encode(Proof(me=own, nonce=nonce, proof=proof)))
    welcome = await _receive(socket, Welcome, address)
    expected = _prove(key, 'accept', challenge.nonce, nonce, welcome.me)
    _check(expected, welcome.proof, address)
    return welcome.me


async def accept_handshake(
    socket: Socket, key: str, own: MemberRecord, address: str
) -> MemberRecord:
    """Run the acceptor's side of the handshake.

    :returns: the opener's record.
    :raises PeerError: if the opener does not know the key.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    await socket.send(encode(Challenge(nonce=nonce)))
    opener = await _receive(socket, Proof, address)
    expected = _prove(key, 'open', nonce, opener.nonce, opener.me)
    _check(expected, opener.proof, address)
    proof = _prove(key, 'accept', nonce, opener.nonce, own)
    await socket.send(encode(Welcome(me=own, proof=proof)))
    return opener.me


async def _receive(socket: Socket, kind: type[Expected], address: str) -> Expected:
    frame = decode(await socket.recv(), address)
    message = read_message(frame.kind, frame.body, address)
    if not isinstance(message, kind):
        raise PeerError(
            f'unexpected {frame.kind} in handshake', step=Step.PEER, peer=address
        )
    return message


def _prove(
    key: str, role: str, challenge: bytes, nonce: bytes, me: MemberRecord
) -> bytes:
    content = me.model_dump_json().encode()
    text = b'\x00'.join((role.encode(), challenge, nonce, content))
    return hmac.digest(key.encode(), text, hashlib.sha256)


def _check(expected: bytes, proof: bytes, address: str) -> None:
    if not hmac.compare_digest(expected, proof):
        raise PeerError(
            'peer does not know the shared key', step=Step.AUTHENTICATE, peer=address
        )
