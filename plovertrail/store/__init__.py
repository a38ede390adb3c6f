"""What outlives a restart: a compressed snapshot and a journal of changes on a lasting disk.

`frames` checks bytes, `records` says what is kept, `files` reads and writes, `keeper` does it off the loop.
docs/store.md has the design.
"""
