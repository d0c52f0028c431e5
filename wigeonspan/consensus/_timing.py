"""Times and sizes of the replicated log."""

HEARTBEAT_S = 0.25
"""Seconds between heartbeat rounds; a quarter of the lease, so that one lost round
does not end it."""

LEASE_S = 1.0
"""Seconds that a leader lease lasts, counted from the sending of a round."""

VOTE_GUARD_S = 1.2
"""Seconds after a leader's message, or after a restart, in which a member does not
vote. On a clock that is 1% fast it must still exceed the lease on one that is 1% slow:
1.2 / 1.01 > 1.0 / 0.99."""

ELECTION_MIN_S = 1.2
"""Shortest election timeout in seconds; not below the vote guard."""

ELECTION_MAX_S = 2.0
"""Longest election timeout in seconds; also the time after which a leader without a
quorum steps down."""

RESEND_S = 0.5
"""Seconds after which unanswered entries are sent again."""

HANDOVER_S = 2.0
"""Seconds that a handover may wait for the lease to end and its target to catch up."""

DISK_STALL_S = 3.0
"""Seconds that a leader waits for a write before it steps down. Heartbeats do not need
the disk, so without this a leader whose disk hangs would stay and commit nothing."""

APPEND_ENTRIES = 256
"""Largest number of entries in one message."""

APPEND_BYTES = 1_000_000
"""Size of commands at which a message is closed, in bytes."""

CHUNK_BYTES = 256 * 1024
"""Size of one snapshot chunk in bytes; base64 in JSON makes it a third larger."""
