"""What tests of processes that are stopped and woken again share."""

import signal
import time

from support import WIDE_SECONDS, FleetTest, wait_until

FLOWS = 20
FROZEN_SECONDS = 15  # over the timeouts of probes, of suspicion, of fencing and of the relay


class FrozenTest(FleetTest):
    def freeze(self, running, name, entry):
        running.signal(name, signal.SIGSTOP)
        self.addCleanup(running.signal, name, signal.SIGCONT)
        time.sleep(FROZEN_SECONDS)  # the length of the freeze is what is tested
        running.signal(name, signal.SIGCONT)
        wait_until(lambda: running.status(entry), f"{name} answers again", WIDE_SECONDS)
