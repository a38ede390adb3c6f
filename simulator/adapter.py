"""Runs many load balancers over the simulator's wire protocol: one reply for each batch of events."""

from __future__ import annotations

import sys
from typing import BinaryIO

from plovertrail.decisions.events import RequestArrived
from plovertrail.decisions.load_balancing.balancer import LoadBalancer
from simulator import wire


def read_exactly(source: BinaryIO, size: int) -> bytes:
    """Return `size` bytes, or fewer at the end of input."""
    data = source.read(size)
    while len(data) < size:
        more = source.read(size - len(data))
        if not more:
            break
        data += more
    return data


class InstanceHost:
    """The running instances, which share only the decoder's endpoint lists."""

    def __init__(self) -> None:
        self.decoder = wire.Decoder()
        self.instances: dict[int, LoadBalancer] = {}

    def handle_batch(self, now_us: int, count: int, body: bytes) -> bytes:
        """Apply one batch of `count` event records and return the encoded reply with the actions.

        `now_us` is the time of the batch. An exception in a load balancer is reported by an InternalError
        record. Raises WireError on a malformed batch.
        """
        records: list[bytes] = []
        for instance, event in self.decoder.decode(body, count):
            if isinstance(event, wire.InstanceStarted):
                settings = wire.parse_settings(event.options)
                self.instances[instance] = LoadBalancer(settings, event.seed, now_us)
            elif isinstance(event, wire.InstanceStopped):
                self.instances.pop(instance, None)
            elif instance in self.instances:
                classes = len(self.instances[instance].settings.classes)
                if isinstance(event, RequestArrived) and event.class_index >= classes:
                    what = f"request class {event.class_index} of {classes}"
                    raise wire.WireError(f"instance {instance}: {what}")
                try:
                    actions = self.instances[instance].handle(now_us, event)
                    records.extend([wire.encode(instance, action) for action in actions])
                except Exception as error:  # reported in the reply; the other instances continue
                    text = f"{type(error).__name__}: {error}"
                    records.append(wire.encode(instance, wire.InternalError(text)))
        return wire.reply(records)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to batches until the end of the input."""
    host = InstanceHost()
    number = 0
    while True:
        header = read_exactly(source, wire.HEADER.size)
        if not header:
            return
        try:
            if len(header) < wire.HEADER.size:
                raise wire.WireError(f"truncated header: {len(header)} of {wire.HEADER.size} bytes")
            size, count, now_us = wire.HEADER.unpack(header)
            body = read_exactly(source, size)
            if len(body) < size:
                raise wire.WireError(f"truncated body: {len(body)} of {size} bytes")
            reply = host.handle_batch(now_us, count, body)
        except wire.WireError as error:
            raise wire.WireError(f"batch {number}: {error}") from error
        sink.write(reply)
        sink.flush()
        number += 1


def main() -> int:
    """Serve the protocol on standard input and output, and return the exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"plovertrail: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        print("plovertrail: the reader of the replies has closed", file=sys.stderr)
        return 3
    return 0


if __name__ == "__main__":
    sys.exit(main())
