"""Steps about the data folder."""

from __future__ import annotations

import pathlib
import random
import tempfile

from behave import given, then, when
from support import power_loss

from hickorylead import errors
from hickorylead.configuration import changes
from hickorylead.consensus import messages, voter
from hickorylead.storage import folder, journal, saved_value

NODE = "buda-hall/vm1/control"


def make_folder(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    return pathlib.Path(directory.name)


def list_payloads(count):
    return [f"record {n} ".encode() * 3 for n in range(count)]


def open_journal(context):
    return journal.Journal(context.path)


@given("a journal with {count:d} records")
def _(context, count):
    context.path = make_folder(context) / "journal"
    opened = open_journal(context)
    context.payloads = list_payloads(count)
    for payload in context.payloads:
        opened.append(payload)
    opened.close()
    context.open = lambda: open_journal(context)


@then("opening the journal again gives the {count:d} records")
def _(context, count):
    opened = open_journal(context)
    assert opened.payloads == context.payloads and count == len(
        context.payloads
    )
    opened.close()


@when("half a record is written behind the records")
def _(context):
    data = context.path.read_bytes()
    context.path.write_bytes(data + b"\0\0\0\x40\1\2\3\4torn rec")


@then("a record added now is restored as well")
def _(context):
    opened = open_journal(context)
    opened.append(b"added")
    opened.close()
    assert open_journal(context).payloads == [*context.payloads, b"added"]


@when("a byte of record {number:d} is changed")
def _(context, number):
    data = bytearray(context.path.read_bytes())
    place = data.index(f"record {number}".encode())
    data[place] ^= 0xFF
    context.path.write_bytes(data)


@then("opening it fails with exit code 6, naming the place")
def _(context):
    try:
        context.open()
    except errors.DataFolderError as error:
        assert error.exit_code == 6
        text = str(error)
        assert "byte" in text or "identity" in text, text
        return
    raise AssertionError("the folder was opened")


@then("the journal truncated at any byte opens with all complete records")
def _(context):
    data = context.path.read_bytes()
    ends = [data.index(payload) + len(payload) for payload in context.payloads]
    for size in range(len(data)):
        context.path.write_bytes(data[:size])
        opened = open_journal(context)
        complete_count = sum(end <= size for end in ends)
        assert opened.payloads == context.payloads[:complete_count], size
        opened.close()


@given('a data folder of "{node}"')
def _(context, node):
    context.folder = make_folder(context)
    folder.DataFolder(context.folder, node).close()
    context.open = lambda: folder.DataFolder(context.folder, node)


@then('"{node}" cannot open the folder, and the error names its owner')
def _(context, node):
    try:
        folder.DataFolder(context.folder, node)
    except errors.DataFolderError as error:
        assert NODE in str(error) and node in str(error)
        return
    raise AssertionError("the folder was opened")


@when("its identity file is truncated")
def _(context):
    path = context.folder / "identity.json"
    path.write_text(path.read_text()[:10])


def make_voter():
    return voter.Voter(
        node=NODE,
        incarnation="a",
        peers=(),
        rng=random.Random(1),
        now=0.0,
    )


def persist(data_folder, effects):
    for effect in effects:
        if isinstance(effect, messages.Persist):
            data_folder.persist(effect.record)


@given("a voter that has persisted {count:d} records")
def _(context, count):
    context.folder = make_folder(context)
    context.data_folder = folder.DataFolder(context.folder, NODE)
    context.voter = make_voter()
    persist(context.data_folder, context.voter.bootstrap("c", (f"{NODE}#a",)))
    persist(context.data_folder, context.voter.tick(5.0))
    for number in range(count):
        drain = changes.DrainVm(f"vm{number % 7}", number % 2 == 0)
        change = changes.Change(f"change-{number}", number, drain)
        persist(context.data_folder, context.voter.propose(change, 5.0))
    assert context.voter.configuration.version == count
    assert context.data_folder.needs_compaction()


@when("the journal is replaced")
def _(context):
    context.data_folder.rewrite(context.voter.export_records())
    assert not context.data_folder.needs_compaction()
    context.data_folder.close()


@then("a voter restored from the journal has the same state")
def _(context):
    restored = make_voter()
    restored.restore(folder.DataFolder(context.folder, NODE).records)
    original = context.voter
    assert restored.term == original.term
    assert restored.log.last_index == original.log.last_index
    # A single late tick would count as a pause of the process.
    effects = [e for tick in range(400) for e in restored.tick(0.05 * tick)]
    assert effects and restored.configuration == original.configuration


@given("a value that was saved {count:d} times")
def _(context, count):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.value_folder = pathlib.Path(folder.name)
    saved = saved_value.SavedValue(context.value_folder, "servers")
    for number in range(1, count + 1):
        saved.save(b"value %d" % number)
    context.count = count


@when("the last save of the value is truncated at any byte")
def _(context):
    file = context.value_folder / f"servers.{context.count % 2}"
    data = file.read_bytes()
    context.values = []
    for size in range(len(data)):
        file.write_bytes(data[:size])
        context.values.append(
            saved_value.SavedValue(context.value_folder, "servers").value
        )


@then("opening the value's files gives the previous save")
def _(context):
    assert set(context.values) == {b"value %d" % (context.count - 1)}


@given("a voter that has persisted {count:d} records of 2 MB")
def _(context, count):
    context.folder = make_folder(context)
    data_folder = folder.DataFolder(context.folder, NODE)
    member = make_voter()
    persist(data_folder, member.bootstrap("c", (f"{NODE}#a",)))
    persist(data_folder, member.tick(5.0))
    context.sizes = []
    for version in range(1, count + 1):
        content = random.Random(version).randbytes(2 * 1024 * 1024)
        change = changes.Change(
            f"c{version}", -1, changes.ReplaceWhole(version, content)
        )
        persist(data_folder, member.propose(change, 5.0))
        if data_folder.needs_compaction():
            data_folder.rewrite(member.export_records())
        context.sizes.append((context.folder / "journal").stat().st_size)
    data_folder.close()


@then("its journal stays below {limit:d} MB")
def _(context, limit):
    assert max(context.sizes) < limit * 1_000_000, context.sizes


class SavedFolder:
    """A data folder on a disk that records what a power loss may leave."""

    def __init__(self, root):
        self._disk = power_loss.Disk(root)
        self._path = root / "data" / "voter"
        self._saved = []
        # The records that were acknowledged, after each step.
        self.acknowledged = [[]]

    def _acknowledge(self, saved):
        self._saved = saved
        self.acknowledged.append(saved)
        self._disk.acknowledged_count += 1

    def _save(self, data_folder, number):
        record = messages.TruncateLog(number)
        data_folder.persist(record)
        self._acknowledge([*self._saved, record])

    def run(self):
        """Saves, replaces and reopens; returns the states of the disk."""
        with self._disk.record():
            opened = folder.DataFolder(self._path, NODE)
            for number in range(3):
                self._save(opened, number)
            replaced = [messages.TruncateLog(10)]
            opened.rewrite(replaced)
            self._acknowledge(replaced)
            for number in range(11, 13):
                self._save(opened, number)
            opened.close()
            opened = folder.DataFolder(self._path, NODE)
            self._save(opened, 13)
            opened.close()
        return self._disk.states

    def check(self, state):
        """Returns what is wrong with a folder after a power loss, if any."""
        with tempfile.TemporaryDirectory() as name:
            root = pathlib.Path(name)
            state.write(root)
            try:
                opened = folder.DataFolder(root / "data" / "voter", NODE)
            except errors.DataFolderError as error:
                return f"after step {state.acknowledged_count}: {error}"
            opened.close()
        count = state.acknowledged_count
        if opened.records in self.acknowledged[count : count + 2]:
            return ""
        files = [path for path, _ in state.files]
        return f"after step {count}: {len(opened.records)} records of {files}"


@when("the power fails at any step of saves, a compaction and a start")
def _(context):
    saved = SavedFolder(make_folder(context))
    states = saved.run()
    assert len(states) > 1000, len(states)
    context.problems = sorted(filter(None, map(saved.check, states)))


@then("the data folder opens with all that was acknowledged")
def _(context):
    assert not context.problems, context.problems[:3]
