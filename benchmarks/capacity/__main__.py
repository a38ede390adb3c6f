"""Cost of each control role to one sidecar, beside its budget: `python -m benchmarks.capacity`.

Roles with hollow processes play the real decision modules and codecs on a virtual clock; those with real
processes start the daemon. Each cost is measured at four sizes or more, a line or a logarithm is fitted, and
the cost at the planned size is held against the budget of one sidecar: each role alone, and all together.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Sequence

from benchmarks.capacity.cpu_meter import overhead_ns
from benchmarks.capacity.hollow_roles import hollow_roles
from benchmarks.capacity.presentation import bars_of, figures_of, print_result
from benchmarks.capacity.process_roles import PROCESS_ROLES
from benchmarks.capacity.roles import Role, RoleResult
from benchmarks.report import close


def parser() -> argparse.ArgumentParser:
    """The command line."""
    found = argparse.ArgumentParser(prog="python -m benchmarks.capacity")
    found.add_argument("--short", action="store_true", help="small sizes only, in under a minute")
    found.add_argument("--role", action="append", help="this role only; may be given several times")
    found.add_argument("--repeats", type=int, help="of each case; 3, in the short form 1")
    found.add_argument("--jobs", type=int, default=4, help="processes that cases are spread over")
    return found


def chosen_roles(roles: Sequence[Role], names: Sequence[str] | None) -> list[Role]:
    """The roles that were asked for; raises SystemExit for a name that is none."""
    known = {role.name: role for role in roles}
    unknown = [name for name in names or () if name not in known]
    if unknown:
        raise SystemExit(f"no role is called {unknown[0]!r}; there are {', '.join(known)}")
    return [role for role in roles if not names or role.name in names]


def main(arguments: Sequence[str] | None = None) -> int:
    """Measure, print, and tell by the exit status whether all bars are held."""
    asked = parser().parse_args(arguments)
    repeats = asked.repeats or (1 if asked.short else 3)
    print(f"metered calls of hollow processes: the meter adds {overhead_ns() / 1e3:.2f} us to each at most")
    results: dict[str, RoleResult] = {}
    for role in chosen_roles((*hollow_roles(asked.jobs), *PROCESS_ROLES), asked.role):
        began = time.monotonic()
        results[role.name] = role.measure(asked.short, repeats)
        print_result(role.name, results[role.name], time.monotonic() - began)
    return close("capacity", figures_of(results), bars_of(results))


if __name__ == "__main__":
    sys.exit(main())
