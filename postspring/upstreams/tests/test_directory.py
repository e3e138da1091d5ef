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
        self.directory.tolerate_missing()
        self.directory.withdraw("a")

    def test_a_missing_one_is_used_for_a_while(self):
        self.directory.drop_missing()
        self.assertEqual(["a"], self.usable())

    def test_it_may_come_back(self):
        self.announce("a")
        self.now += 10
        self.directory.drop_missing()
        self.assertEqual(["a"], self.usable())

    def test_then_it_is_gone(self):
        self.now += 3
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
