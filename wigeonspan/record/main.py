"""Entry point of ``wigeonspan-audit``."""

import sys
from pathlib import Path

import msgspec

from wigeonspan.common.cli import parse_as_strings, run_commands
from wigeonspan.record._errors import RecordError
from wigeonspan.record._explain import explain, show_time
from wigeonspan.record._files import record_files
from wigeonspan.record._messages import RecordEntry, RecordFilter, RecordKind
from wigeonspan.record._query import MAX_LIMIT, find_entries
from wigeonspan.record._time import parse_time
from wigeonspan.record._verify import verify

EXIT_FAILURE = 1
"""Exit code when the record is damaged or nothing was found."""

EXIT_USAGE = 2
"""Exit code for invalid usage."""


@parse_as_strings
class Audit:
    """Verify and search the record files of a control host without its daemon.

    Exit codes: 0 success, 1 damaged record or nothing found, 2 invalid usage.

    Parameters
    ----------
    folder : str
        Folder of the record files: the folder "record" in the data folder.
    output : str
        "text" or "json".
    """

    def __init__(self, folder: str = "record", output: str = "text") -> None:
        self._folder = Path(folder)
        self._output = output

    @parse_as_strings
    def verify(self, seq: str = "", hash: str = "") -> None:  # noqa: A002
        """Verify every entry and the hash chain between them.

        Parameters
        ----------
        seq : str
            Position of an entry whose hash was saved in another place.
        hash : str
            Hash of that entry.
        """
        if bool(seq) != bool(hash) or (seq and not seq.isdigit()):
            raise ValueError("give --seq, a whole number, and --hash together")
        result = verify(self._folder, int(seq or 0), hash)
        lines = [f"fault: {fault}" for fault in result.faults]
        lines.append(
            f"{result.entries} entries are good, the last is {result.head.seq} "
            f"with hash {result.head.hash or '-'}"
        )
        self._print(result, "\n".join(lines))
        if result.faults:
            raise SystemExit(EXIT_FAILURE)

    @parse_as_strings
    def query(
        self,
        day: str = "",
        since: str = "",
        until: str = "",
        engine: str = "",
        service: str = "",
        subject: str = "",
        operator: str = "",
        kind: str = "",
        limit: str = "100",
    ) -> None:
        """Search the record; the newest entries come last.

        Parameters
        ----------
        day : str
            Day in UTC, for example 2026-12-03.
        since : str
            First day or time.
        until : str
            Last day or time.
        engine : str
            Name of an engine.
        service : str
            Name of a model service or plain service.
        subject : str
            Any other object, as kind/name.
        operator : str
            Operator, or component of the system.
        kind : str
            change, engine, order, decision, authority or call.
        limit : str
            Maximum number of entries.
        """
        if not limit.isdigit():
            raise ValueError(f"limit {limit!r} is not a whole number")
        subjects = [f"engine/{engine}"] if engine else []
        if service:
            subjects += [f"model_service/{service}", f"plain_service/{service}"]
        subjects += [subject] if subject else []
        start_time, end_time = since or day, until or day
        query = RecordFilter(
            since_ms=parse_time(start_time) if start_time else 0,
            until_ms=parse_time(end_time, end=True) if end_time else 0,
            subjects=tuple(subjects),
            actor=operator,
            kind=_validate_kind(kind),
            limit=int(limit),
        )
        entries, truncated = self._find(query)
        text = [_format_entry(entry) for entry in entries] or ["no entries"]
        if truncated:
            text.insert(0, "(older entries match too; raise --limit to see them)")
        self._print({"entries": entries, "truncated": truncated}, "\n".join(text))
        if not entries:
            raise SystemExit(EXIT_FAILURE)

    @parse_as_strings
    def why(self, subject: str, time: str) -> None:
        """Explain the state of an object at a past time in plain sentences.

        Parameters
        ----------
        subject : str
            Object as kind/name, for example engine/e7.
        time : str
            Day or time in UTC, for example 2026-12-03T04:10.
        """
        at_ms = parse_time(time, end=True)
        subject_filter = RecordFilter(
            until_ms=at_ms, subjects=(subject,), limit=MAX_LIMIT
        )
        authority_filter = RecordFilter(
            until_ms=at_ms, kind=RecordKind.AUTHORITY.value, limit=1
        )
        found = self._find(subject_filter)[0] + self._find(authority_filter)[0]
        entries = {entry.seq: entry for entry in found}
        ordered = [entries[seq] for seq in sorted(entries)]
        sentences = explain(subject, at_ms, ordered)
        self._print({"sentences": sentences}, "\n".join(sentences))

    def _find(self, query: RecordFilter) -> tuple[list[RecordEntry], bool]:
        files = record_files(self._folder)
        if not files:
            raise RecordError(str(self._folder), "there are no record files")
        return find_entries(files, query)

    def _print(self, data: object, text: str) -> None:
        if self._output not in ("text", "json"):
            raise ValueError(f"output {self._output!r} is not text or json")
        print(msgspec.json.encode(data).decode() if self._output == "json" else text)


def main() -> None:
    """Run the command line."""
    try:
        run_commands(Audit, "wigeonspan-audit")
    except ValueError as error:
        print(f"usage: {error}", file=sys.stderr)
        raise SystemExit(EXIT_USAGE) from None
    except RecordError as fault:
        print(f"damaged: {fault}", file=sys.stderr)
        raise SystemExit(EXIT_FAILURE) from None


def _validate_kind(kind: str) -> str:
    kinds = [member.value for member in RecordKind]
    if kind and kind not in kinds:
        raise ValueError(f"kind {kind!r} is not one of {', '.join(kinds)}")
    return kind


def _format_entry(entry: RecordEntry) -> str:
    subjects = ", ".join(entry.subjects)
    return (
        f"{entry.seq}  {show_time(entry.wall_ms)}  {entry.kind.value}  {entry.actor}  "
        f"{subjects}: {entry.summary}"
    )


if __name__ == "__main__":
    main()
