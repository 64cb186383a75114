"""Reads processor time and memory of processes from /proc, and fits lines to measurements."""

import os
from collections.abc import Iterable
from pathlib import Path

from emulator.process import Process

#: Clock ticks per second, the unit of processor time in /proc.
_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')


def cpu_seconds(processes: Iterable[Process]) -> float:
    """Returns the user and system time that processes have used so far in seconds."""
    total = 0
    for process in processes:
        fields = Path(f'/proc/{process.popen.pid}/stat').read_text().rpartition(')')[2].split()
        total += int(fields[11]) + int(fields[12])
    return total / _TICKS_PER_SECOND


def resident_megabytes(process: Process) -> float:
    """Returns the resident memory of a process in MB."""
    for line in Path(f'/proc/{process.popen.pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / 1024
    return 0.0


def fit_line(points: Iterable[tuple[float, float]]) -> tuple[float, float, float]:
    """Fits a line by least squares.

    Returns:
        Base, slope, and the largest residual relative to the largest absolute value.
    """
    pairs = list(points)
    count = len(pairs)
    mean_x = sum(x for x, _ in pairs) / count
    mean_y = sum(y for _, y in pairs) / count
    spread = sum((x - mean_x) ** 2 for x, _ in pairs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread
    base = mean_y - slope * mean_x
    scale = max(abs(y) for _, y in pairs) or 1.0
    residual = max(abs(y - base - slope * x) for x, y in pairs) / scale
    return base, slope, residual
