import os
import time

from bluebellrun.core import ManualClock
from bluebellrun.telemetry import BoundedOutput


def pipe():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    return reader, writer


def test_write_never_blocks_when_the_reader_does_not_read():
    reader, writer = pipe()
    output = BoundedOutput(writer)
    line = "x" * 1_000 + "\n"
    started_at = time.monotonic()
    for _ in range(300):
        output.write(line)
    assert time.monotonic() - started_at < 0.5
    assert output.dropped_lines > 0
    os.set_blocking(reader, False)
    read = os.read(reader, 1_000_000)
    output.write("after\n")
    read += os.read(reader, 1_000_000)
    assert b'"lines left out"' in read
    assert read.endswith(b"after\n")


def test_slow_reader_never_receives_a_truncated_line():
    reader, writer = pipe()
    output = BoundedOutput(writer)
    for number in range(200):
        output.write(f"{number}:" + "y" * 997 + "\n")
    os.set_blocking(reader, False)
    read = b""
    for _ in range(5):
        try:
            read += os.read(reader, 1_000_000)
        except BlockingIOError:
            break
        output.flush()
    for line in read.decode().splitlines()[:-1]:
        assert line.endswith("y" * 997) or "left out" in line


def test_burst_of_lines_is_limited_to_the_rate():
    reader, writer = pipe()
    clock = ManualClock()
    output = BoundedOutput(writer, clock)
    for _ in range(5_000):
        output.write("z\n")
    assert os.read(reader, 1_000_000) == b"z\n" * 400
    assert output.dropped_lines == 4_600
    clock.advance(0.5)
    for _ in range(5_000):
        output.write("z\n")
    read = os.read(reader, 1_000_000)
    assert read.count(b"z\n") == 50
    assert b'"lines": 4600' in read
