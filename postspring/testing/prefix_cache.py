"""Stand-in of an engine's prefix cache, block by block."""

import collections
import dataclasses
import hashlib

__all__ = ["BLOCK_TOKENS", "CacheEvent", "PrefixCache"]

BLOCK_TOKENS = 16
BYTES_PER_TOKEN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A session's tokens were stored, evicted or released."""

    offset: int
    kind: str
    session: str
    tokens: int


class PrefixCache:
    """Blocks of prompts, least recently used out first.

    Explanation
    ===========

    A block's hash covers all the text before it, so two prompts share
    blocks just as far as they share a prefix.  Each block remembers the
    session that filled it.

    Parameters
    ==========

    capacity : int
        Tokens that fit.
    """

    def __init__(self, capacity: int):
        self.capacity = capacity
        self._session_by_block: collections.OrderedDict[bytes, str] = (
            collections.OrderedDict()
        )
        self.tokens_by_session: collections.Counter = collections.Counter()
        self.events: list[CacheEvent] = []

    @property
    def tokens(self) -> int:
        """Tokens held."""
        return len(self._session_by_block) * BLOCK_TOKENS

    @staticmethod
    def tokens_of(text: bytes) -> int:
        """Return how many tokens a text counts as."""
        return -(-len(text) // BYTES_PER_TOKEN)

    def match(self, text: bytes) -> int:
        """Return how many leading tokens of a prompt are held."""
        held = 0
        for block in self._blocks(text):
            if block not in self._session_by_block:
                break
            self._session_by_block.move_to_end(block)
            held += BLOCK_TOKENS
        return min(held, self.tokens_of(text))

    def store(self, session: str, text: bytes) -> None:
        """Keep a prompt's blocks, evicting others if need be."""
        added = 0
        for block in self._blocks(text):
            if block not in self._session_by_block:
                self.tokens_by_session[session] += BLOCK_TOKENS
                added += BLOCK_TOKENS
                self._session_by_block[block] = session
            self._session_by_block.move_to_end(block)
        if added:
            self._note("stored", session, added)
        evicted: collections.Counter = collections.Counter()
        while self.tokens > self.capacity:
            _block, owner = self._session_by_block.popitem(last=False)
            self.tokens_by_session[owner] -= BLOCK_TOKENS
            evicted[owner] += BLOCK_TOKENS
        for owner, tokens in evicted.items():
            self._note("evicted", owner, tokens)

    def release(self, session: str) -> int:
        """Drop a session's blocks; return how many tokens that freed."""
        blocks = [
            block
            for block, owner in self._session_by_block.items()
            if owner == session
        ]
        for block in blocks:
            del self._session_by_block[block]
        self.tokens_by_session.pop(session, None)
        freed = len(blocks) * BLOCK_TOKENS
        if freed:
            self._note("released", session, freed)
        return freed

    def _note(self, kind: str, session: str, tokens: int) -> None:
        event = CacheEvent(len(self.events), kind, session, tokens)
        self.events.append(event)

    def _blocks(self, text: bytes):
        digest = hashlib.blake2b(digest_size=12)
        size = BLOCK_TOKENS * BYTES_PER_TOKEN
        for start in range(0, len(text) - size + 1, size):
            digest.update(text[start : start + size])
            yield digest.digest()
