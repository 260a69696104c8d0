"""Clients that don't behave on the port for other instances: bounded, and the instances go on as one system."""

import unittest

from support import peer_crowd
from support.limited import CrowdCase

CLIENTS = 120


def peer_port(victim):
    return victim.peer_port


class PeerPortTest(CrowdCase):
    def test_messages_without_end_are_bounded(self):
        self.check(CLIENTS, peer_crowd.unfinished_message, peer_port)

    def test_acknowledgements_not_taken_are_bounded(self):
        self.check(CLIENTS, peer_crowd.pings_without_end, peer_port)

    def test_settings_without_end_are_bounded(self):
        self.check(CLIENTS, peer_crowd.settings_without_end, peer_port)

    def test_headers_without_end_are_bounded(self):
        self.check(CLIENTS, peer_crowd.headers_without_end, peer_port)


if __name__ == "__main__":
    unittest.main()
