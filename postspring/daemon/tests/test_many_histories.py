"""Histories of many programs, against the daemon's own process."""

import concurrent.futures
import http.client
import unittest
import uuid

from postspring.daemon import process
from postspring.platform import names
from postspring.testing.fleet import fleet
from postspring.testing import misbehaving

MIB = 1024 * 1024
MEMORY_MB = 64
MAX_FILES = 3200
TURN_BYTES = 200 * 1024
TURNS = 300
CALLERS = 12


class ManyHistoriesTest(unittest.TestCase):
    """Programs with one long turn each."""

    def setUp(self):
        process.raise_file_limit(MAX_FILES)
        self.vm = misbehaving.SingleVm(MEMORY_MB, MAX_FILES, 4 * MIB)
        self.addCleanup(self.vm.close)
        self.vm.open()

    def take_turn(self, _number):
        """Return the status of the only turn of a program."""
        headers = {
            "Host": fleet.HOST,
            names.REQUEST_ID: uuid.uuid4().hex,
            names.PROGRAM_ID: uuid.uuid4().hex,
            names.DEADLINE_MS: "6000",
            names.MODEL: "m",
            names.SESSION_ID: "s",
            names.PROGRAM_DEADLINE_MS: "30000",
            names.TOKEN_BUDGET: "1000",
            names.TOKEN_USAGE: "100,16",
        }
        connection = http.client.HTTPConnection(*self.vm.callers, timeout=20)
        try:
            connection.request("POST", "/stream/x", b"x" * TURN_BYTES, headers)
            response = connection.getresponse()
            response.read()
            return response.status
        except (OSError, http.client.HTTPException):
            return -1
        finally:
            connection.close()

    # Guards against turns that are kept in memory without a bound: the log
    # has them.
    def test_memory_holds(self):
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            statuses = set(pool.map(self.take_turn, range(TURNS)))
        self.assertIn(200, statuses)
        self.assertTrue(self.vm.is_running, self.vm.vm_log[-2000:])
        self.assertLessEqual(self.vm.peak_bytes / MIB, MEMORY_MB)
