"""Process that sends one order under the lease guard, for tests that freeze it.

Run as ``python -m tests.orders.guarded_sender ADDRESS LEASE EXTENDED``. It prints
``armed`` once the timer is armed, and waits for a line on stdin before it sends.
"""

import asyncio
import sys

from wigeonspan.common import SystemClock
from wigeonspan.engines import OrderAction, OrderRequest
from wigeonspan.orders.tasks import LeaseGuard, OrderSender


class PausingGuard(LeaseGuard):
    """Lease guard that waits for input between arming and sending."""

    def acquire(self):
        super().acquire()
        print("armed", flush=True)
        sys.stdin.readline()


def main(address, lease_s, extended):
    clock = SystemClock()
    started = clock.now()

    def lease_valid_until():
        return (clock.now() if extended else started) + lease_s

    guard = PausingGuard(clock, lease_valid_until)

    async def run():
        order = OrderRequest("e-1", OrderAction.WITHDRAW, 1)
        return await OrderSender(guard).send(address, order)

    result = asyncio.run(run()).result.value
    print(result, "armed" if guard.is_armed else "disarmed", flush=True)


if __name__ == "__main__":
    main(sys.argv[1], float(sys.argv[2]), sys.argv[3] == "extended")
