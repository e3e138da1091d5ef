"""The directory of upstreams."""

import unittest

from postspring import upstreams


class DirectoryCase(unittest.TestCase):
    """A directory whose clock is set by hand."""

    def setUp(self):
        self.now = 100.0
        self.gone = []
        self.directory = upstreams.Directory(
            lambda: self.now, lambda upstream: self.gone.append(upstream.id)
        )

    def announce(self, name, place="here", **other):
        """Let an upstream announce itself."""
        entry = upstreams.Announcement(
            id=name,
            service="s",
            address=("10.0.0.1", 80),
            data_center=place,
            **other,
        )
        self.directory.announce(entry)
        return entry

    def usable(self):
        """Return the ids of the upstreams that may get work."""
        return sorted(item.id for item in self.directory.usable("s"))


class LeavingTest(DirectoryCase):
    """Leaving and gone upstreams get nothing."""

    def test_an_announced_one_is_used(self):
        self.announce("a")
        self.assertEqual(["a"], self.usable())

    def test_a_leaving_one_is_not(self):
        self.announce("a")
        self.announce("a", leaving=True)
        self.assertEqual([], self.usable())
        self.assertEqual(["a"], self.gone)

    def test_a_withdrawn_one_is_gone(self):
        self.announce("a")
        self.directory.withdraw("a")
        self.assertEqual([], self.usable())
        self.assertEqual(["a"], self.gone)

    def test_what_is_not_in_the_whole_list_is_gone(self):
        self.announce("a")
        entry = self.announce("b")
        self.directory.replace_all([entry])
        self.assertEqual(["b"], self.usable())


class ReturnTest(DirectoryCase):
    """Entries that lapsed while the log was away."""

    def setUp(self):
        super().setUp()
        self.announce("a")
        self.directory.tolerate_missing(self.now + 2.0)
        self.directory.withdraw("a")

    def test_a_missing_one_is_used_for_a_while(self):
        self.directory.drop_missing()
        self.assertEqual(["a"], self.usable())

    def test_it_may_come_back(self):
        self.announce("a")
        self.now += 10
        self.directory.drop_missing()
        self.assertEqual(["a"], self.usable())

    def test_it_gets_no_work_from_that_moment_on(self):
        # What forgets it runs now and then, and came up to 0.5 s late.
        self.now += 2.0
        self.assertEqual([], self.usable())
        self.assertEqual([], self.directory.last_resort("s"))

    def test_then_it_is_gone(self):
        self.now += 2.0
        self.directory.drop_missing()
        self.assertEqual([], self.usable())


class UnreachableTest(DirectoryCase):
    """Machines that do not acknowledge."""

    def setUp(self):
        super().setUp()
        for name in ("a", "b", "c"):
            self.announce(name, "there")
        self.announce("d")

    def unreachable(self, name):
        """Report an upstream's machine as silent."""
        upstream = self.directory.by_id[name]
        self.directory.note_unreachable(upstream)

    def test_one_is_left_alone(self):
        self.unreachable("a")
        self.assertEqual(["b", "c", "d"], self.usable())

    def test_two_mean_that_the_data_centre_is_cut_off(self):
        self.unreachable("a")
        self.unreachable("b")
        self.assertEqual(["d"], self.usable())
        self.assertFalse(self.directory.is_out_of_reach("s"))

    def test_they_are_used_again(self):
        self.unreachable("a")
        self.unreachable("b")
        self.now += 2
        self.assertEqual(["a", "b", "c", "d"], self.usable())

    def test_with_all_out_of_reach_one_is_tried_now_and_then(self):
        self.directory.withdraw("d")
        self.unreachable("a")
        self.unreachable("b")
        self.assertTrue(self.directory.is_out_of_reach("s"))
        self.assertEqual(1, len(self.directory.last_resort("s")))
        self.assertEqual([], self.directory.last_resort("s"))
        self.now += 0.6
        self.assertEqual(1, len(self.directory.last_resort("s")))


class StartedAgainTest(DirectoryCase):
    """An upstream that starts again under its id knows nothing of before."""

    def setUp(self):
        super().setUp()
        self.announce("a", born=1000)
        self.former = self.directory.by_id["a"]
        self.former.note_pace(0.5, self.now)
        self.former.suspend(self.now, 30.0)
        self.former.in_flight = 3

    @property
    def current(self):
        """What is known of the upstream now."""
        return self.directory.by_id["a"]

    def test_what_was_observed_ends_with_the_start(self):
        self.announce("a", born=2000)
        self.assertEqual(["a"], self.usable())
        self.assertEqual(0, self.current.in_flight)
        self.assertEqual(0.0, self.current.pace)
        self.assertEqual(["a"], self.gone)

    def test_a_call_that_is_still_open_counts_for_the_former_start(self):
        self.announce("a", born=2000)
        self.former.in_flight -= 1
        self.assertEqual(0, self.current.in_flight)

    def test_places_and_loads_are_not_mixed_up(self):
        self.announce("a", born=2000)
        self.assertNotEqual(self.former.incarnation, self.current.incarnation)

    def test_the_same_start_keeps_what_was_observed(self):
        self.announce("a", born=1000, slots=9)
        self.assertIs(self.former, self.current)
        self.assertEqual(9, self.current.concurrency)

    def test_a_late_entry_of_the_former_start_changes_nothing(self):
        self.announce("a", born=2000)
        latest = self.current
        self.announce("a", born=1000, leaving=True)
        self.assertIs(latest, self.current)
        self.assertEqual(["a"], self.usable())

    def test_it_does_not_bring_a_gone_one_back(self):
        self.announce("a", born=2000)
        self.directory.withdraw("a")
        self.announce("a", born=1000)
        self.assertEqual([], self.usable())

    def test_an_older_start_that_alone_goes_on_writing_counts(self):
        # The machine's clock was set back between the two starts.
        self.announce("a", born=2000)
        for _ in range(12):
            self.now += 1
            self.announce("a", born=1500)
        self.assertEqual(1500, self.current.born)

    def test_starts_of_gone_ones_are_forgotten(self):
        self.directory.withdraw("a")
        self.now += 11
        self.directory.drop_missing()
        self.assertEqual({}, self.directory._latest_by_id)

    def test_another_address_or_service_is_another_start(self):
        self.announce("b")
        former = self.directory.by_id["b"]
        entry = upstreams.Announcement("b", "s", ("10.0.0.7", 81))
        self.directory.announce(entry)
        self.assertEqual(("10.0.0.7", 81), self.directory.by_id["b"].address)
        self.assertTrue(former.leaving)


class HeldBackTest(DirectoryCase):
    """Entries that name no upstream, in place of good ones."""

    def setUp(self):
        super().setUp()
        self.announce("a", born=1000)
        self.announce("b", born=1000)
        self.upstream = self.directory.by_id["a"]

    def test_it_gets_no_new_work_and_is_not_gone(self):
        self.directory.hold_back("a")
        self.assertEqual(["b"], self.usable())
        self.assertEqual([], self.gone)

    def test_nor_as_a_last_resort(self):
        for name in ("a", "b"):
            self.directory.hold_back(name)
        self.assertEqual([], self.directory.last_resort("s"))

    def test_a_good_entry_makes_it_usable_again(self):
        self.directory.hold_back("a")
        self.announce("a", born=1000)
        self.assertEqual(["a", "b"], self.usable())
        self.assertIs(self.upstream, self.directory.by_id["a"])

    def test_an_entry_without_its_start_is_another_writers(self):
        self.announce("a")
        self.assertEqual(["b"], self.usable())

    def test_an_unknown_one_is_nothing(self):
        self.directory.hold_back("c")
        self.assertEqual(["a", "b"], self.usable())

    def test_in_a_whole_list_it_is_held_back_and_not_gone(self):
        entry = self.announce("b", born=1000)
        self.directory.replace_all([entry], ["a"])
        self.assertEqual(["b"], self.usable())
        self.assertEqual([], self.gone)
