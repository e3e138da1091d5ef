"""Tests of the directory of upstreams."""

import unittest

from postspring import upstreams


class DirectoryCase(unittest.TestCase):
    """Fixture: a directory with a clock that tests advance."""

    def setUp(self):
        self.now = 100.0
        self.retired = []
        self.directory = upstreams.Directory(
            lambda: self.now, lambda upstream: self.retired.append(upstream.id)
        )

    def announce(self, upstream_id, data_center="here", **fields):
        """Apply an entry of an upstream, and return it."""
        entry = upstreams.Announcement(
            id=upstream_id,
            service="s",
            address=("10.0.0.1", 80),
            data_center=data_center,
            **fields,
        )
        self.directory.announce(entry)
        return entry

    def usable(self):
        """Return the ids of the upstreams that may get new work."""
        return sorted(item.id for item in self.directory.usable("s"))


class LeavingTest(DirectoryCase):
    """Upstreams that are leaving or were removed get no new work."""

    def test_an_announced_upstream_is_usable(self):
        self.announce("a")
        self.assertEqual(["a"], self.usable())

    def test_a_leaving_upstream_is_not_usable(self):
        self.announce("a")
        self.announce("a", leaving=True)
        self.assertEqual([], self.usable())
        self.assertEqual(["a"], self.retired)

    def test_a_withdrawn_upstream_is_removed(self):
        self.announce("a")
        self.directory.withdraw("a")
        self.assertEqual([], self.usable())
        self.assertEqual(["a"], self.retired)

    def test_replace_all_removes_upstreams_without_an_entry(self):
        self.announce("a")
        entry = self.announce("b")
        self.directory.replace_all([entry])
        self.assertEqual(["b"], self.usable())


class MissingEntryTest(DirectoryCase):
    """Entries that expired during an outage of the log."""

    def setUp(self):
        super().setUp()
        self.announce("a")
        self.directory.tolerate_missing(self.now + 2.0)
        self.directory.withdraw("a")

    def test_it_is_usable_in_the_grace_period(self):
        self.directory.drop_missing()
        self.assertEqual(["a"], self.usable())

    def test_a_new_entry_keeps_it(self):
        self.announce("a")
        self.now += 10
        self.directory.drop_missing()
        self.assertEqual(["a"], self.usable())

    def test_it_gets_no_work_once_the_grace_period_ends(self):
        # The periodic removal runs up to 0.5 s later.
        self.now += 2.0
        self.assertEqual([], self.usable())
        self.assertEqual([], self.directory.last_resort("s"))

    def test_it_is_removed_after_the_grace_period(self):
        self.now += 2.0
        self.directory.drop_missing()
        self.assertEqual([], self.usable())


class UnreachableTest(DirectoryCase):
    """Machines that do not acknowledge packets."""

    def setUp(self):
        super().setUp()
        for upstream_id in ("a", "b", "c"):
            self.announce(upstream_id, "there")
        self.announce("d")

    def note_unreachable(self, upstream_id):
        """Report an upstream's machine as unreachable."""
        upstream = self.directory.by_id[upstream_id]
        self.directory.note_unreachable(upstream)

    def test_one_unreachable_upstream_gets_no_work(self):
        self.note_unreachable("a")
        self.assertEqual(["b", "c", "d"], self.usable())

    def test_two_suspend_their_whole_data_centre(self):
        self.note_unreachable("a")
        self.note_unreachable("b")
        self.assertEqual(["d"], self.usable())
        self.assertFalse(self.directory.is_service_unreachable("s"))

    def test_they_are_usable_again_after_a_while(self):
        self.note_unreachable("a")
        self.note_unreachable("b")
        self.now += 2
        self.assertEqual(["a", "b", "c", "d"], self.usable())

    def test_with_all_unreachable_one_is_probed_at_an_interval(self):
        self.directory.withdraw("d")
        self.note_unreachable("a")
        self.note_unreachable("b")
        self.assertTrue(self.directory.is_service_unreachable("s"))
        self.assertEqual(1, len(self.directory.last_resort("s")))
        self.assertEqual([], self.directory.last_resort("s"))
        self.now += 0.6
        self.assertEqual(1, len(self.directory.last_resort("s")))


class RestartTest(DirectoryCase):
    """An upstream that restarts under its id has lost its state."""

    def setUp(self):
        super().setUp()
        self.announce("a", born=1000)
        self.former = self.directory.by_id["a"]
        self.former.note_pace(0.5, self.now)
        self.former.suspend(self.now, 30.0)
        self.former.in_flight = 3

    @property
    def current(self):
        """The current incarnation."""
        return self.directory.by_id["a"]

    def test_a_restart_discards_the_observations(self):
        self.announce("a", born=2000)
        self.assertEqual(["a"], self.usable())
        self.assertEqual(0, self.current.in_flight)
        self.assertEqual(0.0, self.current.pace)
        self.assertEqual(["a"], self.retired)

    def test_a_call_in_flight_counts_for_the_former_incarnation(self):
        self.announce("a", born=2000)
        self.former.in_flight -= 1
        self.assertEqual(0, self.current.in_flight)

    def test_incarnations_have_different_keys(self):
        self.announce("a", born=2000)
        self.assertNotEqual(self.former.incarnation, self.current.incarnation)

    def test_the_same_incarnation_keeps_the_observations(self):
        self.announce("a", born=1000, slots=9)
        self.assertIs(self.former, self.current)
        self.assertEqual(9, self.current.concurrency)

    def test_a_late_entry_of_the_former_incarnation_is_ignored(self):
        self.announce("a", born=2000)
        latest = self.current
        self.announce("a", born=1000, leaving=True)
        self.assertIs(latest, self.current)
        self.assertEqual(["a"], self.usable())

    def test_a_late_entry_does_not_restore_a_removed_upstream(self):
        self.announce("a", born=2000)
        self.directory.withdraw("a")
        self.announce("a", born=1000)
        self.assertEqual([], self.usable())

    def test_an_earlier_start_time_counts_if_the_later_one_is_silent(self):
        # The machine's clock was set back between the two starts.
        self.announce("a", born=2000)
        for _ in range(12):
            self.now += 1
            self.announce("a", born=1500)
        self.assertEqual(1500, self.current.born)

    def test_start_times_of_removed_upstreams_are_discarded(self):
        self.directory.withdraw("a")
        self.now += 11
        self.directory.drop_missing()
        self.assertEqual({}, self.directory._latest_by_id)

    def test_another_address_means_another_incarnation(self):
        self.announce("b")
        former = self.directory.by_id["b"]
        entry = upstreams.Announcement("b", "s", ("10.0.0.7", 81))
        self.directory.announce(entry)
        self.assertEqual(("10.0.0.7", 81), self.directory.by_id["b"].address)
        self.assertTrue(former.leaving)


class InvalidEntryTest(DirectoryCase):
    """Invalid entries in place of valid ones."""

    def setUp(self):
        super().setUp()
        self.announce("a", born=1000)
        self.announce("b", born=1000)
        self.upstream = self.directory.by_id["a"]

    def test_it_gets_no_new_work_but_is_not_removed(self):
        self.directory.mark_unreadable("a")
        self.assertEqual(["b"], self.usable())
        self.assertEqual([], self.retired)

    def test_it_is_no_last_resort_either(self):
        for upstream_id in ("a", "b"):
            self.directory.mark_unreadable(upstream_id)
        self.assertEqual([], self.directory.last_resort("s"))

    def test_a_valid_entry_makes_it_usable_again(self):
        self.directory.mark_unreadable("a")
        self.announce("a", born=1000)
        self.assertEqual(["a", "b"], self.usable())
        self.assertIs(self.upstream, self.directory.by_id["a"])

    def test_an_entry_without_the_start_time_is_invalid(self):
        self.announce("a")
        self.assertEqual(["b"], self.usable())

    def test_an_unknown_upstream_is_ignored(self):
        self.directory.mark_unreadable("c")
        self.assertEqual(["a", "b"], self.usable())

    def test_replace_all_does_not_remove_it(self):
        entry = self.announce("b", born=1000)
        self.directory.replace_all([entry], ["a"])
        self.assertEqual(["b"], self.usable())
        self.assertEqual([], self.retired)
