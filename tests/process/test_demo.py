"""scripts/demo.py --keep, as an operator starts and ends it."""

import os
import pathlib
import shlex
import shutil
import signal
import subprocess
import sys
import tempfile
import unittest
import unittest.mock

from coap import Flow
from support import BUILD, ROOT, WIDE_SECONDS, fleet, wait_until

ROLES = {"platform": 1, "target": 10, "fabric": 1, "balancer": 3, "agent": 10}

SEVERAL = 4  # processes; the demo is far from ready then


def is_running(pid):
    try:
        return "\nState:\tZ" not in pathlib.Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return False


def children_of(pid):
    """Process ids of those that a process has started."""
    try:
        return pathlib.Path(f"/proc/{pid}/task/{pid}/children").read_text().split()
    except OSError:
        return []


class KeptDemo(unittest.TestCase):
    def start(self):
        # A group of its own, so that a signal can be sent to all of it, as a terminal does.
        process = subprocess.Popen(
            [sys.executable, str(ROOT / "scripts/demo.py"), "ledgewater", "--build", BUILD, "--keep"],
            stdout=subprocess.PIPE, text=True, start_new_session=True)
        self.addCleanup(self.end, process)
        return process

    def end(self, process):
        if process.poll() is None:
            process.send_signal(signal.SIGTERM)
        process.communicate(timeout=2 * WIDE_SECONDS)

    def read_announcement(self, process):
        lines = []
        for line in process.stdout:
            lines.append(line.split())
            if line == "ready\n":
                return lines
        self.fail(f"ended before it was ready: {lines}")

    # The operator sees: processes, services and the command to reach them, each usable as printed;
    # and after one Ctrl-C nothing of it left. Order: ready, a request, a command, SIGINT to the
    # whole group. Why: the script alone gets the signal, and stops all in the right order.
    def test_what_it_announces_is_there_and_ends_with_an_interrupt(self):
        process = self.start()
        lines = self.read_announcement(process)
        processes = [line[1:] for line in lines if line[0] == "process"]
        roles = [role for role, _, _ in processes]
        self.assertEqual({role: roles.count(role) for role in roles}, ROLES)
        for _, name, pid in processes:
            self.assertTrue(is_running(pid), name)
        services = {line[1]: line[2] for line in lines if line[0] == "service"}
        self.assertEqual(set(services), {"desk", "mapper"})
        for uri in services.values():
            with Flow(uri.removeprefix("coap://")) as flow:
                self.assertIn(b"</", flow.get(".well-known/core").payload)
        command = next(line[1:] for line in lines if line[0] == "operator")
        status = subprocess.run(shlex.split(" ".join(command)) + ["status"], capture_output=True,
                                text=True, timeout=WIDE_SECONDS)
        self.assertEqual(status.returncode, 0, status.stderr)
        os.killpg(process.pid, signal.SIGINT)
        self.assertEqual(process.wait(timeout=2 * WIDE_SECONDS), 0)
        self.assertEqual([name for _, name, pid in processes if is_running(pid)], [])

    # The operator sees: nothing left behind. Order: SIGTERM while the processes are being started.
    # Why: the signal leads to the same stop as later.
    def test_an_early_signal_leaves_nothing_running(self):
        process = self.start()
        def several():
            found = children_of(process.pid)
            return found if len(found) >= SEVERAL else None
        started = wait_until(several, "processes started", WIDE_SECONDS)
        process.send_signal(signal.SIGTERM)
        process.wait(timeout=2 * WIDE_SECONDS)
        self.assertEqual([pid for pid in started if is_running(pid)], [])


class Interrupts(unittest.TestCase):
    # The operator sees: one process left running after the demo has ended. Order: a process is
    # started, the signal comes, and only then would the process be entered in the list of those to
    # stop. Why: the signal is held until it is.
    def test_a_signal_during_a_start_comes_after_the_process_is_known(self):
        interrupts = fleet.Interrupts()
        known = []
        signal.signal(signal.SIGUSR1, interrupts)
        self.addCleanup(signal.signal, signal.SIGUSR1, signal.SIG_DFL)
        with self.assertRaises(fleet.Interrupted):
            with interrupts.held():
                os.kill(os.getpid(), signal.SIGUSR1)
                known.append("process")
        self.assertEqual(known, ["process"])
        with self.assertRaises(fleet.Interrupted):
            os.kill(os.getpid(), signal.SIGUSR1)

    def test_processes_are_started_with_signals_held(self):
        held = []
        started = fleet.Fleet.__new__(fleet.Fleet)
        started.interrupts = fleet.Interrupts()
        started.own_groups = True
        started.processes = {}
        started.path = pathlib.Path(tempfile.mkdtemp(prefix="anvildrum-"))
        self.addCleanup(shutil.rmtree, started.path)

        def start(*_, **__):
            held.append(started.interrupts.is_held)
            return "process"

        with unittest.mock.patch("subprocess.Popen", start):
            started.start_process("target", "target-1", ["true"])
        self.assertEqual(held, [True])
        self.assertEqual(started.processes, {"target-1": ("target", "process")})


if __name__ == "__main__":
    unittest.main()
