"""State that survives a restart: a compressed snapshot and a journal of later changes, on a local disk.

`records` defines what is stored; `endpoint_list_records` and `warm_state_records` convert state to records
and back. `frames` detects damaged bytes. `snapshot_format` encodes and decodes the files, `disk` and
`state_files` read and write them, and `service` writes them off the event loop. `warm_state` collects and
restores the warm state: endpoint histories, rate limiters and shared counters. docs/store.md has the design.
"""
