"""Timeouts, intervals and size limits of the replicated log."""

HEARTBEAT_S = 0.25
"""Seconds between heartbeat rounds; a quarter of the lease, so that one lost round does
not end it."""

LEASE_S = 1.0
"""Duration of a leader lease in seconds, counted from the sending of a heartbeat
round."""

VOTE_GUARD_S = 1.2
"""Vote guard: seconds after a leader's message, or after a restart, during which a
member does not vote. On a clock that is 1% fast it must still exceed the lease on one
that is 1% slow: 1.2 / 1.01 > 1.0 / 0.99."""

ELECTION_MIN_S = 1.2
"""Shortest election timeout in seconds; not below the vote guard."""

ELECTION_MAX_S = 2.0
"""Longest election timeout in seconds; also the time after which a leader without a
quorum steps down."""

RESEND_TIMEOUT_S = 0.5
"""Seconds after which unanswered entries or snapshot chunks are sent again."""

HANDOVER_TIMEOUT_S = 2.0
"""Seconds after which a handover is abandoned. Until then the leader waits for its
lease to end and for the target to catch up."""

DISK_STALL_S = 3.0
"""Seconds that a leader waits for a write before it steps down. Heartbeats do not need
the disk, so a leader with a hanging disk would otherwise stay and commit nothing."""

MAX_APPEND_ENTRIES = 256
"""Maximum number of entries in one message."""

MAX_APPEND_BYTES = 1_000_000
"""Total command size in bytes at which no further entries are added to a message."""

CHUNK_BYTES = 256 * 1024
"""Size of one snapshot chunk in bytes; base64 in JSON makes it a third larger."""
